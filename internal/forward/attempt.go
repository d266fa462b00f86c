package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

// attempt is one send of a request to a server.
type attempt struct {
	member *pool.Member
	model  string
	load   float64
	wait   time.Duration
	began  time.Time
	resp   *http.Response
	cancel context.CancelFunc
	unread time.Duration // work on the prompt that counts as not yet done
	tokens float64       // of the prompt that the server is expected to read
	parts  []prefix.Part // of the prompt that the server reads for the first time
	// loadAge and passed are for the log: how old the news were by which the
	// server was chosen, and which others were not there to choose.
	loadAge time.Duration
	passed  pool.PassedOver
}

// result classifies how far an attempt came.
type result int

const (
	// answered: the server's own answer is there.
	answered result = iota
	// notRun: the server promised that it did not run the request, or never
	// got it.
	notRun
	// unknown: the request may have run.
	unknown
)

// String implements fmt.Stringer.
func (r result) String() string {
	switch r {
	case answered:
		return "answered"
	case notRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// choose picks a server, or returns nil.
func (x *exchange) choose(model string) *attempt {
	now := time.Now()
	q := x.query(model, now)
	q.Exclude = x.tried
	m, read := x.f.o.Pool.Choose(q, now)
	if m == nil && len(x.tried) > 0 {
		// Without another server, one that was tried is better than none.
		q.Exclude = nil
		m, read = x.f.o.Pool.Choose(q, now)
	}
	if m == nil {
		return nil
	}
	tokens := readTokens(x.q.PromptTokens, read, q.Cold)
	return &attempt{
		member: m, model: model, load: m.Occupancy(now), wait: m.Wait(now), began: now,
		tokens: tokens, unread: x.f.speeds.read(model, tokens), loadAge: m.LoadAge(now), passed: x.f.o.Pool.PassedOver(q, now),
	}
}

// query describes the request to the pool.
func (x *exchange) query(model string, now time.Time) pool.Query {
	q := pool.Query{
		Service: x.q.Service, DataCentre: x.f.o.DataCentre, Draw: rand.Float64,
		Versions: x.f.o.Versions.Pick(x.q.Service, x.q.sessionKey(), now),
	}
	if !x.q.Route.Sticky || x.q.Subject == "" {
		return q
	}
	q.Affinity = model + "/" + x.q.Subject
	q.Far = x.f.speeds.weight(model, x.q.kilobytes()*tokensPerKB)
	q.Cold = x.f.speeds.weight(model, x.q.PromptTokens)
	q.Read = map[prefix.Server]time.Duration{}
	for server, n := range x.f.o.Prefixes.Cached(x.q.keys(model), now) {
		q.Read[server] = x.f.speeds.weight(model, x.q.uncached(n))
	}
	return q
}

// readTokens returns the part of a prompt's tokens that takes the time read,
// where all of them take cold.
func readTokens(prompt float64, read, cold time.Duration) float64 {
	if cold <= 0 {
		return prompt
	}
	return prompt * float64(read) / float64(cold)
}

// send sends the request and waits for the header of the answer.
func (x *exchange) send(ctx context.Context, a *attempt, lastEvent string) (result, error) {
	began := time.Now()
	res, err := x.roundTrip(ctx, a, lastEvent)
	x.f.o.Metrics.AttemptTime.WithLabelValues(x.q.Route.Kind.String(), res.String()).Observe(time.Since(began).Seconds())
	return res, err
}

func (x *exchange) roundTrip(ctx context.Context, a *attempt, lastEvent string) (result, error) {
	if !a.member.Begin(a.began, a.unread) {
		x.tried = append(x.tried, a.member)
		return notRun, errors.New("server takes no requests any more")
	}
	ctx, a.cancel = context.WithCancel(ctx)
	req := x.f.o.Headers.request(x.q, a.member.Address, a.member.ID, time.Now()).WithContext(ctx)
	if a.model != "" {
		req.Header.Set(x.f.o.Headers.Model, a.model)
	}
	if x.q.PromptTokens > 0 {
		req.Header.Set(x.f.o.Headers.Priority, strconv.Itoa(enginePriority(x.q.Rank)))
	}
	if lastEvent != "" {
		req.Header.Set(x.f.o.Headers.LastEventID, lastEvent)
	}
	x.tried = append(x.tried, a.member)
	x.sends++
	a.parts = x.f.o.Prefixes.Use(a.member.Key(), x.q.keys(a.model), a.began)
	transport := x.f.kept
	if !x.q.Route.Repeatable() {
		transport = x.f.fresh
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		x.f.o.Prefixes.Drop(a.member.Key(), a.parts)
		return x.sendFailed(a, err)
	}
	a.resp = resp
	x.reportLoad(a)
	res, err := x.classify(a)
	if res != answered {
		x.f.o.Prefixes.Drop(a.member.Key(), a.parts)
	}
	return res, err
}

// sendFailed tells whether a request that got no answer may have run.
func (x *exchange) sendFailed(a *attempt, err error) (result, error) {
	var connect *ConnectError
	if errors.As(err, &connect) {
		x.sends--
		a.member.Probed(false, time.Now())
		x.fail(a)
		return notRun, err
	}
	x.mayHaveRun = true
	x.runs++
	if !errors.Is(err, context.Canceled) {
		x.fail(a)
	}
	if !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		x.f.suspectCrash(x.q.Fingerprint, a.member)
	}
	return unknown, err
}

// classify tells what an answer's header promises.
func (x *exchange) classify(a *attempt) (result, error) {
	h := a.resp.Header
	if echo := h.Get(x.f.o.Headers.RequestID); echo != "" && echo != x.q.ID {
		x.mayHaveRun = true
		x.runs++
		x.fail(a)
		return unknown, errors.Errorf("answer belongs to request %s", echo)
	}
	switch {
	case a.resp.StatusCode == http.StatusMisdirectedRequest:
		x.fail(a)
		return notRun, errors.New("another server has the address")
	}
	x.heedNotices(a)
	switch {
	case h.Get(x.f.o.Headers.NotRun) != "":
		return notRun, errors.Errorf("server refused with %d", a.resp.StatusCode)
	case promisesNoRun(a.resp.StatusCode):
		// Passed on, the status would promise what the server did not.
		x.mayHaveRun = true
		x.runs++
		x.observe(a, true)
		return unknown, errors.Errorf("server answered %d without a promise", a.resp.StatusCode)
	}
	x.runs++
	return answered, nil
}

// fail notes a failure of the attempt's server.
func (x *exchange) fail(a *attempt) {
	if a.member.Fail(time.Now(), a.began, rand.Float64()) {
		x.f.o.Log.Info("backend server ejected", serverFields(a.member)...)
	}
}

// finish ends an attempt; its connection is closed unless the answer was read
// to its end.
func (x *exchange) finish(a *attempt) {
	if a.cancel == nil {
		return
	}
	a.cancel()
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	a.prefilled()
	a.member.End()
	a.cancel = nil
}

// prefilled notes that the prompt was read.
func (a *attempt) prefilled() {
	a.member.Prefilled(a.unread)
	a.unread = 0
}

// reportLoad takes the load that an answer's header tells.
func (x *exchange) reportLoad(a *attempt) {
	parts := strings.Split(a.resp.Header.Get(x.f.o.Headers.Load), ",")
	if len(parts) != 3 {
		return
	}
	var v [3]int
	for i, p := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 {
			return
		}
		v[i] = n
	}
	a.member.Report(pool.Load{Running: v[0], Waiting: v[1], Slots: v[2], At: time.Now()})
}

// enginePriority maps ranks to the engines' priorities, 0 first to 9; 5 is
// what an engine assumes of requests without one.
func enginePriority(rank int) int { return min(max(rank, 0), 4) }
