package permit

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// NoLimit is the limit of a server that names none.
const NoLimit = -1.0

// MaxLimit bounds the limits of servers in requests per second. It is far above
// what one server can answer.
const MaxLimit = 1e6

// ParseLimit returns the lowest valid limit of the given header values, in
// requests per second, or NoLimit if there is none. The error describes
// values that were ignored or changed.
func ParseLimit(values []string) (float64, error) {
	limit := NoLimit
	var invalid error
	if len(values) > 0 {
		values = strings.Split(strings.Join(values, ","), ",")
	}
	if len(values) > 1 {
		invalid = errors.Errorf("limit named %d times: %.40q", len(values), values)
	}
	for _, value := range values {
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		isTooLarge := errors.Is(err, strconv.ErrRange) && v > 0
		if err != nil && !isTooLarge || math.IsNaN(v) || math.Signbit(v) || math.IsInf(v, 0) && !isTooLarge || strings.ContainsAny(value, "xX") {
			invalid = errors.Errorf("limit %.40q is not a number of requests per second", value)
			continue
		}
		if v > MaxLimit {
			invalid = errors.Errorf("limit %.40q is above %g requests per second", value, MaxLimit)
			v = MaxLimit
		}
		if limit == NoLimit || v < limit {
			limit = v
		}
	}
	return limit, invalid
}
