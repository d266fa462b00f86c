package admission

import (
	"math"
	"time"
)

// headroomTime is how long headroom is kept after the most urgent rank's last
// work.
const headroomTime = time.Minute

// SetHeadroom changes the part of the limit, 0 to 1, that is kept free for the
// most urgent rank: one slot at least, unless it is 0, and the whole part while
// such work comes.
func (g *Gate) SetHeadroom(part float64) {
	g.options.Headroom = part
	g.options.Reserve = 0
	if part > 0 {
		g.options.Reserve = 1
	}
}

// noteUrgent notes that work of the most urgent rank came.
func (g *Gate) noteUrgent(now time.Time, w *Work) {
	if w.Rank <= 0 {
		g.urgent, g.roomy = now, true
	}
}

// fadeHeadroom gives headroom up that is not used.
func (g *Gate) fadeHeadroom(now time.Time) {
	g.roomy = g.roomy && now.Sub(g.urgent) < headroomTime
}

// reserve returns the slots that are kept free for the most urgent rank.
func (g *Gate) reserve(limit int) int {
	if !g.roomy {
		return g.options.Reserve
	}
	return max(g.options.Reserve, int(math.Round(g.options.Headroom*float64(limit))))
}

// free tells whether new work of the rank would get a place at once: what
// waits, if anything, waits for slots that are not kept for the rank.
func (g *Gate) free(rank int) bool {
	if !g.allowed(rank) {
		return false
	}
	if g.order.Len() == 0 {
		return true
	}
	for r := range g.options.Ranks {
		if g.order.Waiting(r) > 0 && g.allowed(r) {
			return false
		}
	}
	return true
}
