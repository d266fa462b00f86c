package admission

import (
	"math"
	"time"
)

// headroomTime is how long headroom is kept after the last work of the most
// urgent rank.
const headroomTime = time.Minute

// SetHeadroom changes the part of the limit, 0 to 1, that is kept free for the
// most urgent rank. The whole part is kept while such work arrives; otherwise
// one slot, or none if the part is 0.
func (g *Gate) SetHeadroom(part float64) {
	g.options.Headroom = part
	g.options.Reserve = 0
	if part > 0 {
		g.options.Reserve = 1
	}
}

// recordUrgent records the arrival of work of the most urgent rank.
func (g *Gate) recordUrgent(now time.Time, w *Work) {
	if w.Rank <= 0 {
		g.lastUrgent, g.keepsHeadroom = now, true
	}
}

// expireHeadroom stops keeping headroom that was not used for headroomTime.
func (g *Gate) expireHeadroom(now time.Time) {
	g.keepsHeadroom = g.keepsHeadroom && now.Sub(g.lastUrgent) < headroomTime
}

// reserve returns the number of slots that are kept free for the most urgent
// rank.
func (g *Gate) reserve(limit int) int {
	if !g.keepsHeadroom {
		return g.options.Reserve
	}
	return max(g.options.Reserve, int(math.Round(g.options.Headroom*float64(limit))))
}

// hasFreeSlot reports whether new work of the rank would get a slot at once:
// the rank may use a free slot, and no waiting work is of a rank that may use
// one.
func (g *Gate) hasFreeSlot(rank int) bool {
	if !g.canGrant(rank) {
		return false
	}
	if g.order.Len() == 0 {
		return true
	}
	for r := range g.options.Ranks {
		if g.order.Waiting(r) > 0 && g.canGrant(r) {
			return false
		}
	}
	return true
}
