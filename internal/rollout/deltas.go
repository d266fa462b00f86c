package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// Process identifies one run of a node's process.
type Process struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// Totals are the outcomes by version that a process has counted since its start.
// They never decrease.
type Totals map[config.Target]Evidence

// Report holds one process's totals at one moment.
type Report struct {
	Process
	// Totals holds the versions that the report covers. A version missing from
	// a complete report has no outcomes.
	Totals Totals
	// IsComplete is set if the report covers all versions.
	IsComplete bool
}

// covers reports whether the report covers all the given versions.
func (r Report) covers(targets ...config.Target) bool {
	for _, t := range targets {
		if _, ok := r.Totals[t]; !ok && !r.IsComplete {
			return false
		}
	}
	return true
}

// totalsFor returns the totals of the given versions only.
func (r Report) totalsFor(targets ...config.Target) Totals {
	out := Totals{}
	for _, t := range targets {
		out[t] = r.Totals[t]
	}
	return out
}

// DeltaTracker computes the new outcomes in the running totals that processes
// report. A total that arrives twice, out of order or over several paths counts
// once.
type DeltaTracker struct {
	processes map[string]*trackedProcess
}

// trackedProcess holds the newest totals of one process.
type trackedProcess struct {
	incarnation uint64
	totals      Totals
	lastReport  time.Time
}

// NewDeltaTracker returns an empty tracker.
func NewDeltaTracker() *DeltaTracker { return &DeltaTracker{processes: map[string]*trackedProcess{}} }

// Update stores a process's totals and returns the outcomes that are new in
// them. first is set if this is the first report of the process, whose totals
// may then cover any past time. All reports given to one tracker must cover the
// same versions.
func (d *DeltaTracker) Update(p Process, totals Totals, now time.Time) (deltas Totals, first bool) {
	tracked := d.processes[p.Node]
	if tracked != nil && p.Incarnation < tracked.incarnation {
		return nil, false
	}
	if tracked == nil || p.Incarnation > tracked.incarnation {
		d.processes[p.Node] = &trackedProcess{incarnation: p.Incarnation, totals: maps.Clone(totals), lastReport: now}
		return totals, true
	}
	tracked.lastReport = now
	deltas = Totals{}
	for t, total := range totals {
		if old := tracked.totals[t]; total.isNewerThan(old) {
			deltas[t] = total.Minus(old)
			tracked.totals[t] = total
		}
	}
	return deltas, false
}

// isNewerThan reports whether e is a later total of the same process than old:
// no count is lower and at least one is higher.
func (e Evidence) isNewerThan(old Evidence) bool {
	d := e.Minus(old)
	for _, c := range d.channels() {
		if c.Good < 0 || c.Bad < 0 {
			return false
		}
	}
	return d != Evidence{}
}

// Total returns the sum of all processes' totals of a version.
func (d *DeltaTracker) Total(t config.Target) Evidence {
	sum := Evidence{}
	for _, tracked := range d.processes {
		sum = sum.Plus(tracked.totals[t])
	}
	return sum
}

// Forget drops processes whose last report is older than maxAge.
func (d *DeltaTracker) Forget(now time.Time, maxAge time.Duration) {
	maps.DeleteFunc(d.processes, func(_ string, tracked *trackedProcess) bool { return now.Sub(tracked.lastReport) > maxAge })
}

// List returns the newest totals of all processes, sorted by node.
func (d *DeltaTracker) List() []Report {
	out := make([]Report, 0, len(d.processes))
	for _, name := range slices.Sorted(maps.Keys(d.processes)) {
		tracked := d.processes[name]
		out = append(out, Report{Process: Process{Node: name, Incarnation: tracked.incarnation}, Totals: tracked.totals})
	}
	return out
}
