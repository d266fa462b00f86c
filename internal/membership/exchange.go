package membership

import (
	"fmt"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Peer is the other side of an exchange.
type Peer struct {
	// Name is the peer's node name, Inner its address.
	Name  string
	Inner string
	// IsRemote is set if the peer is in another data centre.
	IsRemote bool
}

// Introduce returns the first message to an address whose node is unknown. It contains
// the local node only.
func (t *Table) Introduce(revision uint64) wire.News {
	t.mu.Lock()
	defer t.mu.Unlock()
	update := t.envelope(revision)
	self := t.nodes[t.id]
	update.Nodes = []wire.NodeNews{self.update()}
	return update
}

// Compose returns the changes that a peer does not have yet.
func (t *Table) Compose(to Peer, revision uint64) wire.News {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.compose(to.Name, revision)
}

// Answer merges a peer's changes and returns those that the peer does not have yet.
func (t *Table) Answer(now time.Time, update wire.News, revision uint64) wire.News {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now, update)
	return t.compose(update.From, revision)
}

// Merge merges a peer's changes.
func (t *Table) Merge(now time.Time, update wire.News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now, update)
}

// envelope returns a message without changes. The caller holds mu.
func (t *Table) envelope(revision uint64) wire.News {
	return wire.News{From: t.id, Incarnation: t.incarnation, Revision: revision}
}

// update returns the node's state in a message. Its replicas are sent separately.
func (n *nodeEntry) update() wire.NodeNews {
	s := n.state
	s.Replicas = nil
	return wire.NodeNews{State: s, Beat: n.heartbeat, Doubt: n.isDoubted, Down: n.isDown}
}

// merge merges a peer's message. The caller holds mu.
func (t *Table) merge(now time.Time, update wire.News) {
	if update.From == t.id {
		return
	}
	t.acknowledged[update.From] = update.Have
	t.advanceReceived(update)
	t.isAccepted = t.isAccepted || (update.Have.Incarnation == t.incarnation && !t.hasHigherIncarnation(update))
	origin := nodeHash(update.From, update.Incarnation)
	for _, n := range update.Nodes {
		t.mergeNodeUpdate(now, n, origin)
	}
	if n := t.nodes[update.From]; n != nil {
		t.ensureCentre(n.state.DataCentre).lastContact = now
	}
	for _, c := range update.Centres {
		if entry := t.ensureCentre(c.DataCentre); c.Count > entry.count {
			entry.raise(now, c.Count, t.nextIndex(), origin)
		}
	}
	for _, b := range update.Beats {
		if b.Revision == 0 {
			b.Revision = update.Revision
		}
		t.mergeHeartbeat(now, b, origin)
	}
	for _, v := range update.VMs {
		t.mergeVM(now, v, origin)
	}
	for _, r := range update.Replicas {
		entry := t.replicas[r.State.ID]
		if entry == nil || r.Version > entry.version() || (r.Version == entry.version() && r.Owner > entry.update.Owner) {
			t.storeReplica(now, r, origin)
		}
	}
	t.refresh(now)
}

// advanceReceived records the position up to which the sender's log was received.
// After a gap the position does not change, and the next message informs the sender.
// The caller holds mu.
func (t *Table) advanceReceived(update wire.News) {
	received := t.received[update.From]
	if received.Incarnation != update.Incarnation {
		received = wire.Position{Incarnation: update.Incarnation}
	}
	if update.Base <= received.Index {
		received.Index = max(received.Index, update.Next)
	}
	t.received[update.From] = received
}

// mergeNodeUpdate merges one node's state. Of two updates of one incarnation the
// higher heartbeat decides whether the node is down; with equal heartbeats, down wins.
// The caller holds mu.
func (t *Table) mergeNodeUpdate(now time.Time, update wire.NodeNews, origin uint64) {
	if update.State.ID == t.id {
		t.supersede(now, update)
		t.refuteDoubt(now, update)
		return
	}
	old := t.nodes[update.State.ID]
	switch {
	case old == nil && update.Down:
	case old == nil || update.State.Incarnation > old.state.Incarnation:
		t.addNode(&nodeEntry{state: update.State, heartbeat: update.Beat, isDown: update.Down, lastHeartbeat: now, origin: origin, heartbeatOrigin: origin})
	case update.State.Incarnation == old.state.Incarnation:
		t.mergeSameIncarnation(now, old, update, origin)
	}
}

