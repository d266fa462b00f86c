package rollout

import (
	"encoding/json"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// MemorySchema is the version of the layout of Memory.
const MemorySchema = 1

// ErrMemory means that a memory does not fit the roll-out.
var ErrMemory = errors.New("the evidence kept is of another roll-out or damaged: it begins anew")

// Memory is all that a driver knows of one roll-out, to be kept beyond its
// process. What each process had told stands beside the evidence, so that
// totals heard later count only what is new.
type Memory struct {
	From config.Target `json:"from"`
	To   config.Target `json:"to"`
	// Stage and Since tell how far the roll-out was.
	Stage int       `json:"stage"`
	Since time.Time `json:"since"`
	// Guard is the evidence, Old and Next what the guard has not yet seen.
	Guard GuardMemory `json:"guard"`
	Old   Evidence    `json:"old"`
	Next  Evidence    `json:"next"`
	// Processes are the totals that were counted.
	Processes []ProcessMemory `json:"processes"`
}

// GuardMemory is the state of a guard.
type GuardMemory struct {
	Tests   [channelCount]TestMemory `json:"tests"`
	Suspect bool                     `json:"suspect"`
	Hold    time.Time                `json:"hold"`
}

// TestMemory is the state of a sequential test.
type TestMemory struct {
	Old    Counts                `json:"old"`
	Wealth [len(effects)]float64 `json:"wealth"`
	Open   block                 `json:"open"`
}

// ProcessMemory is what was counted of one process.
type ProcessMemory struct {
	Process
	Old  Evidence `json:"old"`
	Next Evidence `json:"next"`
}

// Remember returns what the driver knows of a roll-out as JSON, or nil if it
// knows nothing.
func (d *Driver) Remember(rev *config.Revision, name string) (json.RawMessage, error) {
	g := d.guards[name]
	if g == nil || !Running(rev, name) {
		return nil, nil
	}
	s := State(rev, name)
	m := Memory{From: g.from, To: g.to, Stage: s.Stage, Since: s.Since, Guard: g.guard.memory(), Old: g.old, Next: g.next}
	for _, r := range g.reports.List() {
		m.Processes = append(m.Processes, ProcessMemory{Process: r.Process, Old: r.Totals[g.from], Next: r.Totals[g.to]})
	}
	body, err := json.Marshal(m)
	return body, errors.Wrap(err, "encode the evidence of a roll-out")
}

// Recall takes over what another driver remembered of a roll-out. What this
// one has heard meanwhile counts as far as it is newer. It returns ErrMemory
// and changes nothing if the memory is of another run or damaged.
func (d *Driver) Recall(rev *config.Revision, name string, body json.RawMessage, now time.Time) error {
	var m Memory
	if json.Unmarshal(body, &m) != nil || !Running(rev, name) || !m.fits(rev, name) {
		return ErrMemory
	}
	g := newGuarded(rev.Config.Rollouts[name])
	g.guard.recall(m.Guard)
	g.old, g.next = m.Old, m.Next
	for _, p := range m.Processes {
		g.reports.Take(p.Process, Totals{g.from: p.Old, g.to: p.Next}, now)
	}
	if heard := d.guards[name]; heard != nil {
		for _, r := range heard.reports.List() {
			g.take(r, now)
		}
	}
	d.guards[name] = g
	return nil
}

// fits tells whether the memory is of the roll-out's present run. A stage only
// rises within a run, and a run begins with its first stage.
func (m Memory) fits(rev *config.Revision, name string) bool {
	plan, s := rev.Config.Rollouts[name], State(rev, name)
	if m.From != InPlace(plan) || m.To != Target(plan) || m.Stage < 0 || m.Stage > s.Stage || m.Since.After(s.Since) {
		return false
	}
	if s.Stage == 0 && !m.Since.Equal(s.Since) {
		return false
	}
	for _, t := range m.Guard.Tests {
		for _, w := range t.Wealth {
			if math.IsNaN(w) || math.IsInf(w, 0) {
				return false
			}
		}
	}
	return m.whole()
}

// whole tells whether no count is negative.
func (m Memory) whole() bool {
	all := []Evidence{m.Old, m.Next}
	for _, p := range m.Processes {
		all = append(all, p.Old, p.Next)
	}
	for _, t := range m.Guard.Tests {
		all = append(all, Evidence{Rated: t.Old, Served: t.Open.Old, Timely: t.Open.Next})
	}
	for _, e := range all {
		for _, c := range e.channels() {
			if c.Good < 0 || c.Bad < 0 {
				return false
			}
		}
	}
	return true
}

func (g *Guard) memory() GuardMemory {
	m := GuardMemory{Suspect: g.suspect, Hold: g.hold}
	for i, t := range g.tests {
		m.Tests[i] = TestMemory{Old: t.old, Wealth: t.wealth, Open: t.open}
	}
	return m
}

func (g *Guard) recall(m GuardMemory) {
	g.suspect, g.hold = m.Suspect, m.Hold
	for i, t := range m.Tests {
		g.tests[i].old, g.tests[i].wealth, g.tests[i].open = t.Old, t.Wealth, t.Open
	}
}
