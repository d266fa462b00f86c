package forward

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// headerRetryAfter names the header with the number of seconds after which the
// receiver of a refusal may retry.
const headerRetryAfter = "Retry-After"

// drainingValue is the header value by which a server announces that it is
// draining.
const drainingValue = "1"

// handleServerNotices handles the announcements of a server in the header of
// its answer: that it is draining or cold, that it limits its requests, or that it backs
// off for some time.
func (x *exchange) handleServerNotices(a *attempt) {
	h := a.resp.Header
	if strings.TrimSpace(h.Get(x.f.opts.Headers.Draining)) == drainingValue && a.member.MarkDraining() {
		x.f.opts.Log.Info("backend server announced draining", serverFields(a.member)...)
		x.f.opts.OnDraining(a.member.Server)
	}
	x.applyWarmup(a, h.Get(x.f.opts.Headers.Warmup))
	x.applyBrittleness(a)
	x.applyLimit(a, h.Values(x.f.opts.Headers.Limit))
	if a.resp.StatusCode == http.StatusServiceUnavailable {
		x.applyBackoff(a, h.Get(headerRetryAfter))
	}
}

// applyWarmup records how many milliseconds the server says that it is still cold, if it
// does. A value that makes no sense is not used.
func (x *exchange) applyWarmup(a *attempt, value string) {
	now := time.Now()
	a.member.RecordContact(a.began, now)
	ms, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(ms >= 0) || ms > maxWarmupMS {
		return
	}
	left := time.Duration(ms * float64(time.Millisecond))
	if a.member.RecordWarmup(left, a.began, now) {
		x.f.publishCold(a.member, left, false)
	}
}

// maxWarmupMS bounds the warm-up in milliseconds that a server may name.
const maxWarmupMS = 24 * 3600 * 1000

// applyBrittleness records whether the server is brittle, and that it had no room.
func (x *exchange) applyBrittleness(a *attempt) {
	refusals, err := strconv.ParseFloat(strings.TrimSpace(a.resp.Header.Get(x.f.opts.Headers.Brittle)), 64)
	if err != nil || math.IsNaN(refusals) || math.IsInf(refusals, 0) || refusals < 0 {
		a.member.RecordSound()
		return
	}
	now := time.Now()
	a.member.RecordBrittle(refusals, now)
	if a.resp.Header.Get(x.f.opts.Headers.NotRun) != "" {
		a.member.RecordRefusal(x.f.opts.FleetSize(), now, rand.Float64())
	}
}

// applyBackoff keeps requests from a server for the time given in its refusal.
func (x *exchange) applyBackoff(a *attempt, value string) {
	if value == "" {
		return
	}
	asked, err := parseRetryAfter(value)
	if err != nil {
		x.f.opts.Log.Warn("invalid Retry-After of backend server ignored", append(serverFields(a.member), telemetry.ErrorField(err))...)
		return
	}
	if asked == 0 {
		return
	}
	limited := a.member.StartBackoff(asked, time.Now())
	x.f.opts.Log.Info("backend server backs off", append(serverFields(a.member), zap.Duration("asked", asked), zap.Duration("held", limited))...)
}

// parseRetryAfter parses a number of seconds with optional fractions.
func parseRetryAfter(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, errors.Errorf("%s %.40q is not a number of seconds", headerRetryAfter, value)
	}
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second)), nil
}

// applyLimit records the rate limit that a server names in its answer, or that
// it names none.
func (x *exchange) applyLimit(a *attempt, values []string) {
	limit, err := permit.ParseLimit(values)
	if err != nil && a.member.RecordInvalidLimit(err.Error()) {
		x.f.opts.Log.Warn("invalid limit of backend server", append(serverFields(a.member), telemetry.ErrorField(err), zap.Float64("in_force", a.member.Limit()))...)
	}
	if err != nil && limit == permit.NoLimit {
		return
	}
	old := a.member.Limit()
	if !a.member.RecordLimit(limit, a.began, time.Now()) {
		return
	}
	x.f.opts.OnLimit(a.member.Server, limit)
	if limit == permit.NoLimit {
		x.f.opts.Log.Info("backend server ended its limit", append(serverFields(a.member), zap.Float64("before", old))...)
		return
	}
	x.f.opts.Log.Info("backend server named a limit", append(serverFields(a.member), zap.Float64("limit", limit), zap.Float64("before", old))...)
}

// promisesNoRun reports whether callers take a status as a promise that the
// request has not run and never will.
func promisesNoRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
