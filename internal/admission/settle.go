package admission

import "time"

// judgedPart is the part of settleTime after which waiting work is judged; the
// rest is for the time until the gate is asked again.
const judgedPart = 0.75

// settleTime is half of a rank's patience, less the first token's time: two
// owners may hold a request in turn.
func (g *Gate) settleTime(rank int) time.Duration {
	p := g.options.Ranks[rank].Patience
	return max((p-g.speed.firstToken())/2, p/4)
}

// settleStart returns the time before which waiting work of a rank must have
// come so that it is no longer refused in place of new work: a refusal comes
// within the rank's patience or not at all.
func (g *Gate) settleStart(now time.Time, rank int) time.Time {
	if g.options.Ranks[rank].Patience <= 0 {
		return time.Time{}
	}
	return now.Add(-g.settleTime(rank))
}

// Settle decides on work that has waited a good part of half its rank's
// patience: when an overload lasts and its turn does not come in time, it is
// taken out and returned with the time after which it should be sent again.
// Settle returns nil if nothing is to be refused.
func (g *Gate) Settle(now time.Time) (*Work, time.Duration) {
	for rank, r := range g.options.Ranks {
		if r.Patience <= 0 {
			continue
		}
		kept := g.settleStart(now, rank)
		before := now.Add(-time.Duration(judgedPart * float64(now.Sub(kept))))
		for w := g.order.Settle(rank, before); w != nil; w = g.order.Settle(rank, before) {
			if w.kept(kept) || !g.late(now, w, rank) {
				continue
			}
			wait := g.drainTime(rank, g.order.Tokens(rank))
			g.order.Remove(w.ID)
			return w, g.returns.promise(now, w, wait, g.pace(w), true)
		}
	}
	return nil, 0
}

// late tells whether waiting work would miss its rank's patience in a lasting
// overload. Promoted work has the patience of its own rank.
func (g *Gate) late(now time.Time, w *Work, rank int) bool {
	left := g.options.Ranks[g.rank(w.Rank)].Patience - g.speed.firstToken() - now.Sub(w.Arrived)
	return g.pressure[rank].lasts && g.drainTime(rank, g.order.Before(w)) > left
}
