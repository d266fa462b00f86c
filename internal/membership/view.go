package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// refresh rebuilds the snapshot if a rebuild is due, or leaves it to a later call of
// Snapshot. The caller holds mu.
func (t *Table) refresh(now time.Time) {
	wait := rebuildInterval
	switch {
	case t.isUrgent:
		wait = urgentRebuildInterval
	case !t.isStale:
		return
	}
	dueAt := t.builtAt.Add(max(wait, min(rebuildCostFactor*t.buildCost, maxRebuildInterval)))
	if now.Before(dueAt) {
		t.dueAt.Store(dueAt.UnixNano())
		return
	}
	t.rebuild(now)
}

// Snapshot returns the current snapshot, which must not be changed.
func (t *Table) Snapshot() *Snapshot {
	if dueAt := t.dueAt.Load(); dueAt != 0 {
		if now := time.Now(); now.UnixNano() >= dueAt {
			t.mu.Lock()
			t.refresh(now)
			t.mu.Unlock()
		}
	}
	return t.snapshot.Load()
}

// rebuild publishes a new snapshot. The caller holds mu.
func (t *Table) rebuild(now time.Time) {
	start := time.Now()
	s := &Snapshot{nodeIndex: make(map[string]int, len(t.nodes)), replicaIndex: make(map[string]int, len(t.vms)), assigned: map[string][]infra.VM{}}
	owned := t.replicasByOwner()
	for _, n := range t.nodes {
		state := n.state
		state.Replicas = owned[state.ID]
		s.Nodes = append(s.Nodes, Node{State: state, IsLive: t.isLive(n, now), IsDown: n.isDown})
	}
	slices.SortFunc(s.Nodes, func(a, b Node) int { return cmp.Compare(a.State.ID, b.State.ID) })
	for i, n := range s.Nodes {
		s.nodeIndex[n.State.ID] = i
	}
	s.relays = selectRelays(s.Nodes)
	t.assign(s)
	s.Replicas = make([]routing.Replica, 0, len(t.vms))
	for _, id := range t.vmIDs() {
		if v := t.vms[id]; v.update.VM.Role == infra.RoleBackend && !v.update.Gone {
			s.Replicas = append(s.Replicas, t.replica(s, v.update.VM))
		}
	}
	routing.AssignHeadroom(s.Replicas)
	for i, r := range s.Replicas {
		s.replicaIndex[r.ID] = i
	}
	t.isStale = false
	t.isUrgent = false
	t.builtAt = now
	t.dueAt.Store(0)
	t.buildCost = time.Since(start)
	t.snapshot.Store(s)
}

// replicasByOwner groups the states of replicas by their owners, sorted by ID. The
// caller holds mu.
func (t *Table) replicasByOwner() map[string][]wire.ReplicaState {
	out := map[string][]wire.ReplicaState{}
	for _, r := range t.replicas {
		if r.update.Owner != "" {
			out[r.update.Owner] = append(out[r.update.Owner], r.update.State)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b wire.ReplicaState) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// vmIDs returns the sorted IDs of all VMs. The caller holds mu.
func (t *Table) vmIDs() []string {
	if t.sortedVMIDs == nil {
		t.sortedVMIDs = slices.Sorted(maps.Keys(t.vms))
	}
	return t.sortedVMIDs
}

// replica combines a VM with its owner's published state of the replica. The caller
// holds mu.
func (t *Table) replica(s *Snapshot, vm infra.VM) routing.Replica {
	r := routing.Replica{ID: vm.ID, Address: vm.Address, Pool: vm.Pool, DataCentre: vm.DataCentre, Owner: t.owners[vm.ID]}
	entry := t.replicas[vm.ID]
	if entry == nil {
		return r
	}
	publisher, ok := s.Node(entry.update.Owner)
	if !ok || !publisher.IsLive {
		return r
	}
	published := entry.update.State
	r.Owner = entry.update.Owner
	r.Targets = published.Targets
	r.Running = published.Running
	r.Limit = published.Limit
	r.Waits = published.Waits
	r.Usable = published.Healthy && !published.Leaving && !vm.Leaving
	return r
}

// assign assigns each replica to the node that should own it. The assignment is
// recomputed only after nodes or VMs changed. The caller holds mu.
func (t *Table) assign(s *Snapshot) {
	var live []string
	for _, n := range s.Nodes {
		if n.IsLive && !n.State.Leaving {
			live = append(live, n.State.ID)
		}
	}
	if !slices.Equal(live, t.liveIDs) {
		t.liveIDs = live
		t.owners = map[string]string{}
	}
	groups := groupNodes(s.Nodes)
	for _, id := range t.vmIDs() {
		v := t.vms[id]
		if v.update.VM.Role != infra.RoleBackend || v.update.Gone {
			continue
		}
		if t.owners[id] == "" {
			t.owners[id] = groups.owner(v.update.VM)
		}
		s.assigned[t.owners[id]] = append(s.assigned[t.owners[id]], v.update.VM)
	}
}

// groups holds the nodes that may own replicas.
type groups struct {
	all     []string
	centres map[string][]string
	regions map[string][]string
}

func groupNodes(nodes []Node) groups {
	g := groups{centres: map[string][]string{}, regions: map[string][]string{}}
	for _, n := range nodes {
		if !n.IsLive || n.State.Leaving {
			continue
		}
		g.all = append(g.all, n.State.ID)
		g.centres[n.State.DataCentre] = append(g.centres[n.State.DataCentre], n.State.ID)
		g.regions[n.State.Region] = append(g.regions[n.State.Region], n.State.ID)
	}
	return g
}

// owner returns the node that should own a replica: the one with the highest score
// among the live nodes of its data centre, else of its region, else of all.
func (g groups) owner(vm infra.VM) string {
	for _, candidates := range [][]string{g.centres[vm.DataCentre], g.regions[vm.Region], g.all} {
		if id := routing.HighestScoring(candidates, vm.ID); id != "" {
			return id
		}
	}
	return ""
}
