package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/pool"
)

const (
	// maxPermitAsks is how many limited servers are asked for beside servers without a
	// limit. Each ask takes a round trip to another node.
	maxPermitAsks = 2
	// minHoldOff is the least time for which a server is passed over after it refused a
	// permit.
	minHoldOff = 5 * time.Millisecond
	// maxPermitWait is how long a request that has run waits for a permit to go on
	// elsewhere.
	maxPermitWait = 2 * time.Second
	// maxColdHoldOff bounds the time for which a cold server is passed over after it refused
	// a permit. It may be the only one that is free.
	maxColdHoldOff = 3 * time.Second
)

// permitted is a server that a permit is for, and the rate for which it was asked.
type permitted struct {
	*pool.Member
	rate float64
}

// acquirePermit asks for a permit to send to one of the servers, and returns that server,
// or none and the refusal. isLast is set if no other server can take the request. now is
// when the servers were chosen.
func (x *exchange) acquirePermit(ctx context.Context, servers []*pool.Member, isLast bool, now time.Time) (permitted, permit.Reply) {
	q := permit.Request{
		Service: x.req.Service, IsLast: isLast, Rank: x.req.Rank, Organisation: organisationName(x.req.Organisation),
		Fingerprint: x.req.Fingerprint, TimeLeft: time.Until(x.req.CallerDeadline),
	}
	rates := make([]float64, len(servers))
	for i, m := range servers {
		rate, isCold := m.PermitTerms(now)
		rates[i] = rate
		q.Servers = append(q.Servers, permit.Server{ID: m.ID, Started: m.Started, Limit: max(rate, 0), IsCold: isCold})
	}
	reply := x.f.opts.Permits.Acquire(ctx, q)
	if reply.Granted > 0 && reply.Granted <= len(servers) {
		x.f.opts.Metrics.Permits.WithLabelValues("granted").Inc()
		return permitted{servers[reply.Granted-1], rates[reply.Granted-1]}, reply
	}
	result := "refused"
	if !reply.IsCoordinator {
		result = "no_coordinator"
	}
	x.f.opts.Metrics.Permits.WithLabelValues(result).Inc()
	if !isLast {
		servers[0].HoldOff(x.holdOffTime(servers[0], reply, now), time.Now())
	}
	return permitted{}, reply
}

// holdOffTime returns for how long a server is passed over that refused a permit. An idle
// cold server attracts the requests of all nodes, so each node leaves it alone for about
// the time in which it may have a permit.
func (x *exchange) holdOffTime(m *pool.Member, reply permit.Reply, now time.Time) time.Duration {
	d := max(reply.Next, minHoldOff)
	rate, isCold := m.PermitTerms(now)
	if !isCold || rate <= 0 {
		return d
	}
	spread := rand.Float64() * float64(x.f.opts.FleetSize()) / rate * float64(time.Second)
	return max(d, time.Duration(min(spread, float64(maxColdHoldOff))))
}

// chooseLimited selects among the servers of a query that all have a limit. It returns
// false if there are none.
func (x *exchange) chooseLimited(ctx context.Context, q pool.Query, model string) (*attempt, bool) {
	for end := time.Now().Add(maxPermitWait); ; {
		now := time.Now()
		q.Exclude = x.tried
		servers := x.f.opts.Pool.Limited(q, now)
		if len(servers) == 0 {
			q.Exclude = nil
			servers = x.f.opts.Pool.Limited(q, now)
		}
		if len(servers) == 0 {
			return nil, false
		}
		granted, reply := x.acquirePermit(ctx, servers, true, now)
		if m := granted.Member; m != nil {
			return x.newAttempt(q, m, model, q.ReadTime(m), granted.rate, now), true
		}
		x.permitAfter = reply.RetryAfter
		next := max(reply.Next, minHoldOff)
		if !x.mayHaveRun || ctx.Err() != nil || now.Add(next).After(end) {
			// The caller can be told that the request has not run, and when to return.
			return nil, true
		}
		loop.Sleep(ctx, next)
	}
}

// reserveNext reports whether another server can take the request, so that an answer at
// hand may be dropped. If all have limits, it reserves a permit for the next attempt.
func (x *exchange) reserveNext(ctx context.Context, model string) bool {
	now := time.Now()
	q := x.query(model, now)
	if x.f.opts.Pool.HasUnlimited(q, now) {
		return true
	}
	servers := x.f.opts.Pool.Limited(q, now)
	if len(servers) == 0 {
		return !x.f.opts.Pool.IsEvacuated(q.Service)
	}
	if granted, _ := x.acquirePermit(ctx, servers, true, now); granted.Member != nil {
		x.reserved = x.newAttempt(q, granted.Member, model, q.ReadTime(granted.Member), granted.rate, now)
	}
	return x.reserved != nil
}
