package forward

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// returnToSilentServer sends a stream once more to the server that was given up for its
// silence, if no other server has taken it. It returns true if the request has its final
// answer.
func (x *exchange) returnToSilentServer(ctx context.Context, s *streamState) (bool, error) {
	now := time.Now()
	m := s.silent
	if m == nil || !x.maySendAgain() || ctx.Err() != nil || x.f.isQuarantined(x.req) || !m.IsAvailable(now) || m.Limit() != permit.NoLimit || !x.takeReserved(0) {
		return false, nil
	}
	limit := m.PermitRate(now)
	if limit != permit.NoLimit {
		granted, _ := x.acquirePermit(ctx, []*pool.Member{m}, false, now)
		if granted.Member == nil {
			x.reservedRetries.Add(1)
			return false, nil
		}
		limit = granted.rate
	}
	s.silent, s.isReturn = nil, true
	q := x.query(s.silentModel, now)
	a := x.newAttempt(q, m, s.silentModel, q.ReadTime(m), limit, now)
	done, err := x.attemptStream(ctx, s, a)
	x.finish(a)
	if err != nil {
		x.addStep(a, err.Error())
	}
	return done, err
}

// reserveMove reports whether another server may be tried in place of m, which is still
// silent. It takes that retry from the budget, and for a stream the one by which it returns
// to m if no other server takes it.
func (x *exchange) reserveMove(m *pool.Member) bool {
	now := time.Now()
	if !x.req.Route.IsRepeatable() || x.req.Deadline.Sub(now) <= minTimeLeftToMove || !x.f.hasOtherServer(m, now) {
		return false
	}
	if x.req.Route.Kind != route.Stream {
		if !x.f.opts.Budget.TryReserve(x.req.Service, now) {
			return false
		}
		x.reservedRetries.Store(1)
		return true
	}
	if !x.f.opts.Budget.TryReserveMove(x.req.Service, now) {
		return false
	}
	x.reservedRetries.Add(2)
	return true
}

// hasOtherServer reports whether another server of the same service takes requests.
func (f *Forwarder) hasOtherServer(m *pool.Member, now time.Time) bool {
	for _, other := range f.opts.Pool.Members(m.Service) {
		if other != m && other.IsUsable(now) {
			return true
		}
	}
	return false
}

// minTimeLeftToMove is the time left below which a request is not moved any
// more.
const minTimeLeftToMove = 200 * time.Millisecond
