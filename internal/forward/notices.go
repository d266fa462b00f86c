package forward

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// headerRetryAfter is how long the receiver of a refusal is asked to wait, in
// seconds.
const headerRetryAfter = "Retry-After"

// leavingWord is the value by which a server says that it leaves.
const leavingWord = "1"

// heedNotices takes what the head of an answer says of its server: that it
// leaves, or for how long it wants no requests.
func (x *exchange) heedNotices(a *attempt) {
	h := a.resp.Header
	if strings.TrimSpace(h.Get(x.f.o.Headers.Leaving)) == leavingWord && a.member.Leave() {
		x.f.o.Log.Info("backend server leaves by its own word", serverFields(a.member)...)
		x.f.o.OnLeaving(a.member.Server)
	}
	if a.resp.StatusCode == http.StatusServiceUnavailable {
		x.holdOff(a, h.Get(headerRetryAfter))
	}
}

// holdOff keeps requests from a server for the time that its refusal names.
func (x *exchange) holdOff(a *attempt, value string) {
	if value == "" {
		return
	}
	asked, err := parseHold(value)
	if err != nil {
		x.f.o.Log.Warn("backend server's hold is passed over", append(serverFields(a.member), telemetry.Cause(err))...)
		return
	}
	if asked == 0 {
		return
	}
	counts := a.member.HoldOff(asked, time.Now())
	x.f.o.Log.Info("backend server wants no requests", append(serverFields(a.member), zap.Duration("asked", asked), zap.Duration("held", counts))...)
}

// parseHold reads a number of seconds, fractions included.
func parseHold(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, errors.Errorf("%s %.40q is no number of seconds", headerRetryAfter, value)
	}
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second)), nil
}

// promisesNoRun tells whether callers take a status for the promise that the
// request has not run and never will.
func promisesNoRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
