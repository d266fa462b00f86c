package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

// attempt is one transmission of a request to a server.
type attempt struct {
	member         *pool.Member
	model          string
	load           float64
	expectedWait   time.Duration
	began          time.Time
	resp           *http.Response
	cancel         context.CancelFunc
	speed          float64       // of the server when it was chosen: how long work takes, relative to the usual time
	pendingPrefill time.Duration // usual time to read the part of the prompt that the server has not yet read
	work           pool.Details  // what the attempt adds to the load where long prompts are told from short ones
	isLong         bool          // whether the prompt counts as long at the server
	uncachedTokens float64       // prompt tokens that the server is expected to read
	newParts       []prefix.Part // prompt parts that the server reads for the first time
	// ordersByRead is set if the engine is to read short prompts before long ones.
	ordersByRead bool
	// loadAge and skipped are logged: the age of the load information by which
	// the server was chosen, and the counts of the servers that could not be
	// chosen.
	loadAge time.Duration
	skipped pool.Skipped
	// limit is the rate for which the attempt has a permit, in requests per second, or
	// permit.NoLimit if it needed none.
	limit float64
	// firstEvent is when the first event of a stream arrived, zero before it. events
	// counts those with content.
	firstEvent time.Time
	events     int
	// isRelayed is set once the request has a connection that leads through another node.
	isRelayed atomic.Bool
	// survivalRecorded is when the attempt was last recorded as a survival.
	survivalRecorded time.Time
	// decision is logged: whether the answer was accepted, nil if that was not
	// decided. nextModel is the larger model for which it was dropped.
	decision  *escalation
	nextModel string
}

// result classifies the end of an attempt.
type result int

const (
	// resultAnswered means that the server's own answer was received.
	resultAnswered result = iota
	// resultNotRun means that the server promised not to have run the request,
	// or never received it.
	resultNotRun
	// resultUnknown means that the request may have run.
	resultUnknown
)

