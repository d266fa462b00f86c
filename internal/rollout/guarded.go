package rollout

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// guarded is one roll-out's guard with what it has not yet seen. It is kept
// while another node takes itself for the driver, since views differ for a
// while when nodes come and go.
type guarded struct {
	from, to config.Target
	guard    *Guard
	reports  *Reports
	old      Evidence
	next     Evidence
}

func newGuarded(plan *config.Rollout) *guarded {
	return &guarded{from: InPlace(plan), to: Target(plan), guard: NewGuard(), reports: NewReports()}
}

// take counts what is new in a report. What a process saw before it was first
// heard of is no evidence, as it may reach back to any time.
func (g *guarded) take(r Report, now time.Time) {
	news, first := g.reports.Take(r.Process, r.of(g.from, g.to), now)
	if first {
		g.guard.Baseline(news[g.from])
		return
	}
	g.old = g.old.Plus(news[g.from])
	g.next = g.next.Plus(news[g.to])
}
