// Package membership keeps, as soft state, which nodes and replicas are there
// and who owns which replica, and answers callers which nodes to use.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/platform"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Times of the exchange between nodes.
const (
	// HeartbeatInterval is how often a node raises its own sequence number.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is how long a node may stay silent before others take it
	// for dead.
	SuspectAfter = 3 * time.Second
	// ForgetAfter is how long a dead node's state is kept.
	ForgetAfter = time.Minute
)

// Node is one node as another sees it.
type Node struct {
	// State is the newest that is known.
	State wire.NodeState
	// Live is false once the node has been silent for SuspectAfter.
	Live bool
}

// Snapshot is an immutable view of all nodes and replicas.
type Snapshot struct {
	// Nodes are sorted by ID; the own node is among them.
	Nodes []Node
	// Replicas are sorted by ID.
	Replicas []routing.Replica
	byID     map[string]int
	replicas map[string]int
}

// Node returns the node with the given ID.
func (s *Snapshot) Node(id string) (Node, bool) {
	i, ok := s.byID[id]
	if !ok {
		return Node{}, false
	}
	return s.Nodes[i], true
}

// Replica returns the replica with the given ID.
func (s *Snapshot) Replica(id string) (routing.Replica, bool) {
	i, ok := s.replicas[id]
	if !ok {
		return routing.Replica{}, false
	}
	return s.Replicas[i], true
}

// member is a node's state with when it last showed a sign of life.
type member struct {
	state wire.NodeState
	heard time.Time
}

// Table merges what nodes tell of themselves. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	self     wire.NodeState     // guarded by mu
	members  map[string]*member // guarded by mu; without the own node
	vms      []platform.VM      // guarded by mu
	snapshot atomic.Pointer[Snapshot]
}

// NewTable returns a table that knows only the own node.
func NewTable(self wire.NodeState) *Table {
	t := &Table{self: self, members: map[string]*member{}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuild(time.Now())
	return t
}

// Snapshot returns the present view; it must not be changed.
func (t *Table) Snapshot() *Snapshot { return t.snapshot.Load() }

// Self returns the own node's state.
func (t *Table) Self() wire.NodeState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Update changes the own node's state and raises its sequence number.
func (t *Table) Update(now time.Time, change func(*wire.NodeState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.self)
	t.self.Sequence++
	t.rebuild(now)
}

// SetVMs takes the platform's list of VMs.
func (t *Table) SetVMs(now time.Time, vms []platform.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms = vms
	t.rebuild(now)
}

// Merge takes states heard from peers; older ones are ignored.
func (t *Table) Merge(now time.Time, states []wire.NodeState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, s := range states {
		changed = t.mergeOne(now, s) || changed
	}
	if changed {
		t.rebuild(now)
	}
}

func (t *Table) mergeOne(now time.Time, s wire.NodeState) bool {
	if s.ID == t.self.ID {
		return false
	}
	m := t.members[s.ID]
	if m == nil {
		t.members[s.ID] = &member{state: s, heard: now}
		return true
	}
	if !newer(s.Incarnation, s.Sequence, m.state.Incarnation, m.state.Sequence) {
		return false
	}
	m.state = s
	m.heard = now
	return true
}

func newer(incarnation, sequence, oldIncarnation, oldSequence uint64) bool {
	if incarnation != oldIncarnation {
		return incarnation > oldIncarnation
	}
	return sequence > oldSequence
}

// Tick forgets nodes that are long dead and refreshes the view.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.members {
		if now.Sub(m.heard) > ForgetAfter {
			delete(t.members, id)
		}
	}
	t.rebuild(now)
}

// Known lists the newest versions held, the own node's included.
func (t *Table) Known() []wire.NodeVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []wire.NodeVersion{{ID: t.self.ID, Incarnation: t.self.Incarnation, Sequence: t.self.Sequence}}
	for _, m := range t.members {
		out = append(out, wire.NodeVersion{ID: m.state.ID, Incarnation: m.state.Incarnation, Sequence: m.state.Sequence})
	}
	return out
}

// NewerThan returns the states that are newer than those listed, and those
// not listed.
func (t *Table) NewerThan(known []wire.NodeVersion) []wire.NodeState {
	held := make(map[string]wire.NodeVersion, len(known))
	for _, k := range known {
		held[k.ID] = k
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.NodeState
	consider := func(s wire.NodeState) {
		k, ok := held[s.ID]
		if !ok || newer(s.Incarnation, s.Sequence, k.Incarnation, k.Sequence) {
			out = append(out, s)
		}
	}
	consider(t.self)
	for _, m := range t.members {
		consider(m.state)
	}
	return out
}

// rebuild publishes a new snapshot. The caller holds mu.
func (t *Table) rebuild(now time.Time) {
	s := &Snapshot{byID: map[string]int{}, replicas: map[string]int{}}
	s.Nodes = append(s.Nodes, Node{State: t.self, Live: true})
	for _, m := range t.members {
		s.Nodes = append(s.Nodes, Node{State: m.state, Live: now.Sub(m.heard) <= SuspectAfter})
	}
	slices.SortFunc(s.Nodes, func(a, b Node) int { return cmp.Compare(a.State.ID, b.State.ID) })
	for i, n := range s.Nodes {
		s.byID[n.State.ID] = i
	}
	s.Replicas = replicas(s.Nodes, t.vms)
	for i, r := range s.Replicas {
		s.replicas[r.ID] = i
	}
	t.snapshot.Store(s)
}

// replicas joins the platform's list with what the owners publish.
func replicas(nodes []Node, vms []platform.VM) []routing.Replica {
	published := map[string]wire.ReplicaState{}
	for _, n := range nodes {
		for _, r := range n.State.Replicas {
			if n.Live {
				published[n.State.ID+"/"+r.ID] = r
			}
		}
	}
	var out []routing.Replica
	for _, vm := range vms {
		if vm.Role != platform.RoleBackend {
			continue
		}
		owner := ownerOf(nodes, vm)
		r := routing.Replica{ID: vm.ID, Address: vm.Address, Pool: vm.Pool, DataCentre: vm.DataCentre, Owner: owner}
		if p, ok := published[owner+"/"+vm.ID]; ok {
			r.Targets = p.Targets
			r.Running = p.Running
			r.Limit = p.Limit
			r.Waits = p.Waits
			r.Usable = p.Healthy && !p.Leaving && !vm.Leaving
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b routing.Replica) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ownerOf returns the node that queues for a replica: the one with the
// highest score among the live nodes of its data centre, else of its region,
// else of all.
func ownerOf(nodes []Node, vm platform.VM) string {
	for _, near := range []func(wire.NodeState) bool{
		func(s wire.NodeState) bool { return s.DataCentre == vm.DataCentre },
		func(s wire.NodeState) bool { return s.Region == vm.Region },
		func(wire.NodeState) bool { return true },
	} {
		var ids []string
		for _, n := range nodes {
			if n.Live && !n.State.Leaving && near(n.State) {
				ids = append(ids, n.State.ID)
			}
		}
		if owner := routing.Highest(ids, vm.ID); owner != "" {
			return owner
		}
	}
	return ""
}
