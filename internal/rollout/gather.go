package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

const (
	// gatherLifetime is how long the totals of a silent process are passed on.
	gatherLifetime = 3 * time.Minute
	// maxGathered bounds the processes of which totals are kept.
	maxGathered = 1024
)

// Gatherer holds the newest totals of a data centre's processes, to pass them
// on in one message. Totals stay apart by process, so that the receiver may
// hear them from several gatherers. It is not safe for concurrent use.
type Gatherer struct {
	processes map[string]*gathered
}

type gathered struct {
	incarnation uint64
	totals      Totals
	complete    time.Time // when all versions were last told
	heard       time.Time
}

// NewGatherer returns a gatherer that has heard nothing.
func NewGatherer() *Gatherer { return &Gatherer{processes: map[string]*gathered{}} }

// Take keeps what is newer in a report than what was heard before.
func (g *Gatherer) Take(r Report, now time.Time) {
	known := g.processes[r.Node]
	if known != nil && r.Incarnation < known.incarnation {
		return
	}
	if known == nil && len(g.processes) >= maxGathered {
		return
	}
	if known == nil || r.Incarnation > known.incarnation {
		known = &gathered{incarnation: r.Incarnation, totals: Totals{}}
		g.processes[r.Node] = known
	}
	known.heard = now
	if r.Complete {
		known.complete = now
	}
	for t, total := range r.Totals {
		if old, ok := known.totals[t]; !ok || total.after(old) {
			known.totals[t] = total
		}
	}
}

// Of returns the totals of the given versions, from the processes that told
// of all of them.
func (g *Gatherer) Of(targets ...config.Target) []Report {
	return g.list(func(name string, p *gathered) (Report, bool) {
		r := p.report(name)
		r.Complete = !p.complete.IsZero()
		covered := r.covers(targets...)
		return Report{Process: r.Process, Totals: r.of(targets...)}, covered
	})
}

// All returns the totals of all versions, from the processes that told of all.
func (g *Gatherer) All() []Report {
	return g.list(func(name string, p *gathered) (Report, bool) {
		r := p.report(name)
		r.Complete = true
		return r, !p.complete.IsZero()
	})
}

func (p *gathered) report(name string) Report {
	return Report{Process: Process{Node: name, Incarnation: p.incarnation}, Totals: maps.Clone(p.totals)}
}

func (g *Gatherer) list(pick func(string, *gathered) (Report, bool)) []Report {
	var out []Report
	for _, name := range slices.Sorted(maps.Keys(g.processes)) {
		if r, ok := pick(name, g.processes[name]); ok {
			out = append(out, r)
		}
	}
	return out
}

// Forget drops processes that have been silent for long.
func (g *Gatherer) Forget(now time.Time) {
	maps.DeleteFunc(g.processes, func(_ string, p *gathered) bool { return now.Sub(p.heard) > gatherLifetime })
}
