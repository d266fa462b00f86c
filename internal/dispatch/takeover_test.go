package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const testSlots = 4

// stream is an answer that is being generated on the replica.
type stream struct {
	request wire.AcquireArgs
	// reportedTo holds the terms whose owner counts the stream, or has a report
	// of it on the way.
	reportedTo map[int]bool
}

// slotReport is a report of a held slot on its way to the owner of a term.
type slotReport struct {
	term int
	slot wire.HeldPlace
}

// replicaModel is one replica whose owner changes repeatedly. Each owner has
// one term.
type replicaModel struct {
	now     time.Time
	term    int
	owner   *replica
	running map[string]*stream
	reports []slotReport
	next    int
	// maxRunning is the limit less the reserve, or the streams that ran when
	// the term began if they are more.
	maxRunning int
	// unreportedEnds counts the streams that ended in this term without having
	// been reported to its owner.
	unreportedEnds int
}

func (m *replicaModel) changeOwner() {
	c := &config.Config{Pools: map[string]*config.Pool{"pool": {Slots: testSlots}}}
	m.term++
	o := NewOwner(nil)
	o.ranks = []*config.Rank{{Order: 0}, {Order: 1}}
	m.owner = o.newReplica(infra.VM{ID: "replica", Pool: "pool"}, c)
	m.maxRunning = max(len(m.running), testSlots-reservedSlots)
	m.unreportedEnds = 0
	m.probe()
}

func (m *replicaModel) probe() {
	m.owner.mu.Lock()
	defer m.owner.mu.Unlock()
	m.owner.isHealthy = true
	m.owner.reconcile(m.now, backend.LoadReport{Running: len(m.running)})
}

// collect records the queued requests that have been granted.
func (m *replicaModel) collect(waiting map[string]*waiter) {
	for grant, w := range waiting {
		select {
		case reply := <-w.answer:
			delete(waiting, grant)
			if reply.Granted {
				m.running[grant] = &stream{request: w.args, reportedTo: map[int]bool{m.term: true}}
			}
		default:
		}
	}
}

func (m *replicaModel) finish(grant string) {
	s := m.running[grant]
	delete(m.running, grant)
	if !s.reportedTo[m.term] {
		m.unreportedEnds++
		return
	}
	m.owner.release(wire.ReleaseArgs{Grant: grant, Replica: "replica"}, m.now)
}

// reportAll makes the holders of all slots see the current owner and report to
// it.
func (m *replicaModel) reportAll() {
	for _, grant := range m.grants() {
		s := m.running[grant]
		if !s.reportedTo[m.term] {
			s.reportedTo[m.term] = true
			m.reports = append(m.reports, slotReport{m.term, wire.HeldPlace{Request: s.request}})
		}
	}
}

func (m *replicaModel) deliver(i int, again bool) {
	report := m.reports[i]
	if !again {
		m.reports = slices.Delete(m.reports, i, i+1)
	}
	if report.term == m.term {
		m.owner.takeOver(report.slot, 1, m.now)
	}
}

func (m *replicaModel) grants() []string {
	out := []string{}
	for grant := range m.running {
		out = append(out, grant)
	}
	slices.Sort(out)
	return out
}

// deliverAll delivers all reports.
func (m *replicaModel) deliverAll() {
	m.reportAll()
	for len(m.reports) > 0 {
		m.deliver(0, false)
	}
}

// passTakeOverWindow advances the time past the take-over window and the lag of
// probes.
func (m *replicaModel) passTakeOverWindow() {
	m.now = m.now.Add(takeOverWindow)
	for range reportLagProbes + 1 {
		m.probe()
		m.now = m.now.Add(time.Second)
	}
}

// Guards against new owners that exceed the concurrency limit or lose slots for
// good. Owners change at any time, and reports of held slots arrive late, twice
// or after the release. A new owner grants at most one slot more than the
// streams of earlier owners leave free, because a gate without streams of its
// own always grants one. After a bounded time it counts exactly the running
// streams and leaves no slot idle.
func TestNewOwnersKeepToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &replicaModel{now: time.Unix(1000, 0), running: map[string]*stream{}}
		m.changeOwner()
		waiting := map[string]*waiter{}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				m.next++
				args := wire.AcquireArgs{Grant: fmt.Sprint(m.next), Replica: "replica", Rank: 1, Tokens: 10, Wait: time.Hour}
				if w, _ := m.owner.enqueue(args, 1, m.now); w != nil {
					waiting[args.Grant] = w
				}
			},
			"end": func(t *rapid.T) {
				if grants := m.grants(); len(grants) > 0 {
					m.finish(rapid.SampledFrom(grants).Draw(t, "grant"))
				}
			},
			"succeed": func(t *rapid.T) {
				clear(waiting)
				m.changeOwner()
			},
			"learn": func(t *rapid.T) { m.reportAll() },
			"deliver": func(t *rapid.T) {
				if len(m.reports) > 0 {
					m.deliver(rapid.IntRange(0, len(m.reports)-1).Draw(t, "notice"), rapid.Bool().Draw(t, "again"))
				}
			},
			"probe": func(t *rapid.T) {
				m.now = m.now.Add(time.Second)
				m.probe()
			},
			"settle": func(t *rapid.T) {
				m.deliverAll()
				m.collect(waiting)
				if batch := m.owner.gate.Batch(); batch > len(m.running)+m.unreportedEnds {
					t.Fatalf("%d run and %d ended unreported, the owner counts %d", len(m.running), m.unreportedEnds, batch)
				}
				m.passTakeOverWindow()
				m.collect(waiting)
				m.checkSteady(t, waiting)
			},
			"": func(t *rapid.T) {
				m.collect(waiting)
				if len(m.running) > m.maxRunning+1 {
					t.Fatalf("%d run, but %d may", len(m.running), m.maxRunning+1)
				}
			},
		})
	})
}

// checkSteady fails if the owner counts other streams than the running ones, or
// leaves slots idle while requests wait.
func (m *replicaModel) checkSteady(t *rapid.T, waiting map[string]*waiter) {
	held := []string{}
	for grant := range m.owner.holders {
		held = append(held, grant)
	}
	slices.Sort(held)
	if !slices.Equal(held, m.grants()) || m.owner.gate.Foreign() != 0 {
		t.Fatalf("%v run, the owner counts %v and %d others", m.grants(), held, m.owner.gate.Foreign())
	}
	if len(waiting) > 0 && len(held) < min(m.owner.gate.Limit(), testSlots)-reservedSlots {
		t.Fatalf("%d run while %d wait", len(held), len(waiting))
	}
}
