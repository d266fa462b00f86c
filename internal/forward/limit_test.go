package forward

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// A malformed limit must be reported and must not hide a valid one beside it.
func TestMalformedLimitsAreReported(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   float64
		valid  bool
	}{
		{nil, pool.NoLimit, true},
		{[]string{" 1.3 "}, 1.3, true},
		{[]string{"0"}, 0, true},
		{[]string{""}, pool.NoLimit, false},
		{[]string{"-1"}, pool.NoLimit, false},
		{[]string{"-1e999"}, pool.NoLimit, false},
		{[]string{"NaN"}, pool.NoLimit, false},
		{[]string{"Inf"}, pool.NoLimit, false},
		{[]string{"soon"}, pool.NoLimit, false},
		{[]string{"1e300"}, maxLimit, false},
		{[]string{"1e999"}, maxLimit, false},
		{[]string{"5", "2"}, 2, false},
		{[]string{"5, 2"}, 2, false},
		{[]string{"x", "4"}, 4, false},
	} {
		is := is.New(t)
		limit, err := parseLimit(c.values)
		is.Equal(limit, c.want)
		is.Equal(err == nil, c.valid)
	}
}
