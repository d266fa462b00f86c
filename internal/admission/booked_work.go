package admission

import (
	"slices"
	"time"
)

// bookedWork lists the waiting booked retries in order of arrival.
type bookedWork struct {
	list []*Work
}

func (b *bookedWork) add(w *Work) { b.list = append(b.list, w) }

func (b *bookedWork) remove(id string) {
	b.list = slices.DeleteFunc(b.list, func(w *Work) bool { return w.ID == id })
}

// nextBooked returns the first booked retry that may run and whose rank is
// below its floor, or nil. Retry times are computed from the floor, so that
// such work goes before more urgent work.
func (g *Gate) nextBooked() *Work {
	for _, w := range g.booked.list {
		rank := g.rank(w.order())
		if g.canGrant(rank) && g.isBelowFloor(rank) && g.fits(w) {
			return w
		}
	}
	return nil
}

// next returns the work to run next, or nil.
func (g *Gate) next(now time.Time) *Work {
	if w := g.nextBooked(); w != nil {
		return w
	}
	w := g.order.Next(now, g.canGrant)
	if w == nil || !g.fits(w) {
		return nil
	}
	return w
}

// Withdraw removes waiting work and reports whether it waited.
func (g *Gate) Withdraw(id string) bool {
	g.booked.remove(id)
	return g.order.Remove(id)
}

// Expire removes and returns the waiting work whose deadline has passed.
func (g *Gate) Expire(now time.Time) []*Work {
	out := g.order.Expire(now)
	for _, w := range out {
		g.booked.remove(w.ID)
	}
	return out
}
