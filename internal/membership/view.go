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

// refresh makes a new view where one is due, or leaves it to a later reader.
// The caller holds mu.
func (t *Table) refresh(now time.Time) {
	wait := rebuildInterval
	switch {
	case t.urgent:
		wait = rebuildUrgent
	case !t.stale:
		return
	}
	due := t.built.Add(max(wait, min(rebuildShare*t.cost, rebuildMost)))
	if now.Before(due) {
		t.due.Store(due.UnixNano())
		return
	}
	t.rebuild(now)
}

// Snapshot returns the present view; it must not be changed.
func (t *Table) Snapshot() *Snapshot {
	if due := t.due.Load(); due != 0 {
		if now := time.Now(); now.UnixNano() >= due {
			t.mu.Lock()
			t.refresh(now)
			t.mu.Unlock()
		}
	}
	return t.snapshot.Load()
}

// rebuild publishes a new view. The caller holds mu.
func (t *Table) rebuild(now time.Time) {
	start := time.Now()
	s := &Snapshot{byID: make(map[string]int, len(t.nodes)), replicas: make(map[string]int, len(t.vms)), assigned: map[string][]infra.VM{}}
	owned := t.owned()
	for _, n := range t.nodes {
		state := n.state
		state.Replicas = owned[state.ID]
		s.Nodes = append(s.Nodes, Node{State: state, Live: t.isLive(n, now), Dead: n.down})
	}
	slices.SortFunc(s.Nodes, func(a, b Node) int { return cmp.Compare(a.State.ID, b.State.ID) })
	for i, n := range s.Nodes {
		s.byID[n.State.ID] = i
	}
	s.bridges = bridges(s.Nodes)
	t.assign(s)
	s.Replicas = make([]routing.Replica, 0, len(t.vms))
	for _, id := range t.vmIDs() {
		if v := t.vms[id]; v.news.VM.Role == infra.RoleBackend && !v.news.Gone {
			s.Replicas = append(s.Replicas, t.replica(s, v.news.VM))
		}
	}
	routing.ShareRoom(s.Replicas)
	for i, r := range s.Replicas {
		s.replicas[r.ID] = i
	}
	t.stale = false
	t.urgent = false
	t.built = now
	t.due.Store(0)
	t.cost = time.Since(start)
	t.snapshot.Store(s)
}

// owned groups the accounts of replicas by their owners, in order. The caller holds mu.
func (t *Table) owned() map[string][]wire.ReplicaState {
	out := map[string][]wire.ReplicaState{}
	for _, r := range t.replicas {
		if r.news.Owner != "" {
			out[r.news.Owner] = append(out[r.news.Owner], r.news.State)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b wire.ReplicaState) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// vmIDs returns the IDs of the known VMs in order. The caller holds mu.
func (t *Table) vmIDs() []string {
	if t.vmOrder == nil {
		t.vmOrder = slices.Sorted(maps.Keys(t.vms))
	}
	return t.vmOrder
}

// replica joins the list of VMs with the account of the replica's owner. The
// caller holds mu.
func (t *Table) replica(s *Snapshot, vm infra.VM) routing.Replica {
	r := routing.Replica{ID: vm.ID, Address: vm.Address, Pool: vm.Pool, DataCentre: vm.DataCentre, Owner: t.owners[vm.ID]}
	item := t.replicas[vm.ID]
	if item == nil {
		return r
	}
	publisher, ok := s.Node(item.news.Owner)
	if !ok || !publisher.Live {
		return r
	}
	account := item.news.State
	r.Owner = item.news.Owner
	r.Targets = account.Targets
	r.Running = account.Running
	r.Limit = account.Limit
	r.Waits = account.Waits
	r.Usable = account.Healthy && !account.Leaving && !vm.Leaving
	return r
}

// assign gives each replica to the node that should own it. The choice is
// made anew only after nodes or VMs changed. The caller holds mu.
func (t *Table) assign(s *Snapshot) {
	var live []string
	for _, n := range s.Nodes {
		if n.Live && !n.State.Leaving {
			live = append(live, n.State.ID)
		}
	}
	if !slices.Equal(live, t.live) {
		t.live = live
		t.owners = map[string]string{}
	}
	groups := group(s.Nodes)
	for _, id := range t.vmIDs() {
		v := t.vms[id]
		if v.news.VM.Role != infra.RoleBackend || v.news.Gone {
			continue
		}
		if t.owners[id] == "" {
			t.owners[id] = groups.owner(v.news.VM)
		}
		s.assigned[t.owners[id]] = append(s.assigned[t.owners[id]], v.news.VM)
	}
}

// groups are the nodes that may own replicas.
type groups struct {
	all     []string
	centres map[string][]string
	regions map[string][]string
}

func group(nodes []Node) groups {
	g := groups{centres: map[string][]string{}, regions: map[string][]string{}}
	for _, n := range nodes {
		if !n.Live || n.State.Leaving {
			continue
		}
		g.all = append(g.all, n.State.ID)
		g.centres[n.State.DataCentre] = append(g.centres[n.State.DataCentre], n.State.ID)
		g.regions[n.State.Region] = append(g.regions[n.State.Region], n.State.ID)
	}
	return g
}

// owner returns the node that queues for a replica: the one with the highest
// score among the live nodes of its data centre, else of its region, else of
// all.
func (g groups) owner(vm infra.VM) string {
	for _, near := range [][]string{g.centres[vm.DataCentre], g.regions[vm.Region], g.all} {
		if owner := routing.Highest(near, vm.ID); owner != "" {
			return owner
		}
	}
	return ""
}
