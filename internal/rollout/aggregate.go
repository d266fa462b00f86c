package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

const (
	// aggregateTTL is how long the totals of a process are forwarded after its
	// last report.
	aggregateTTL = 3 * time.Minute
	// maxAggregated bounds the number of processes whose totals are kept.
	maxAggregated = 1024
)

// Aggregator collects the newest totals of a data centre's processes, so that they
// can be forwarded in one message. Totals are kept per process, not summed: the
// receiver may get the same ones from several nodes and still counts them once.
// It is not safe for concurrent use.
type Aggregator struct {
	processes map[string]*aggregatedProcess
}

// aggregatedProcess holds the newest totals of one process.
type aggregatedProcess struct {
	incarnation  uint64
	totals       Totals
	lastComplete time.Time // time of the last report that covered all versions
	lastReport   time.Time
}

// NewAggregator returns an empty aggregator.
func NewAggregator() *Aggregator { return &Aggregator{processes: map[string]*aggregatedProcess{}} }

// Add stores the totals of a report that are newer than those stored before.
// Reports of an earlier incarnation are ignored, and so are those of a new
// process once maxAggregated is reached.
func (a *Aggregator) Add(r Report, now time.Time) {
	current := a.processes[r.Node]
	if current != nil && r.Incarnation < current.incarnation {
		return
	}
	if current == nil && len(a.processes) >= maxAggregated {
		return
	}
	if current == nil || r.Incarnation > current.incarnation {
		current = &aggregatedProcess{incarnation: r.Incarnation, totals: Totals{}}
		a.processes[r.Node] = current
	}
	current.lastReport = now
	if r.IsComplete {
		current.lastComplete = now
	}
	for t, total := range r.Totals {
		if old, ok := current.totals[t]; !ok || total.isNewerThan(old) {
			current.totals[t] = total
		}
	}
}

// ReportsFor returns the totals of the given versions, one report for each process
// whose reports covered all of them.
func (a *Aggregator) ReportsFor(targets ...config.Target) []Report {
	return a.collect(func(name string, p *aggregatedProcess) (Report, bool) {
		r := p.report(name)
		r.IsComplete = !p.lastComplete.IsZero()
		covered := r.covers(targets...)
		return Report{Process: r.Process, Totals: r.totalsFor(targets...)}, covered
	})
}

// CompleteReports returns the totals of all versions, one report for each process that has
// sent a complete one.
func (a *Aggregator) CompleteReports() []Report {
	return a.collect(func(name string, p *aggregatedProcess) (Report, bool) {
		r := p.report(name)
		r.IsComplete = true
		return r, !p.lastComplete.IsZero()
	})
}

func (p *aggregatedProcess) report(name string) Report {
	return Report{Process: Process{Node: name, Incarnation: p.incarnation}, Totals: maps.Clone(p.totals)}
}

func (a *Aggregator) collect(selectReport func(string, *aggregatedProcess) (Report, bool)) []Report {
	var out []Report
	for _, name := range slices.Sorted(maps.Keys(a.processes)) {
		if r, ok := selectReport(name, a.processes[name]); ok {
			out = append(out, r)
		}
	}
	return out
}

// Forget drops processes without a report for longer than aggregateTTL.
func (a *Aggregator) Forget(now time.Time) {
	maps.DeleteFunc(a.processes, func(_ string, p *aggregatedProcess) bool { return now.Sub(p.lastReport) > aggregateTTL })
}
