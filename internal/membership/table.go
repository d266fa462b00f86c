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

// nodeItem is a node's state with its places in the log.
type nodeItem struct {
	state wire.NodeState
	beat  uint32
	doubt bool
	down  bool
	// wide tells that the heartbeat is passed on beyond the data centre.
	wide bool
	// heard is when the heartbeat last rose here.
	heard time.Time
	// index, beatIndex and revisionIndex are the places of the newest change
	// of state, heartbeat and revision.
	index         uint64
	beatIndex     uint64
	revisionIndex uint64
	// from, beatFrom and revisionFrom are the hashes of the peers that told
	// of them, 0 for the own node.
	from         uint64
	beatFrom     uint64
	revisionFrom uint64
}

// replicaItem is an owner's account of a replica.
type replicaItem struct {
	news wire.ReplicaNews
	// index is the place of the newest change, coarse of the newest that
	// other regions hear of.
	index    uint64
	coarse   uint64
	coarseAt time.Time
	// told is when the newest account was taken.
	told time.Time
	from uint64
}

// centreItem is the heartbeat of a data centre.
type centreItem struct {
	count uint32
	// rose is when it last rose here, heard when it did or a node of the data
	// centre was in touch.
	rose  time.Time
	heard time.Time
	index uint64
	from  uint64
}

// vmItem is an entry of the list of VMs.
type vmItem struct {
	news    wire.VMNews
	changed time.Time
	index   uint64
	from    uint64
}

// Table merges what nodes tell of themselves. It is safe for concurrent use.
type Table struct {
	id    string
	alarm func()

	mu          sync.Mutex
	incarnation uint64 // guarded by mu
	// accepted tells that a peer has taken news of this incarnation and knows
	// no higher one; guarded by mu.
	accepted  bool
	index     uint64                   // guarded by mu
	nodes     map[string]*nodeItem     // guarded by mu; the own node's included
	hashes    map[uint64]*nodeItem     // guarded by mu
	replicas  map[string]*replicaItem  // guarded by mu
	vms       map[string]*vmItem       // guarded by mu
	vmOrder   []string                 // guarded by mu; the IDs of vms in order, nil after one came or went
	centres   map[string]*centreItem   // guarded by mu
	have      map[string]wire.Position // guarded by mu; what is held of each peer's log
	told      map[string]wire.Position // guarded by mu; what each peer holds of the own log
	ticked    time.Time                // guarded by mu
	wideUntil time.Time                // guarded by mu; how long others hear the own heartbeat beyond the data centre
	built     time.Time                // guarded by mu
	cost      time.Duration            // guarded by mu; of the last view
	stale     bool                     // guarded by mu; the view lacks a change of load
	urgent    bool                     // guarded by mu; the view lacks another change
	live      []string                 // guarded by mu; the nodes that own replicas, as of the last view
	owners    map[string]string        // guarded by mu; by VM, as of the last view
	due       atomic.Int64             // when a new view is due, in Unix nanoseconds; 0 for never
	snapshot  atomic.Pointer[Snapshot]
}

