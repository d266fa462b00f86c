package admission

import (
	"slices"
	"time"
)

// turns lists the waiting work that came back when it was told to, in the
// order of its coming.
type turns struct {
	list []*Work
}

func (t *turns) add(w *Work) { t.list = append(t.list, w) }

func (t *turns) remove(id string) {
	t.list = slices.DeleteFunc(t.list, func(w *Work) bool { return w.ID == id })
}

// nextTurn returns the first work whose turn it is and whose rank is below its
// floor, or nil. The times promised follow the floor, so that it goes before
// more urgent work.
func (g *Gate) nextTurn() *Work {
	for _, w := range g.turns.list {
		rank := g.rank(w.order())
		if g.allowed(rank) && g.belowFloor(rank) && g.fits(w) {
			return w
		}
	}
	return nil
}

// next returns the work to run next, or nil.
func (g *Gate) next(now time.Time) *Work {
	if w := g.nextTurn(); w != nil {
		return w
	}
	w := g.order.Next(now, g.allowed)
	if w == nil || !g.fits(w) {
		return nil
	}
	return w
}

// Withdraw takes waiting work out and tells whether it was there.
func (g *Gate) Withdraw(id string) bool {
	g.turns.remove(id)
	return g.order.Remove(id)
}

// Expire removes and returns the waiting work whose deadline has passed.
func (g *Gate) Expire(now time.Time) []*Work {
	out := g.order.Expire(now)
	for _, w := range out {
		g.turns.remove(w.ID)
	}
	return out
}
