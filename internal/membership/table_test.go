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

// mesh is a set of tables that exchange changes by plain calls.
type mesh struct {
	now    time.Time
	tables map[string]*Table
	ids    []string
	// isLost reports whether a message from one node to another is lost.
	isLost func(from, to string) bool
}

func newMesh() *mesh {
	return &mesh{now: time.Unix(1_800_000_000, 0), tables: map[string]*Table{}, isLost: func(string, string) bool { return false }}
}

// start starts a node. It replaces an earlier one of the same name.
func (m *mesh) start(id, dataCentre, region string, incarnation uint64) {
	if m.tables[id] == nil {
		m.ids = append(m.ids, id)
	}
	t := NewTable(wire.NodeState{ID: id, Incarnation: incarnation, Address: id, Inner: id, DataCentre: dataCentre, Region: region})
	t.lastTick = m.now
	m.tables[id] = t
	for _, other := range m.ids {
		if other != id {
			m.send(id, other, t.Introduce(1))
			return
		}
	}
}

// send transfers one exchange.
func (m *mesh) send(from, to string, update wire.News) {
	if m.tables[to] == nil || m.isLost(from, to) {
		return
	}
	reply := m.tables[to].Answer(m.now, update, 1)
	if m.tables[from] != nil && !m.isLost(to, from) {
		m.tables[from].Merge(m.now, reply)
	}
}

// round advances the time by a heartbeat interval. Nodes for which isAwake is false do
// nothing.
func (m *mesh) round(isAwake func(id string) bool) {
	m.now = m.now.Add(HeartbeatInterval)
	for _, id := range m.ids {
		if t := m.tables[id]; t != nil && isAwake(id) {
			t.Tick(m.now)
			for _, p := range t.Snapshot().GossipPeers(id) {
				if isAwake(p.Name) {
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

func isLive(t *Table, id string) bool {
	n, ok := t.Snapshot().Node(id)
	return ok && n.IsLive
}

// newTenNodeMesh returns a mesh of ten nodes in two data centres of one region and one
// of another.
func newTenNodeMesh() *mesh {
	m := newMesh()
	for i := range 10 {
		site := [][2]string{{"a", "north"}, {"b", "north"}, {"c", "south"}}[i%3]
		m.start(fmt.Sprintf("node-%d", i), site[0], site[1], 1)
	}
	m.rounds(5)
	return m
}

// Messages are lost and nodes restart at random. All nodes must agree soon after the
// losses end.
func TestNodesConvergeAfterMessageLoss(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newTenNodeMesh()
		isLossy := true
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "losses"), 1))
		m.isLost = func(string, string) bool { return isLossy && random.IntN(3) == 0 }
		for step := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			id := rapid.SampledFrom(m.ids).Draw(rt, "node")
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
		isLossy = false
		m.rounds(20)
		want := m.tables[m.ids[0]]
		for _, id := range m.ids {
			got := m.tables[id]
			for other, n := range want.nodes {
				entry := got.nodes[other]
				if entry == nil || entry.state.Address != n.state.Address || entry.state.Incarnation != n.state.Incarnation {
					rt.Fatalf("%s has %+v of %s, %s has %+v", id, entry, other, m.ids[0], n)
				}
				if !isLive(got, other) {
					rt.Fatalf("%s considers %s unreachable", id, other)
				}
			}
			for vm, v := range want.vms {
				if got.vms[vm] == nil || got.vms[vm].update != v.update {
					rt.Fatalf("%s has another entry of %s", id, vm)
				}
			}
			if r := want.replicas["vm-0"]; r != nil && got.replicas["vm-0"].update.Owner != r.update.Owner {
				rt.Fatalf("%s has another owner of vm-0", id)
			}
		}
	})
}

// localRounds and remoteRounds are the rounds within which nodes of the same and of
// other data centres must have detected an unreachable node: the timeout and a few
// hops.
const (
	localRounds  = int(HeartbeatTimeout/HeartbeatInterval) + 3
	remoteRounds = localRounds + 3
)

// A suspended node must time out on all other nodes, and be live again after it
// resumes. It must not consider the others unreachable because of its own suspension.
func TestFrozenNodeTimesOutAndRecovers(t *testing.T) {
	is := is.New(t)
	m := newTenNodeMesh()
	isAwake := func(id string) bool { return id != "node-0" }
	for range remoteRounds {
		m.round(isAwake)
	}
	for _, id := range m.ids[1:] {
		is.True(!isLive(m.tables[id], "node-0")) // found unreachable
	}
	for range 30 {
		m.round(isAwake)
	}
	frozen := m.tables["node-0"]
	frozen.Tick(m.now.Add(HeartbeatInterval))
	for _, id := range m.ids {
		is.True(isLive(frozen, id)) // the heartbeats were missed during its own suspension
	}
	m.rounds(remoteRounds)
	for _, id := range m.ids {
		is.True(isLive(m.tables[id], "node-0")) // found live again
	}
}

// A node that two others cannot reach must stay live for them while any node of its
// data centre reaches it.
func TestPartlyReachableNodeStaysLive(t *testing.T) {
	is := is.New(t)
	m := newTenNodeMesh()
	m.isLost = func(from, to string) bool {
		return isPair(from, to, "node-0", "node-3") || isPair(from, to, "node-0", "node-6")
	}
	for range 30 {
		m.rounds(1)
		for _, id := range m.ids {
			is.True(isLive(m.tables[id], "node-0"))
			is.True(isLive(m.tables["node-0"], id))
		}
	}
}

func isPair(a, b, x, y string) bool { return (a == x && b == y) || (a == y && b == x) }

// Two regions are partitioned: each must consider the other's nodes unreachable and
// keep its own, and both must recover soon after the partition ends.
func TestPartitionedRegionsRecover(t *testing.T) {
	is := is.New(t)
	m := newTenNodeMesh()
	region := func(id string) string { return m.tables[id].Self().Region }
	m.isLost = func(from, to string) bool { return region(from) != region(to) }
	m.rounds(int(DataCentreTimeout/HeartbeatInterval) + 2)
	for _, a := range m.ids {
		for _, b := range m.ids {
			is.Equal(isLive(m.tables[a], b), region(a) == region(b))
		}
	}
	m.rounds(int(time.Hour/HeartbeatInterval) / 10)
	m.isLost = func(string, string) bool { return false }
	m.send("node-0", "node-2", m.tables["node-0"].Introduce(1))
	m.rounds(remoteRounds)
	for _, a := range m.ids {
		for _, b := range m.ids {
			is.True(isLive(m.tables[a], b))
		}
	}
}

// A slow read of the list of VMs must not revert an update that arrived during the
// read.
func TestLateVMListDoesNotRevertNewerUpdate(t *testing.T) {
	is := is.New(t)
	m := newTenNodeMesh()
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
	is.True(b.vms["vm"].update.VM.Leaving)
}
