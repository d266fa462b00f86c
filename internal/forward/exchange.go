package forward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Times after which a refused caller may come back.
const (
	// emptyReturn is for a service without a usable server: the next entry of
	// the list of servers is a heartbeat away.
	emptyReturn = 700 * time.Millisecond
	// fullReturn is for servers that were full: a plain answer takes a few
	// tens of milliseconds.
	fullReturn = 100 * time.Millisecond
	// startingReturn is for a node that has no configuration yet: another node
	// or the store tells it within a few hundred milliseconds, unless all started
	// while the store is out of reach. Then it grows to mostStartingReturn.
	startingReturn     = 400 * time.Millisecond
	mostStartingReturn = 2 * time.Second
	// convictedReturn is for requests that bring servers down.
	convictedReturn = time.Minute
)

// returnWhileStarting returns when callers may come back to a node that has had
// no configuration since it started: an outage that has lasted for a while is
// likely to last about as long again.
func returnWhileStarting(age time.Duration) time.Duration {
	return min(max(age/2, startingReturn), mostStartingReturn)
}

// returnSpread is the share by which times to come back differ, so that callers
// that were refused together do not return together.
const returnSpread = 0.3

// spread lengthens a time by a random share; draw is within 0 to 1.
func spread(d time.Duration, draw float64) time.Duration {
	return d + time.Duration(returnSpread*draw*float64(d))
}

// refusal is an answer of the system's own. Callers are told the reason, the
// log also the detail, which may name servers.
type refusal struct {
	status int
	reason string
	detail string
	after  time.Duration
}

// exchange is one request on its way, and what its answer came to.
type exchange struct {
	f *Forwarder
	w http.ResponseWriter
	q *Request
	// tried are the servers that the request was sent to, runs how many of
	// these may have run it.
	tried []*pool.Member
	runs  int
	sends int
	steps []step
	// mayHaveRun is set once a send left no promise that it did not run.
	mayHaveRun bool
	held       int64 // bytes of plain answers that were read
	started    bool  // the answer's header was sent
	torn       bool  // the answer ended early
	status     int
	outcome    string
	firstByte  time.Time
	// longestPause is the longest time between two events that were passed on.
	longestPause time.Duration
}

// step is one decision of an exchange, for its log line.
type step struct {
	Server  string  `json:"server,omitempty"`
	Version string  `json:"version,omitempty"`
	Model   string  `json:"model,omitempty"`
	Load    float64 `json:"load,omitempty"`
	WaitMS  int64   `json:"wait_ms,omitempty"`
	// LoadAgeMS is how old the news of the load were.
	LoadAgeMS  int64           `json:"load_age_ms,omitempty"`
	PassedOver pool.PassedOver `json:"passed_over,omitzero"`
	AtMS       int64           `json:"at_ms"`
	Result     string          `json:"result"`
}

func (x *exchange) serve(ctx context.Context) {
	if x.q.Route.Kind == route.Stream {
		x.stream(ctx)
		return
	}
	x.plain(ctx)
}

// note adds a step.
func (x *exchange) note(a *attempt, result string) {
	s := step{AtMS: time.Since(x.q.Arrived).Milliseconds(), Result: result}
	if a != nil {
		s.Server, s.Version, s.Model, s.Load = a.member.ID, a.member.Version, a.model, a.load
		s.WaitMS, s.LoadAgeMS, s.PassedOver = a.wait.Milliseconds(), a.loadAge.Milliseconds(), a.passed
	}
	x.steps = append(x.steps, s)
}