// String implements fmt.Stringer.
func (r result) String() string {
	switch r {
	case resultAnswered:
		return "answered"
	case resultNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// choose selects a server for the next attempt, and acquires a permit if the server
// has a limit. It returns nil if there is none.
func (x *exchange) choose(ctx context.Context, model string) *attempt {
	if a := x.reserved; a != nil {
		x.reserved = nil
		return a
	}
	x.permitAfter = 0
	now := time.Now()
	q := x.query(model, now)
	if !x.f.opts.Pool.HasUnlimited(q, now) {
		if a, ok := x.chooseLimited(ctx, q, model); ok {
			return a
		}
	}
	q.Exclude = x.tried
	a := x.chooseAny(ctx, q, model)
	if a == nil && len(x.tried) > 0 {
		// If no untried server is left, a server that was tried may be used
		// again.
		q.Exclude = nil
		a = x.chooseAny(ctx, q, model)
	}
	return a
}

// chooseAny selects a server of a query. Servers that refuse a permit are passed over.
func (x *exchange) chooseAny(ctx context.Context, q pool.Query, model string) *attempt {
	for asked := 0; ; asked++ {
		now := time.Now()
		q.ExcludeLimited = asked == maxPermitAsks
		m, read := x.f.opts.Pool.Choose(q, now)
		if m == nil {
			return nil
		}
		limit := m.PermitRate(now)
		if limit != permit.NoLimit {
			granted, _ := x.acquirePermit(ctx, []*pool.Member{m}, false, now)
			if granted.Member == nil && m.IsCold(now) {
				asked = maxPermitAsks - 1
			}
			if granted.Member == nil {
				continue
			}
			limit = granted.rate
		}
		return x.newAttempt(q, m, model, read, limit, now)
	}
}

// newAttempt returns an attempt at the chosen server. read is the expected time to read
// the prompt there, limit the rate for which there is a permit.
func (x *exchange) newAttempt(q pool.Query, m *pool.Member, model string, read time.Duration, limit float64, now time.Time) *attempt {
	tokens, estimate := uncachedTokens(x.req.PromptTokens, read, q.ColdReadTime), m.LoadEstimate(now)
	a := &attempt{
		member: m, model: model, load: estimate.Occupancy(), expectedWait: estimate.Wait(), speed: estimate.Speed, began: now,
		uncachedTokens: tokens, pendingPrefill: x.f.readSpeeds.readTime(model, tokens), loadAge: m.LoadAge(now), skipped: x.f.opts.Pool.CountSkipped(q, now),
		limit: limit,
	}
	if target := x.f.opts.Table().ShortestTarget(x.req.Service); target > 0 {
		a.ordersByRead, a.work.Tokens = true, q.Tokens
		if pool.IsLongRead(a.pendingPrefill, target) {
			a.isLong, a.work.LongPrefill = true, a.pendingPrefill
		}
	}
	return a
}

// query returns the pool query for the request.
func (x *exchange) query(model string, now time.Time) pool.Query {
	q := pool.Query{
		Service: x.req.Service, DataCentre: x.f.opts.DataCentre, Draw: rand.Float64,
		Versions: x.f.opts.Versions.Pick(x.req.Service, x.req.sessionKey(), now),
	}
	if table := x.f.opts.Table(); table.HasShortPauses(x.req.Service) {
		q.Tokens = x.req.PromptTokens + x.req.ExpectedTokens
		if s := table.Service(x.req.Service); s != nil {
			q.MemoryTokens = s.MemoryTokens
		}
	}
	if !x.req.Route.Sticky || x.req.Subject == "" {
		return q
	}
	q.Affinity = model + "/" + x.req.Subject
	q.RemotePenalty = x.f.readSpeeds.comparisonCost(model, x.req.transferKB()*tokensPerKB)
	q.ColdReadTime = x.f.readSpeeds.comparisonCost(model, x.req.PromptTokens)
	q.CachedReadTimes = map[prefix.Server]time.Duration{}
	for server, cached := range x.f.opts.Prefixes.Cached(x.req.sharedPartHashes(model), now) {
		q.CachedReadTimes[server] = x.f.readSpeeds.comparisonCost(model, x.req.uncachedTokens(cached))
	}
	return q
}

// uncachedTokens returns how many of the prompt's tokens are read in
// readTime if the whole prompt takes coldReadTime.
func uncachedTokens(promptTokens float64, readTime, coldReadTime time.Duration) float64 {
	if coldReadTime <= 0 {
		return promptTokens
	}
	return promptTokens * float64(readTime) / float64(coldReadTime)
}

// send sends the request, waits for the header of the answer and records the
// attempt's duration and whether its server may have run the request.
func (x *exchange) send(ctx context.Context, a *attempt, lastEvent string) (result, error) {
	began := time.Now()
	res, err := x.roundTrip(ctx, a, lastEvent)
	if res != resultNotRun {
		x.mayHaveRun = true
	}
	x.f.opts.Metrics.AttemptTime.WithLabelValues(x.req.Route.Kind.String(), res.String()).Observe(time.Since(began).Seconds())
	return res, err
}

// roundTrip sends the request and classifies the result.
func (x *exchange) roundTrip(ctx context.Context, a *attempt, lastEvent string) (result, error) {
	if !a.member.BeginPermitted(a.began, a.pendingPrefill, a.limit) {
		x.tried = append(x.tried, a.member)
		return resultNotRun, errors.New("server stopped taking requests")
	}
	a.member.BeginWork(a.work)
	if a.limit != permit.NoLimit {
		x.f.opts.Metrics.LimitedAttempts.Inc()
	}
	if a.member.IsCold(a.began) {
		x.f.opts.Metrics.ColdAttempts.Inc()
	}
	ctx, a.cancel = context.WithCancel(ctx)
	x.current = a
	req := x.f.opts.Headers.newRequest(x.req, a.member.Address, a.member.ID, time.Now()).WithContext(a.traceRelay(ctx))
	if a.model != "" {
		req.Header.Set(x.f.opts.Headers.Model, a.model)
	}
	if x.req.PromptTokens > 0 {
		req.Header.Set(x.f.opts.Headers.Priority, strconv.Itoa(enginePriority(a, x.req.Rank)))
	}
	if lastEvent != "" {
		req.Header.Set(x.f.opts.Headers.LastEventID, lastEvent)
	}
	// On a kept connection a late copy of a refusal would pass for the answer to the
	// same request.
	needsOwnConnection := !x.req.Route.IsRepeatable() || slices.Contains(x.tried, a.member)
	x.tried = append(x.tried, a.member)
	x.sends++
	a.newParts = x.f.opts.Prefixes.RecordUse(a.member.Key(), x.req.sharedPartHashes(a.model), a.began)
	transport := x.f.reusingTransport
	switch {
	case x.f.links.isCut(a.member.Address):
		transport = x.f.relayTransport
	case needsOwnConnection || x.f.links.isSuspicious():
		transport = x.f.singleUseTransport
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		x.f.opts.Prefixes.Remove(a.member.Key(), a.newParts)
		return x.classifySendError(a, err)
	}
	a.resp = resp
	x.recordLoad(a)
	res, err := x.classifyAnswer(a)
	if res != resultAnswered {
		x.f.opts.Prefixes.Remove(a.member.Key(), a.newParts)
	}
	return res, err
}

// classifySendError classifies an attempt without an answer and records the
// failure.
func (x *exchange) classifySendError(a *attempt, err error) (result, error) {
	var connectErr *ConnectError
	if errors.As(err, &connectErr) {
		x.sends--
		a.member.RecordProbe(false, time.Now())
		if errors.Is(err, syscall.ECONNREFUSED) {
			x.f.publishCold(a.member, 0, true)
		}
		x.recordFailure(a)
		return resultNotRun, err
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, errQuarantined) || errors.Is(err, ErrRelayLost) {
		return resultUnknown, err
	}
	x.recordFailure(a)
	if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, errStalled) {
		x.recordBreak(a)
	}
	return resultUnknown, err
}

// classifyAnswer classifies an attempt by the header of its answer.
func (x *exchange) classifyAnswer(a *attempt) (result, error) {
	h := a.resp.Header
	// On a kept connection an answer without the request's ID may be a late copy of
	// an earlier one.
	if echo := h.Get(x.f.opts.Headers.RequestID); echo != x.req.ID {
		x.recordFailure(a)
		return resultUnknown, errors.Errorf("answer belongs to request %q", echo)
	}
	if a.resp.StatusCode < http.StatusOK || a.resp.ProtoMajor != 1 {
		x.recordFailure(a)
		return resultUnknown, errors.Errorf("server sent %s %d in place of a final answer", a.resp.Proto, a.resp.StatusCode)
	}
	switch {
	case a.resp.StatusCode == http.StatusMisdirectedRequest:
		x.recordFailure(a)
		return resultNotRun, errors.New("address belongs to another server")
	}
	x.handleServerNotices(a)
	switch {
	case h.Get(x.f.opts.Headers.NotRun) != "":
		return resultNotRun, errors.Errorf("server refused with %d", a.resp.StatusCode)
	case promisesNoRun(a.resp.StatusCode):
		// Forwarded to the caller, this status would promise that the request
		// did not run, which the server did not state.
		x.observe(a, true)
		return resultUnknown, errors.Errorf("server answered %d without stating that the request did not run", a.resp.StatusCode)
	}
	return resultAnswered, nil
}

// recordFailure records a failure of the attempt's server.
func (x *exchange) recordFailure(a *attempt) {
	if a.member.RecordFailure(time.Now(), a.began, rand.Float64()) {
		x.f.opts.Log.Info("backend server ejected", serverFields(a.member)...)
	}
}

// finish ends an attempt. It closes the connection unless the answer was read
// to its end.
func (x *exchange) finish(a *attempt) {
	if a.cancel == nil {
		return
	}
	a.cancel()
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	a.finishPrefill()
	a.member.EndWork(a.work)
	a.member.EndRequest()
	a.cancel = nil
}

// finishPrefill records that the server has read the prompt.
func (a *attempt) finishPrefill() {
	a.member.FinishPrefill(a.pendingPrefill)
	a.member.EndWork(pool.Details{LongPrefill: a.work.LongPrefill})
	a.pendingPrefill, a.work.LongPrefill = 0, 0
}

// enginePriority returns the priority of an attempt at its engine, from 0 (first) to 9. It
// follows from the time to read the prompt where short prompts must not wait behind long ones,
// else from the rank. Engines assume 5 for requests without a priority.
func enginePriority(a *attempt, rank int) int {
	if a.ordersByRead {
		return pool.ReadPriority(a.pendingPrefill)
	}
	return min(max(rank, 0), 4)
}
