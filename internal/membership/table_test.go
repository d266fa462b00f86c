package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// mesh is a set of tables that exchange news by plain calls.
type mesh struct {
	now    time.Time
	tables map[string]*Table
	order  []string
	// lost tells whether a message from one node to another gets lost.
	lost func(from, to string) bool
}

func newMesh() *mesh {
	return &mesh{now: time.Unix(1_800_000_000, 0), tables: map[string]*Table{}, lost: func(string, string) bool { return false }}
}

// start runs a node; an earlier one of the same name is replaced.
func (m *mesh) start(id, dataCentre, region string, incarnation uint64) {
	if m.tables[id] == nil {
		m.order = append(m.order, id)
	}
	t := NewTable(wire.NodeState{ID: id, Incarnation: incarnation, Address: id, Inner: id, DataCentre: dataCentre, Region: region})
	t.ticked = m.now
	m.tables[id] = t
	for _, other := range m.order {
		if other != id {
			m.send(id, other, t.Introduce(1))
			return
		}
	}
}

// send carries one exchange.
func (m *mesh) send(from, to string, news wire.News) {
	if m.tables[to] == nil || m.lost(from, to) {
		return
	}
	reply := m.tables[to].Answer(m.now, news, 1)
	if m.tables[from] != nil && !m.lost(to, from) {
		m.tables[from].Take(m.now, reply)
	}
}

// round lets a heartbeat interval pass; nodes for which awake is false do
// nothing.
func (m *mesh) round(awake func(id string) bool) {
	m.now = m.now.Add(HeartbeatInterval)
	for _, id := range m.order {
		if t := m.tables[id]; t != nil && awake(id) {
			t.Tick(m.now)
			for _, p := range t.Snapshot().Neighbours(id) {
				if awake(p.Name) {
					m.send(id, p.Name, t.Compose(p, 1))
				}
			}
		}
	}
}

func (m *mesh) rounds(n int) {
	for range n {
		m.round(func(string) bool { return true })
	}
}

func live(t *Table, id string) bool {
	n, ok := t.Snapshot().Node(id)
	return ok && n.Live
}

// ten returns a mesh of ten nodes in two data centres of one region and one of
// another.
func ten() *mesh {
	m := newMesh()
	for i := range 10 {
		place := [][2]string{{"a", "north"}, {"b", "north"}, {"c", "south"}}[i%3]
		m.start(fmt.Sprintf("node-%d", i), place[0], place[1], 1)
	}
	m.rounds(5)
	return m
}

// Whatever messages are lost and whoever starts anew, all nodes agree soon
// after the losses end.
func TestNodesAgreeAfterLosses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := ten()
		lossy := true
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "losses"), 1))
		m.lost = func(string, string) bool { return lossy && random.IntN(3) == 0 }
		for step := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			id := rapid.SampledFrom(m.order).Draw(rt, "node")
			table := m.tables[id]
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0:
				table.Update(m.now, func(s *wire.NodeState) { s.Address = fmt.Sprintf("%s/%d", id, step) })
			case 1:
				vm := infra.VM{ID: fmt.Sprintf("vm-%d", step%3), Address: fmt.Sprint(step), DataCentre: "a", Region: "north", Role: infra.RoleBackend}
				table.SetVMs(m.now, m.now, []infra.VM{vm})
			case 2:
				table.Publish(m.now, []wire.ReplicaState{{ID: "vm-0", Running: step, Limit: 16, Healthy: true}})
			default:
				self := table.Self()
				m.start(id, self.DataCentre, self.Region, self.Incarnation+1)
			}
			m.rounds(1)
		}
		lossy = false
		m.rounds(20)
		want := m.tables[m.order[0]]
		for _, id := range m.order {
			got := m.tables[id]
			for other, n := range want.nodes {
				have := got.nodes[other]
				if have == nil || have.state.Address != n.state.Address || have.state.Incarnation != n.state.Incarnation {
					rt.Fatalf("%s has %+v of %s, %s has %+v", id, have, other, m.order[0], n)
				}
				if !live(got, other) {
					rt.Fatalf("%s takes %s for dead", id, other)
				}
			}
			for vm, v := range want.vms {
				if got.vms[vm] == nil || got.vms[vm].news != v.news {
					rt.Fatalf("%s has another entry of %s", id, vm)
				}
			}
			if r := want.replicas["vm-0"]; r != nil && got.replicas["vm-0"].news.Owner != r.news.Owner {
				rt.Fatalf("%s has another owner of vm-0", id)
			}
		}
	})
}

