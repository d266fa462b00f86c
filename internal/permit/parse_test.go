package permit

import (
	"testing"

	"github.com/matryer/is"
)

// A malformed limit must be reported and must not hide a valid one beside it.
func TestMalformedLimitsAreReported(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   float64
		valid  bool
	}{
		{nil, NoLimit, true},
		{[]string{" 1.3 "}, 1.3, true},
		{[]string{"0"}, 0, true},
		{[]string{""}, NoLimit, false},
		{[]string{"-1"}, NoLimit, false},
		{[]string{"-1e999"}, NoLimit, false},
		{[]string{"NaN"}, NoLimit, false},
		{[]string{"Inf"}, NoLimit, false},
		{[]string{"soon"}, NoLimit, false},
		{[]string{"0x1p4"}, NoLimit, false},
		{[]string{"1e300"}, MaxLimit, false},
		{[]string{"1e999"}, MaxLimit, false},
		{[]string{"5", "2"}, 2, false},
		{[]string{"5, 2"}, 2, false},
		{[]string{"x", "4"}, 4, false},
	} {
		is := is.New(t)
		limit, err := ParseLimit(c.values)
		is.Equal(limit, c.want)
		is.Equal(err == nil, c.valid)
	}
}
