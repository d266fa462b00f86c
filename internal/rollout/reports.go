package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// Process is one start of a node's process.
type Process struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// Totals are what a process saw of versions since its start. They only rise.
type Totals map[config.Target]Evidence

// Report is one process's totals at a moment.
type Report struct {
	Process
	// Totals hold a version only if the report covers it; one that a complete
	// report leaves out was not seen at all.
	Totals Totals
	// Complete tells that the report covers all versions.
	Complete bool
}

// covers tells whether the report speaks of all the given versions.
func (r Report) covers(targets ...config.Target) bool {
	for _, t := range targets {
		if _, ok := r.Totals[t]; !ok && !r.Complete {
			return false
		}
	}
	return true
}

// of returns the totals of the given versions alone.
func (r Report) of(targets ...config.Target) Totals {
	out := Totals{}
	for _, t := range targets {
		out[t] = r.Totals[t]
	}
	return out
}

// Reports turns the running totals that processes tell into what is new. A
// total that is heard twice, out of order or on several ways counts once.
type Reports struct {
	nodes map[string]*reporter
}

// reporter is the newest that one process told.
type reporter struct {
	incarnation uint64
	totals      Totals
	heard       time.Time
}

// NewReports returns an empty account.
func NewReports() *Reports { return &Reports{nodes: map[string]*reporter{}} }

// Take returns what is new in a process's totals. first tells that nothing was
// heard of the process before, so that they may reach back to any time. All
// reports of one account cover the same versions.
func (r *Reports) Take(p Process, totals Totals, now time.Time) (news Totals, first bool) {
	n := r.nodes[p.Node]
	if n != nil && p.Incarnation < n.incarnation {
		return nil, false
	}
	if n == nil || p.Incarnation > n.incarnation {
		r.nodes[p.Node] = &reporter{incarnation: p.Incarnation, totals: maps.Clone(totals), heard: now}
		return totals, true
	}
	n.heard = now
	news = Totals{}
	for t, total := range totals {
		if old := n.totals[t]; total.after(old) {
			news[t] = total.Minus(old)
			n.totals[t] = total
		}
	}
	return news, false
}

// after tells whether e is a later total of the same process than old.
func (e Evidence) after(old Evidence) bool {
	d := e.Minus(old)
	for _, c := range d.channels() {
		if c.Good < 0 || c.Bad < 0 {
			return false
		}
	}
	return d != Evidence{}
}

// Total returns all that was heard of a version.
func (r *Reports) Total(t config.Target) Evidence {
	sum := Evidence{}
	for _, n := range r.nodes {
		sum = sum.Plus(n.totals[t])
	}
	return sum
}

// Forget drops processes that were not heard for the given time.
func (r *Reports) Forget(now time.Time, after time.Duration) {
	maps.DeleteFunc(r.nodes, func(_ string, n *reporter) bool { return now.Sub(n.heard) > after })
}

// List returns the newest totals of all processes, sorted by their nodes.
func (r *Reports) List() []Report {
	out := make([]Report, 0, len(r.nodes))
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		out = append(out, Report{Process: Process{Node: name, Incarnation: n.incarnation}, Totals: n.totals})
	}
	return out
}
