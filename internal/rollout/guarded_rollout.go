package rollout

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// guardedRollout is one roll-out's guard with the outcomes that it has not yet
// analyzed. It is kept while another node acts as the controller, since nodes'
// views of the membership differ for a while when nodes join and leave.
type guardedRollout struct {
	from, to    config.Target
	guard       *Guard
	tracker     *DeltaTracker
	pendingOld  Evidence
	pendingNext Evidence
}

func newGuardedRollout(plan *config.Rollout) *guardedRollout {
	return &guardedRollout{from: InPlace(plan), to: Target(plan), guard: NewGuard(), tracker: NewDeltaTracker()}
}

// addReport adds the new outcomes in a report. The first totals of a process may
// cover any past time: they count only towards the baseline and are no evidence.
func (g *guardedRollout) addReport(r Report, now time.Time) {
	deltas, first := g.tracker.Update(r.Process, r.totalsFor(g.from, g.to), now)
	if first {
		g.guard.AddBaseline(deltas[g.from])
		return
	}
	g.pendingOld = g.pendingOld.Plus(deltas[g.from])
	g.pendingNext = g.pendingNext.Plus(deltas[g.to])
}