// NewTable returns a table that knows only the own node.
func NewTable(self wire.NodeState) *Table {
	t := &Table{
		id: self.ID, incarnation: self.Incarnation, alarm: func() {},
		nodes: map[string]*nodeItem{}, hashes: map[uint64]*nodeItem{}, replicas: map[string]*replicaItem{}, vms: map[string]*vmItem{},
		centres: map[string]*centreItem{}, have: map[string]wire.Position{}, told: map[string]wire.Position{},
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.ticked = now
	t.addNode(&nodeItem{state: self, beat: 1, heard: now})
	t.rebuild(now)
	return t
}

// OnAlarm sets what to call when peers should hear of a change at once: a
// doubt, a death or a node that leaves. It must be set before the first
// exchange, and must not block or call the table.
func (t *Table) OnAlarm(alarm func()) { t.alarm = alarm }

// nodeHash identifies one incarnation of a node in heartbeats.
func nodeHash(id string, incarnation uint64) uint64 {
	return xxhash.Sum64String(id + "/" + strconv.FormatUint(incarnation, 10))
}

// next returns the place of a new change. The caller holds mu.
func (t *Table) next() uint64 {
	t.index++
	return t.index
}

// addNode takes a new node or incarnation. The caller holds mu.
func (t *Table) addNode(n *nodeItem) {
	if old := t.nodes[n.state.ID]; old != nil {
		delete(t.hashes, nodeHash(old.state.ID, old.state.Incarnation))
	}
	n.index = t.next()
	n.beatIndex = n.index
	n.revisionIndex = n.index
	t.nodes[n.state.ID] = n
	t.hashes[nodeHash(n.state.ID, n.state.Incarnation)] = n
	if c := t.centre(n.state.DataCentre); c.heard.IsZero() {
		c.heard = n.heard
	}
	t.urgent = true
}

// Self returns the own node's state.
func (t *Table) Self() wire.NodeState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nodes[t.id].state
}

// Update changes the own node's state; replicas are left to Publish. The
// sequence number rises only if something changed that peers must hear of.
func (t *Table) Update(now time.Time, change func(*wire.NodeState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.nodes[t.id]
	before := self.state
	after := before
	change(&after)
	if after.Revision != before.Revision {
		self.state.Revision = after.Revision
		self.revisionIndex = t.next()
		t.stale = true
	}
	after.Replicas = nil
	after.Revision = before.Revision
	if !reflect.DeepEqual(after, before) {
		after.Sequence++
		after.Revision = self.state.Revision
		self.state = after
		self.index = t.next()
		t.urgent = true
	}
	t.refresh(now)
}

// Down tells that the own node stops now, so that peers need not wait for its
// heartbeat.
func (t *Table) Down(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.nodes[t.id]
	self.down = true
	self.index = t.next()
	t.urgent = true
	t.refresh(now)
}

// SetVMs takes the platform's list of VMs, read no earlier than began. Entries
// that changed here since are left alone, as the answer may be the older. An
// empty list is taken for a fault of the platform.
func (t *Table) SetVMs(began, now time.Time, vms []infra.VM) {
	if len(vms) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[string]bool{}
	for _, vm := range vms {
		seen[vm.ID] = true
		t.setVM(began, now, wire.VMNews{VM: vm})
	}
	for id, item := range t.vms {
		if !seen[id] && !item.news.Gone {
			t.setVM(began, now, wire.VMNews{VM: item.news.VM, Gone: true})
		}
	}
	t.refresh(now)
}

// setVM takes one entry as read from the list. The caller holds mu.
func (t *Table) setVM(began, now time.Time, news wire.VMNews) {
	item := t.vms[news.VM.ID]
	if item == nil {
		item = &vmItem{}
		t.vms[news.VM.ID] = item
		t.vmOrder = nil
	} else if item.changed.After(began) || (item.news.VM == news.VM && item.news.Gone == news.Gone) {
		return
	}
	news.Version = item.news.Version + 1
	*item = vmItem{news: news, changed: now, index: t.next()}
	t.urgent = true
}

// Tick raises the own heartbeat, takes silent nodes of the own data centre
// for dead, and forgets what is long gone.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgive(now)
	self := t.nodes[t.id]
	self.beat++
	self.beatIndex = t.next()
	self.heard = now
	self.wide = now.Before(t.wideUntil)
	t.beatCentre(now, self.state)
	for id, n := range t.nodes {
		if id == t.id {
			continue
		}
		silent := now.Sub(n.heard)
		if n.state.DataCentre == self.state.DataCentre {
			t.judge(n, silent)
		}
		if silent > ForgetAfter && !t.isLive(n, now) {
			t.forget(n)
		}
	}
	for id, item := range t.vms {
		if item.news.Gone && now.Sub(item.changed) > ForgetAfter {
			delete(t.vms, id)
			t.vmOrder = nil
			delete(t.replicas, id)
		}
	}
	t.urgent = true
	t.refresh(now)
}

