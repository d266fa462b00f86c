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

const adoptSlots = 4

// stream is an answer that runs on the replica.
type stream struct {
	request wire.AcquireArgs
	// told are the reigns whose owner counts it or is being told.
	told map[int]bool
}

// notice is news of a place on its way to the owner of a reign.
type notice struct {
	reign int
	place wire.HeldPlace
}

// reigns is one replica whose owner changes again and again.
type reigns struct {
	now     time.Time
	reign   int
	owner   *replica
	running map[string]*stream
	notices []notice
	next    int
	// most is what may run: the limit less the reserve, or what ran when the reign began.
	most int
	// unseen counts the streams that ended in this reign untold.
	unseen int
}

func (m *reigns) succeed() {
	c := &config.Config{Pools: map[string]*config.Pool{"pool": {Slots: adoptSlots}}}
	m.reign++
	o := NewOwner(nil)
	o.ranks = []*config.Rank{{Order: 0}, {Order: 1}}
	m.owner = o.newReplica(infra.VM{ID: "replica", Pool: "pool"}, c)
	m.most = max(len(m.running), adoptSlots-reservedSlots)
	m.unseen = 0
	m.probe()
}

func (m *reigns) probe() {
	m.owner.mu.Lock()
	defer m.owner.mu.Unlock()
	m.owner.healthy = true
	m.owner.count(m.now, backend.LoadReport{Running: len(m.running)})
}

// collect notes the waiting requests that were granted meanwhile.
func (m *reigns) collect(waiting map[string]*waiter) {
	for grant, w := range waiting {
		select {
		case reply := <-w.answer:
			delete(waiting, grant)
			if reply.Granted {
				m.running[grant] = &stream{request: w.args, told: map[int]bool{m.reign: true}}
			}
		default:
		}
	}
}

func (m *reigns) finish(grant string) {
	s := m.running[grant]
	delete(m.running, grant)
	if !s.told[m.reign] {
		m.unseen++
		return
	}
	m.owner.release(wire.ReleaseArgs{Grant: grant, Replica: "replica"}, m.now)
}

// learn makes the holders of all places see the present owner.
func (m *reigns) learn() {
	for _, grant := range m.grants() {
		s := m.running[grant]
		if !s.told[m.reign] {
			s.told[m.reign] = true
			m.notices = append(m.notices, notice{m.reign, wire.HeldPlace{Request: s.request}})
		}
	}
}

func (m *reigns) deliver(i int, again bool) {
	n := m.notices[i]
	if !again {
		m.notices = slices.Delete(m.notices, i, i+1)
	}
	if n.reign == m.reign {
		m.owner.adopt(n.place, 1, m.now)
	}
}

func (m *reigns) grants() []string {
	out := []string{}
	for grant := range m.running {
		out = append(out, grant)
	}
	slices.Sort(out)
	return out
}

// hearAll lets all news arrive.
func (m *reigns) hearAll() {
	m.learn()
	for len(m.notices) > 0 {
		m.deliver(0, false)
	}
}

// settle lets the settling time pass.
func (m *reigns) settle() {
	m.now = m.now.Add(settleTime)
	for range knownProbes + 1 {
		m.probe()
		m.now = m.now.Add(time.Second)
	}
}

// However owners follow each other, and whatever is told late, twice or after
// the release: no new owner grants more than its predecessors' streams leave
// free, but for the one place that is always there; and after a bounded time it
// counts just what runs, and no slot idles.
func TestNewOwnersKeepToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &reigns{now: time.Unix(1000, 0), running: map[string]*stream{}}
		m.succeed()
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
				m.succeed()
			},
			"learn": func(t *rapid.T) { m.learn() },
			"deliver": func(t *rapid.T) {
				if len(m.notices) > 0 {
					m.deliver(rapid.IntRange(0, len(m.notices)-1).Draw(t, "notice"), rapid.Bool().Draw(t, "again"))
				}
			},
			"probe": func(t *rapid.T) {
				m.now = m.now.Add(time.Second)
				m.probe()
			},
			"settle": func(t *rapid.T) {
				m.hearAll()
				m.collect(waiting)
				if batch := m.owner.gate.Batch(); batch > len(m.running)+m.unseen {
					t.Fatalf("%d run and %d ended unseen, the owner counts %d", len(m.running), m.unseen, batch)
				}
				m.settle()
				m.collect(waiting)
				m.checkSettled(t, waiting)
			},
			"": func(t *rapid.T) {
				m.collect(waiting)
				if len(m.running) > m.most+1 {
					t.Fatalf("%d run, but %d may", len(m.running), m.most+1)
				}
			},
		})
	})
}

// checkSettled fails if the owner counts other streams than those that run, or
// leaves slots idle while requests wait.
func (m *reigns) checkSettled(t *rapid.T, waiting map[string]*waiter) {
	held := []string{}
	for grant := range m.owner.holders {
		held = append(held, grant)
	}
	slices.Sort(held)
	if !slices.Equal(held, m.grants()) || m.owner.gate.Foreign() != 0 {
		t.Fatalf("%v run, the owner counts %v and %d others", m.grants(), held, m.owner.gate.Foreign())
	}
	if len(waiting) > 0 && len(held) < min(m.owner.gate.Limit(), adoptSlots)-reservedSlots {
		t.Fatalf("%d run while %d wait", len(held), len(waiting))
	}
}