// refuteDoubt answers a doubt about the local node: its heartbeat is relayed beyond
// the data centre for a while. The caller holds mu.
func (t *Table) refuteDoubt(now time.Time, update wire.NodeNews) {
	self := t.nodes[t.id]
	if update.State.Incarnation != t.incarnation || self.isDown || !(update.Doubt || update.Down) {
		return
	}
	t.wideUntil = now.Add(wideDuration)
	self.isWide = true
	self.heartbeat = max(self.heartbeat, update.Beat) + 1
	self.heartbeatIndex = t.nextIndex()
	t.onUrgent()
}

// mergeSameIncarnation merges an update of a node's present incarnation. The caller
// holds mu.
func (t *Table) mergeSameIncarnation(now time.Time, n *nodeEntry, update wire.NodeNews, origin uint64) {
	hasChanged := false
	if update.State.Sequence > n.state.Sequence {
		update.State.Revision = max(update.State.Revision, n.state.Revision)
		n.state = update.State
		hasChanged = true
	}
	switch {
	case update.Beat > n.heartbeat:
		hasChanged = hasChanged || update.Down != n.isDown || update.Doubt != n.isDoubted
		n.heartbeat = update.Beat
		n.isDoubted = update.Doubt
		n.isDown = update.Down
		n.heartbeatIndex = t.nextIndex()
		n.heartbeatOrigin = origin
		n.lastHeartbeat = now
	case update.Beat == n.heartbeat && (update.Down && !n.isDown || update.Doubt && !n.isDoubted):
		n.isDoubted = n.isDoubted || update.Doubt
		n.isDown = n.isDown || update.Down
		hasChanged = true
	}
	if hasChanged {
		n.index = t.nextIndex()
		n.origin = origin
		t.isUrgent = true
		t.onUrgent()
	}
}

// mergeHeartbeat merges one heartbeat. The caller holds mu.
func (t *Table) mergeHeartbeat(now time.Time, b wire.Beat, origin uint64) {
	n := t.byHash[b.Node]
	if n == nil || n.state.ID == t.id {
		return
	}
	if b.Revision > n.state.Revision {
		n.state.Revision = b.Revision
		n.revisionIndex = t.nextIndex()
		n.revisionOrigin = origin
		t.isStale = true
	}
	if b.Count <= n.heartbeat {
		return
	}
	n.heartbeat = b.Count
	n.heartbeatIndex = t.nextIndex()
	n.heartbeatOrigin = origin
	n.lastHeartbeat = now
	n.isWide = b.Wide
	if n.isDown || n.isDoubted {
		n.isDown = false
		n.isDoubted = false
		n.index = t.nextIndex()
		n.origin = 0
		t.isUrgent = true
		t.onUrgent()
	}
}

// mergeVM merges one entry of the list of VMs. The caller holds mu.
func (t *Table) mergeVM(now time.Time, update wire.VMNews, origin uint64) {
	entry := t.vms[update.VM.ID]
	if entry != nil && !isNewerVM(update, entry.update) {
		return
	}
	if entry == nil {
		t.sortedVMIDs = nil
	}
	t.vms[update.VM.ID] = &vmEntry{update: update, changedAt: now, index: t.nextIndex(), origin: origin}
	t.isUrgent = true
}

// isNewerVM reports whether update a replaces update b. Of two changes that nodes saw
// at the same time, all nodes keep the same one. If that is the wrong one, the next read
// of the list corrects it.
func isNewerVM(a, b wire.VMNews) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a == b {
		return false
	}
	return fmt.Sprint(a) > fmt.Sprint(b)
}

// storeReplica stores a newer state of a replica. The caller holds mu.
func (t *Table) storeReplica(now time.Time, update wire.ReplicaNews, origin uint64) {
	entry := t.replicas[update.State.ID]
	isSignificantChange := entry == nil || entry.update.Owner != update.Owner || !equalExceptLoad(entry.update.State, update.State)
	if entry == nil {
		entry = &replicaEntry{}
		t.replicas[update.State.ID] = entry
	}
	entry.update = update
	entry.updatedAt = now
	entry.index = t.nextIndex()
	entry.origin = origin
	if isSignificantChange || now.Sub(entry.coarseAt) >= coarseInterval {
		entry.coarseIndex = entry.index
		entry.coarseAt = now
	}
	t.isStale = true
	t.isUrgent = t.isUrgent || isSignificantChange
}
