package admission

import "time"

// reviewFraction is the part of refusalWindow after which waiting work is
// reviewed; the rest leaves time until the gate is called again.
const reviewFraction = 0.75

// refusalWindow returns how long waiting work of a rank may still be refused:
// half of the rank's patience after the time to the first token is subtracted,
// because two owners may hold a request in turn. It is at least a quarter of
// the patience.
func (g *Gate) refusalWindow(rank int) time.Duration {
	p := g.options.Ranks[rank].Patience
	return max((p-g.speed.firstToken())/2, p/4)
}

// refusalCutoff returns the arrival time before which waiting work of a rank is
// no longer refused in favour of new work: a refusal comes within the rank's
// patience or not at all.
func (g *Gate) refusalCutoff(now time.Time, rank int) time.Time {
	if g.options.Ranks[rank].Patience <= 0 {
		return time.Time{}
	}
	return now.Add(-g.refusalWindow(rank))
}

// RefuseLate reviews work that has waited for most of its rank's refusal window. If
// an overload lasts and the work would not run in time, the gate removes and
// returns it with the time after which it should be sent again. The result is
// nil if no work is to be refused.
func (g *Gate) RefuseLate(now time.Time) (*Work, time.Duration) {
	for rank, r := range g.options.Ranks {
		if r.Patience <= 0 {
			continue
		}
		cutoff := g.refusalCutoff(now, rank)
		reviewBefore := now.Add(-time.Duration(reviewFraction * float64(now.Sub(cutoff))))
		for w := g.order.TakeUnreviewed(rank, reviewBefore); w != nil; w = g.order.TakeUnreviewed(rank, reviewBefore) {
			if w.isProtected(cutoff) || !g.isLate(now, w, rank) {
				continue
			}
			wait := g.drainTime(rank, g.order.Tokens(rank))
			g.order.Remove(w.ID)
			return w, g.bookings.retryAfter(now, w, wait, g.drainTimeOf(w), true)
		}
	}
	return nil, 0
}

// isLate reports whether waiting work would miss its rank's patience in a
// lasting overload. Promoted work has the patience of its own rank.
func (g *Gate) isLate(now time.Time, w *Work, rank int) bool {
	remaining := g.options.Ranks[g.rank(w.Rank)].Patience - g.speed.firstToken() - now.Sub(w.Arrived)
	return g.pressure[rank].isLasting && g.drainTime(rank, g.order.TokensAheadOf(w)) > remaining
}