// refuse sends an answer of the system's own.
func (x *exchange) refuse(r refusal) {
	x.outcome = cmp.Or(r.detail, r.reason)
	if x.started {
		x.torn = true
		return
	}
	x.started, x.status = true, r.status
	x.f.o.Metrics.Refusals.WithLabelValues(strconv.Itoa(r.status), r.reason).Inc()
	if r.after > 0 {
		x.w.Header().Set(headerRetryAfter, strconv.FormatFloat(spread(r.after, rand.Float64()).Seconds(), 'f', 2, 64))
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(r.status)
	_, _ = x.w.Write([]byte(`{"error":` + strconv.Quote(r.reason) + `}`))
}

// giveUp ends a request that cannot be served, truthfully about whether it ran.
// detail is the last cause, after when the caller may
// come back unless all servers want to be left alone for longer.
func (x *exchange) giveUp(ctx context.Context, detail string, after time.Duration) {
	switch {
	case ctx.Err() != nil && time.Now().Before(x.q.Deadline):
		x.outcome, x.torn = "caller left", true
	case !x.mayHaveRun && x.runs == 0:
		after = max(after, x.f.o.Pool.ShortestHold(x.q.Service, time.Now()))
		x.refuse(refusal{status: http.StatusServiceUnavailable, reason: "no backend server took the request", detail: detail, after: after})
	case ctx.Err() != nil:
		x.refuse(refusal{status: http.StatusGatewayTimeout, reason: "time is up", detail: "time is up: " + detail})
	default:
		x.refuse(refusal{status: http.StatusBadGateway, reason: "backend server failed", detail: detail})
	}
}

// mayRetry tells whether another server may be tried, and takes the attempt
// from the budget.
func (x *exchange) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || x.sends >= x.q.Route.MaxAttempts {
		return false
	}
	if x.sends > 0 && !x.f.o.Budget.Take(x.q.Service, time.Now()) {
		x.note(nil, "retry budget is used up")
		return false
	}
	return true
}

// record logs and counts the exchange.
func (x *exchange) record(began time.Time) {
	kind := x.q.Route.Kind.String()
	x.f.o.Metrics.Requests.WithLabelValues(kind, strconv.Itoa(x.status)).Inc()
	x.f.o.Metrics.RequestTime.WithLabelValues(kind).Observe(time.Since(began).Seconds())
	if !x.firstByte.IsZero() {
		x.f.o.Metrics.FirstByteTime.WithLabelValues(kind).Observe(x.firstByte.Sub(began).Seconds())
	}
	isFailure := x.torn || x.status >= http.StatusInternalServerError
	if !isFailure && !x.f.sampler.Keep(x.q.ID, time.Now()) {
		return
	}
	ran := "no"
	if x.mayHaveRun || x.runs > 0 {
		ran = "maybe"
	}
	fields := []zap.Field{zap.String("request", x.q.ID), zap.String("route", x.q.Route.Name), zap.String("service", x.q.Service),
		zap.String("organisation", organisationName(x.q.Organisation)), zap.Int64("config", x.q.TableVersion),
		zap.Int("status", x.status), zap.String("outcome", x.outcome), zap.String("ran", ran), zap.Bool("torn", x.torn),
		zap.Int64("ms", time.Since(began).Milliseconds()), zap.Int64("left_ms", x.leftMS()),
		zap.Int64("first_ms", x.firstMS()), zap.Int64("pause_ms", x.longestPause.Milliseconds()), zap.Int("rank", x.q.Rank),
		zap.Float64("prompt_tokens", x.q.PromptTokens), zap.Any("steps", x.steps)}
	if isFailure {
		fields = append(fields, x.circumstances()...)
	}
	x.f.o.Log.Info("request", fields...)
}

// circumstances are what else decided about a request that failed: the servers
// that could have been chosen, the retry budget and the wait for engines.
func (x *exchange) circumstances() []zap.Field {
	now, present, usable := time.Now(), 0, 0
	for _, m := range x.f.o.Pool.Members(x.q.Service) {
		if m.Present() {
			present++
		}
		if m.Usable(now) {
			usable++
		}
	}
	return []zap.Field{
		zap.Int("servers_present", present), zap.Int("servers_usable", usable), zap.Int("sends", x.sends), zap.Int("attempts", x.q.Route.MaxAttempts),
		zap.Float64("budget_left", x.f.o.Budget.Left(x.q.Service, now)), zap.Int64("mean_wait_ms", x.f.o.Pool.MeanWait(x.q.Service, now).Milliseconds()),
	}
}

// leftMS returns how long the caller would still wait in milliseconds, 0 if
// the request was refused before that was read.
func (x *exchange) leftMS() int64 {
	if x.q.CallerDeadline.IsZero() {
		return 0
	}
	return time.Until(x.q.CallerDeadline).Milliseconds()
}

// firstMS returns the time to the answer's first byte in milliseconds, or -1.
func (x *exchange) firstMS() int64 {
	if x.firstByte.IsZero() {
		return -1
	}
	return x.firstByte.Sub(x.q.Arrived).Milliseconds()
}
