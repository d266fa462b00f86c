package membership

import (
	"reflect"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// nodeEntry is a node's state with its positions in the log.
type nodeEntry struct {
	state     wire.NodeState
	heartbeat uint32
	isDoubted bool
	isDown    bool
	// isWide is set while the heartbeat is relayed beyond the data centre.
	isWide bool
	// lastHeartbeat is the local time at which the heartbeat last rose.
	lastHeartbeat time.Time
	// index, heartbeatIndex and revisionIndex are the positions of the newest change of
	// state, heartbeat and revision.
	index          uint64
	heartbeatIndex uint64
	revisionIndex  uint64
	// origin, heartbeatOrigin and revisionOrigin are the hashes of the peers that sent
	// these changes, 0 for the local node.
	origin          uint64
	heartbeatOrigin uint64
	revisionOrigin  uint64
}

// replicaEntry is an owner's published state of a replica.
type replicaEntry struct {
	update wire.ReplicaNews
	// index is the position of the newest change, coarseIndex of the newest one that other
	// regions receive.
	index       uint64
	coarseIndex uint64
	coarseAt    time.Time
	// updatedAt is when the newest state was stored.
	updatedAt time.Time
	origin    uint64
}

// centreEntry is the heartbeat of a data centre.
type centreEntry struct {
	count uint32
	// raisedAt is the local time at which the count last rose, lastContact when it rose or
	// a node of the data centre sent a message.
	raisedAt    time.Time
	lastContact time.Time
	index       uint64
	origin      uint64
}

// vmEntry is an entry of the list of VMs.
type vmEntry struct {
	update    wire.VMNews
	changedAt time.Time
	index     uint64
	origin    uint64
}

// Table merges the states that nodes publish. It is safe for concurrent use.
type Table struct {
	id       string
	onUrgent func()

	mu          sync.Mutex
	incarnation uint64 // guarded by mu
	// isAccepted is set once a peer has received changes of this incarnation and has no
	// higher one; guarded by mu.
	isAccepted   bool
	lastIndex    uint64                   // guarded by mu
	nodes        map[string]*nodeEntry    // guarded by mu; includes the local node
	byHash       map[uint64]*nodeEntry    // guarded by mu
	replicas     map[string]*replicaEntry // guarded by mu
	vms          map[string]*vmEntry      // guarded by mu
	sortedVMIDs  []string                 // guarded by mu; the IDs of vms in order, nil after one was added or removed
	centres      map[string]*centreEntry  // guarded by mu
	received     map[string]wire.Position // guarded by mu; position received of each peer's log
	acknowledged map[string]wire.Position // guarded by mu; position of the local log that each peer has received
	lastTick     time.Time                // guarded by mu
	wideUntil    time.Time                // guarded by mu; until when the local heartbeat is relayed beyond the data centre
	builtAt      time.Time                // guarded by mu
	buildCost    time.Duration            // guarded by mu; duration of the last rebuild
	isStale      bool                     // guarded by mu; the snapshot lacks a change of load
	isUrgent     bool                     // guarded by mu; the snapshot lacks another change
	liveIDs      []string                 // guarded by mu; the nodes that may own replicas, as of the last snapshot
	owners       map[string]string        // guarded by mu; by VM, as of the last snapshot
	dueAt        atomic.Int64             // when a new snapshot is due, in Unix nanoseconds; 0 for never
	snapshot     atomic.Pointer[Snapshot]
}

// NewTable returns a table that contains only the local node.
func NewTable(self wire.NodeState) *Table {
	t := &Table{
		id: self.ID, incarnation: self.Incarnation, onUrgent: func() {},
		nodes: map[string]*nodeEntry{}, byHash: map[uint64]*nodeEntry{}, replicas: map[string]*replicaEntry{}, vms: map[string]*vmEntry{},
		centres: map[string]*centreEntry{}, received: map[string]wire.Position{}, acknowledged: map[string]wire.Position{},
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.lastTick = now
	t.addNode(&nodeEntry{state: self, heartbeat: 1, lastHeartbeat: now})
	t.rebuild(now)
	return t
}

// OnUrgentChange sets the function to call when peers should receive a change at once: a
// doubt, a heartbeat timeout or a node that shuts down. It must be set before the
// first exchange, and must not block or call the table.
func (t *Table) OnUrgentChange(alarm func()) { t.onUrgent = alarm }

// nodeHash identifies one incarnation of a node in heartbeats.
func nodeHash(id string, incarnation uint64) uint64 {
	return xxhash.Sum64String(id + "/" + strconv.FormatUint(incarnation, 10))
}

// nextIndex returns the position of a new change in the log. The caller holds mu.
func (t *Table) nextIndex() uint64 {
	t.lastIndex++
	return t.lastIndex
}

// addNode adds a new node or incarnation. The caller holds mu.
func (t *Table) addNode(n *nodeEntry) {
	if old := t.nodes[n.state.ID]; old != nil {
		delete(t.byHash, nodeHash(old.state.ID, old.state.Incarnation))
	}
	n.index = t.nextIndex()
	n.heartbeatIndex = n.index
	n.revisionIndex = n.index
	t.nodes[n.state.ID] = n
	t.byHash[nodeHash(n.state.ID, n.state.Incarnation)] = n
	if c := t.ensureCentre(n.state.DataCentre); c.lastContact.IsZero() {
		c.lastContact = n.lastHeartbeat
	}
	t.isUrgent = true
}

// Self returns the local node's state.
func (t *Table) Self() wire.NodeState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nodes[t.id].state
}

// Update changes the local node's state, except replicas, which Publish sets. The
// sequence number rises only with a change that peers must receive.
func (t *Table) Update(now time.Time, change func(*wire.NodeState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.nodes[t.id]
	before := self.state
	after := before
	change(&after)
	if after.Revision != before.Revision {
		self.state.Revision = after.Revision
		self.revisionIndex = t.nextIndex()
		t.isStale = true
	}
	after.Replicas = nil
	after.Revision = before.Revision
	if !reflect.DeepEqual(after, before) {
		after.Sequence++
		after.Revision = self.state.Revision
		self.state = after
		self.index = t.nextIndex()
		t.isUrgent = true
	}
	t.refresh(now)
}

// AnnounceShutdown marks the local node as down, so that peers need not wait for a
// heartbeat timeout.
func (t *Table) AnnounceShutdown(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.nodes[t.id]
	self.isDown = true
	self.index = t.nextIndex()
	t.isUrgent = true
	t.refresh(now)
}

// SetVMs merges the platform's list of VMs, read no earlier than began. Entries that
// changed since then are not overwritten, as the list may be older than they are. An
// empty list is considered a fault of the platform and ignored.
func (t *Table) SetVMs(began, now time.Time, vms []infra.VM) {
	if len(vms) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	isListed := map[string]bool{}
	for _, vm := range vms {
		isListed[vm.ID] = true
		t.setVM(began, now, wire.VMNews{VM: vm})
	}
	for id, entry := range t.vms {
		if !isListed[id] && !entry.update.Gone {
			t.setVM(began, now, wire.VMNews{VM: entry.update.VM, Gone: true})
		}
	}
	t.refresh(now)
}

// setVM merges one entry of the platform's list, read no earlier than began. The
// caller holds mu.
func (t *Table) setVM(began, now time.Time, update wire.VMNews) {
	entry := t.vms[update.VM.ID]
	if entry == nil {
		entry = &vmEntry{}
		t.vms[update.VM.ID] = entry
		t.sortedVMIDs = nil
	} else if entry.changedAt.After(began) || (entry.update.VM == update.VM && entry.update.Gone == update.Gone) {
		return
	}
	update.Version = entry.update.Version + 1
	*entry = vmEntry{update: update, changedAt: now, index: t.nextIndex()}
	t.isUrgent = true
}

// Tick raises the local heartbeat, marks nodes of the local data centre whose
// heartbeat timed out, and removes nodes and VMs that have been gone for ForgetAfter.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resetTimeouts(now)
	self := t.nodes[t.id]
	self.heartbeat++
	self.heartbeatIndex = t.nextIndex()
	self.lastHeartbeat = now
	self.isWide = now.Before(t.wideUntil)
	t.raiseCentreHeartbeat(now, self.state)
	for id, n := range t.nodes {
		if id == t.id {
			continue
		}
		silence := now.Sub(n.lastHeartbeat)
		if n.state.DataCentre == self.state.DataCentre {
			t.checkTimeout(n, silence)
		}
		if silence > ForgetAfter && !t.isLive(n, now) {
			t.removeNode(n)
		}
	}
	for id, entry := range t.vms {
		if entry.update.Gone && now.Sub(entry.changedAt) > ForgetAfter {
			delete(t.vms, id)
			t.sortedVMIDs = nil
			delete(t.replicas, id)
		}
	}
	t.isUrgent = true
	t.refresh(now)
}

// checkTimeout doubts a node of the local data centre whose heartbeat is missing, and
// marks it down if that lasts. The caller holds mu.
func (t *Table) checkTimeout(n *nodeEntry, silence time.Duration) {
	switch {
	case !n.isDown && silence > HeartbeatTimeout:
		n.isDown = true
	case !n.isDown && !n.isDoubted && silence > DoubtAfter:
		n.isDoubted = true
	default:
		return
	}
	n.index = t.nextIndex()
	n.origin = 0
	t.isUrgent = true
	t.onUrgent()
}

// raiseCentreHeartbeat raises the heartbeat of the local data centre on its relay
// nodes, unless another relay has just done so. The caller holds mu.
func (t *Table) raiseCentreHeartbeat(now time.Time, self wire.NodeState) {
	c := t.ensureCentre(self.DataCentre)
	if t.snapshot.Load().IsRelay(t.id) && now.Sub(c.raisedAt) >= HeartbeatInterval/2 {
		c.raise(now, c.count+1, t.nextIndex(), 0)
	}
}

// ensureCentre returns the heartbeat of a data centre, adding an entry if there is
// none. The caller holds mu.
func (t *Table) ensureCentre(name string) *centreEntry {
	c := t.centres[name]
	if c == nil {
		c = &centreEntry{}
		t.centres[name] = c
	}
	return c
}

// raise sets a higher count. index is the position of this change in the local log,
// origin the hash of the peer that sent it, or 0.
func (c *centreEntry) raise(now time.Time, count uint32, index, origin uint64) {
	c.count = count
	c.raisedAt = now
	c.lastContact = now
	c.index = index
	c.origin = origin
}

// resetTimeouts restarts all timeouts if this process was itself suspended for a
// while, since it received no heartbeats in that time. The caller holds mu.
func (t *Table) resetTimeouts(now time.Time) {
	if now.Sub(t.lastTick) > HeartbeatTimeout/2 {
		for _, n := range t.nodes {
			if !n.isDown {
				n.lastHeartbeat = now
			}
		}
		for _, c := range t.centres {
			c.lastContact = now
		}
	}
	t.lastTick = now
}

// removeNode removes a node and the log positions of the exchange with it. The caller
// holds mu.
func (t *Table) removeNode(n *nodeEntry) {
	delete(t.nodes, n.state.ID)
	delete(t.byHash, nodeHash(n.state.ID, n.state.Incarnation))
	delete(t.received, n.state.ID)
	delete(t.acknowledged, n.state.ID)
	t.isUrgent = true
}

// isLive reports whether a node counts as live. The caller holds mu.
func (t *Table) isLive(n *nodeEntry, now time.Time) bool {
	switch {
	case n.state.ID == t.id:
		return true
	case n.isDown:
		return false
	case n.state.DataCentre == t.nodes[t.id].state.DataCentre:
		return now.Sub(n.lastHeartbeat) <= HeartbeatTimeout
	default:
		return now.Sub(t.ensureCentre(n.state.DataCentre).lastContact) <= DataCentreTimeout
	}
}

// Publish sets the states of the replicas that the local node owns. Peers receive the
// significant changes.
func (t *Table) Publish(now time.Time, states []wire.ReplicaState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isOwned := map[string]bool{}
	for _, s := range states {
		isOwned[s.ID] = true
		s.Address = ""
		s.Pool = ""
		s.DataCentre = ""
		entry := t.replicas[s.ID]
		if entry == nil || entry.update.Owner != t.id || (isSignificant(entry.update.State, s) && t.mayPublish(now, entry, s)) {
			t.storeReplica(now, wire.ReplicaNews{Owner: t.id, Version: entry.version() + 1, State: s}, 0)
		}
	}
	for id, entry := range t.replicas {
		if entry.update.Owner == t.id && !isOwned[id] {
			t.storeReplica(now, wire.ReplicaNews{Version: entry.version() + 1, State: wire.ReplicaState{ID: id}}, 0)
		}
	}
	t.refresh(now)
}

// mayPublish reports whether a change of an owned replica may be published now:
// changes of load alone are limited in a large fleet, others are not. The caller holds
// mu.
func (t *Table) mayPublish(now time.Time, entry *replicaEntry, s wire.ReplicaState) bool {
	return len(t.nodes) <= smallFleet || !equalExceptLoad(entry.update.State, s) || now.Sub(entry.updatedAt) >= loadInterval
}

func (r *replicaEntry) version() uint64 {
	if r == nil {
		return 0
	}
	return r.update.Version
}