// judge doubts a silent node of the own data centre, and takes it for dead if
// that lasts. The caller holds mu.
func (t *Table) judge(n *nodeItem, silent time.Duration) {
	switch {
	case !n.down && silent > SuspectAfter:
		n.down = true
	case !n.down && !n.doubt && silent > DoubtAfter:
		n.doubt = true
	default:
		return
	}
	n.index = t.next()
	n.from = 0
	t.urgent = true
	t.alarm()
}

// beatCentre raises the heartbeat of the own data centre, on the nodes that
// stand for it, unless another has just done so. The caller holds mu.
func (t *Table) beatCentre(now time.Time, self wire.NodeState) {
	c := t.centre(self.DataCentre)
	if t.snapshot.Load().Bridge(t.id) && now.Sub(c.rose) >= HeartbeatInterval/2 {
		c.rise(now, c.count+1, t.next(), 0)
	}
}

// centre returns the heartbeat of a data centre. The caller holds mu.
func (t *Table) centre(name string) *centreItem {
	c := t.centres[name]
	if c == nil {
		c = &centreItem{}
		t.centres[name] = c
	}
	return c
}

func (c *centreItem) rise(now time.Time, count uint32, index, from uint64) {
	c.count = count
	c.rose = now
	c.heard = now
	c.index = index
	c.from = from
}

// forgive restarts all waits after this process itself was stopped for a
// while, since the silence was its own. The caller holds mu.
func (t *Table) forgive(now time.Time) {
	if now.Sub(t.ticked) > SuspectAfter/2 {
		for _, n := range t.nodes {
			if !n.down {
				n.heard = now
			}
		}
		for _, c := range t.centres {
			c.heard = now
		}
	}
	t.ticked = now
}

// forget removes a node. The caller holds mu.
func (t *Table) forget(n *nodeItem) {
	delete(t.nodes, n.state.ID)
	delete(t.hashes, nodeHash(n.state.ID, n.state.Incarnation))
	delete(t.have, n.state.ID)
	delete(t.told, n.state.ID)
	t.urgent = true
}

// isLive tells whether a node is taken for live. The caller holds mu.
func (t *Table) isLive(n *nodeItem, now time.Time) bool {
	switch {
	case n.state.ID == t.id:
		return true
	case n.down:
		return false
	case n.state.DataCentre == t.nodes[t.id].state.DataCentre:
		return now.Sub(n.heard) <= SuspectAfter
	default:
		return now.Sub(t.centre(n.state.DataCentre).heard) <= SilentAfter
	}
}

// Publish takes the own account of the owned replicas. Peers hear of the
// changes that matter.
func (t *Table) Publish(now time.Time, states []wire.ReplicaState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mine := map[string]bool{}
	for _, s := range states {
		mine[s.ID] = true
		s.Address = ""
		s.Pool = ""
		s.DataCentre = ""
		item := t.replicas[s.ID]
		if item == nil || item.news.Owner != t.id || (significant(item.news.State, s) && t.mayTell(now, item, s)) {
			t.takeReplica(now, wire.ReplicaNews{Owner: t.id, Version: item.version() + 1, State: s}, 0)
		}
	}
	for id, item := range t.replicas {
		if item.news.Owner == t.id && !mine[id] {
			t.takeReplica(now, wire.ReplicaNews{Version: item.version() + 1, State: wire.ReplicaState{ID: id}}, 0)
		}
	}
	t.refresh(now)
}

// mayTell tells whether a change of an own replica may be told now: what
// matters at once, mere load not too often in a large fleet. The caller holds
// mu.
func (t *Table) mayTell(now time.Time, item *replicaItem, s wire.ReplicaState) bool {
	return len(t.nodes) <= smallFleet || !sameService(item.news.State, s) || now.Sub(item.told) >= loadInterval
}

func (i *replicaItem) version() uint64 {
	if i == nil {
		return 0
	}
	return i.news.Version
}