// rounds within which a death must be known: the silence allowed, and a few
// hops.
const (
	nearRounds = int(SuspectAfter/HeartbeatInterval) + 3
	farRounds  = nearRounds + 3
)

// A node that stops is taken for dead everywhere in time, and for live again
// after it goes on; it does not take the others for dead.
func TestFrozenNode(t *testing.T) {
	is := is.New(t)
	m := ten()
	awake := func(id string) bool { return id != "node-0" }
	for range farRounds {
		m.round(awake)
	}
	for _, id := range m.order[1:] {
		is.True(!live(m.tables[id], "node-0")) // found dead
	}
	for range 30 {
		m.round(awake)
	}
	frozen := m.tables["node-0"]
	frozen.Tick(m.now.Add(HeartbeatInterval))
	for _, id := range m.order {
		is.True(live(frozen, id)) // the silence was its own
	}
	m.rounds(farRounds)
	for _, id := range m.order {
		is.True(live(m.tables[id], "node-0")) // found live again
	}
}

// A node that two others cannot reach stays live for them while anyone in its
// data centre can.
func TestHalfReachableNode(t *testing.T) {
	is := is.New(t)
	m := ten()
	m.lost = func(from, to string) bool {
		return pairOf(from, to, "node-0", "node-3") || pairOf(from, to, "node-0", "node-6")
	}
	for range 30 {
		m.rounds(1)
		for _, id := range m.order {
			is.True(live(m.tables[id], "node-0"))
			is.True(live(m.tables["node-0"], id))
		}
	}
}

func pairOf(a, b, x, y string) bool { return (a == x && b == y) || (a == y && b == x) }

// Two regions lose each other: each takes the other's nodes for unreachable,
// keeps its own, and both are whole again soon after.
func TestRegionsLoseEachOther(t *testing.T) {
	is := is.New(t)
	m := ten()
	region := func(id string) string { return m.tables[id].Self().Region }
	m.lost = func(from, to string) bool { return region(from) != region(to) }
	m.rounds(int(SilentAfter/HeartbeatInterval) + 2)
	for _, a := range m.order {
		for _, b := range m.order {
			is.Equal(live(m.tables[a], b), region(a) == region(b))
		}
	}
	m.rounds(int(time.Hour/HeartbeatInterval) / 10)
	m.lost = func(string, string) bool { return false }
	m.send("node-0", "node-2", m.tables["node-0"].Introduce(1))
	m.rounds(farRounds)
	for _, a := range m.order {
		for _, b := range m.order {
			is.True(live(m.tables[a], b))
		}
	}
}

// An answer of the list of VMs that was under way while newer news came does
// not undo it.
func TestLateListDoesNotRevert(t *testing.T) {
	is := is.New(t)
	m := ten()
	vm := infra.VM{ID: "vm", Address: "x", Role: infra.RoleBackend}
	a, b := m.tables["node-0"], m.tables["node-1"]
	a.SetVMs(m.now, m.now, []infra.VM{vm})
	m.rounds(5)
	began := m.now
	leaving := vm
	leaving.Leaving = true
	m.now = m.now.Add(time.Millisecond)
	a.SetVMs(m.now, m.now, []infra.VM{leaving})
	m.rounds(5)
	b.SetVMs(began, m.now, []infra.VM{vm})
	is.True(b.vms["vm"].news.VM.Leaving)
}
