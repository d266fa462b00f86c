package membership

import (
	"cmp"
	"slices"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// change is one entry of the log in a message to a peer.
type change struct {
	index uint64
	add   func(*wire.News)
}

// compose returns a message with the changes after the position that the peer has
// acknowledged, oldest first and no more than fit one message. The caller holds mu.
func (t *Table) compose(peerID string, revision uint64) wire.News {
	update := t.envelope(revision)
	if ack := t.acknowledged[peerID]; ack.Incarnation == t.incarnation {
		update.Base = ack.Index
	}
	update.Have = t.received[peerID]
	update.Next = t.lastIndex
	c := composer{table: t, peerID: peerID, peerIncarnation: update.Have.Incarnation, peerHash: nodeHash(peerID, update.Have.Incarnation), base: update.Base, revision: revision}
	if n := t.nodes[peerID]; n != nil {
		c.peer = n.state
	}
	c.addNodes()
	c.addCentres()
	c.addVMs()
	firstSkipped := c.addReplicas()
	slices.SortFunc(c.changes, func(a, b change) int { return cmp.Compare(a.index, b.index) })
	if len(c.changes) > maxChanges {
		c.changes = c.changes[:maxChanges]
		update.Next = c.changes[maxChanges-1].index
		update.More = true
	}
	if firstSkipped > 0 {
		update.Next = min(update.Next, firstSkipped-1)
	}
	for _, change := range c.changes {
		change.add(&update)
	}
	return update
}

// composer collects the changes for one peer. Its methods are called with the table's
// mu held.
type composer struct {
	table    *Table
	peerID   string
	peerHash uint64
	// peerIncarnation is the incarnation of the peer's last message, 0 if there was none.
	peerIncarnation uint64
	peer            wire.NodeState
	base            uint64
	revision        uint64
	changes         []change
}

// isMissing reports whether the peer lacks a change. It does not lack changes that it
// sent itself.
func (c *composer) isMissing(index, origin uint64) bool {
	return index > c.base && origin != c.peerHash
}

// add appends a change. index is its position in the log.
func (c *composer) add(index uint64, add func(*wire.News)) {
	c.changes = append(c.changes, change{index, add})
}

// addNodes adds the states and heartbeats of nodes. The peer receives its own state only
// if that is doubted, down or of a higher incarnation than the peer's last message.
func (c *composer) addNodes() {
	for _, n := range c.table.nodes {
		switch {
		case n.state.ID == c.peerID && c.peerIncarnation != 0 && n.state.Incarnation > c.peerIncarnation:
			c.add(n.index, func(update *wire.News) { update.Nodes = append(update.Nodes, n.update()) })
		case n.state.ID == c.peerID && !n.isDoubted && !n.isDown:
		case c.isMissing(n.index, n.origin):
			c.add(n.index, func(update *wire.News) { update.Nodes = append(update.Nodes, n.update()) })
		case c.isMissing(n.revisionIndex, n.revisionOrigin):
			c.add(n.revisionIndex, func(update *wire.News) { update.Beats = append(update.Beats, n.heartbeatUpdate(c.revision)) })
		case c.isMissing(n.heartbeatIndex, n.heartbeatOrigin) && (n.isWide || c.table.needsHeartbeat(n.state, c.peer)):
			c.add(n.heartbeatIndex, func(update *wire.News) { update.Beats = append(update.Beats, n.heartbeatUpdate(c.revision)) })
		}
	}
}

func (c *composer) addCentres() {
	for name, centre := range c.table.centres {
		if name != c.peer.DataCentre && c.isMissing(centre.index, centre.origin) {
			c.add(centre.index, func(update *wire.News) {
				update.Centres = append(update.Centres, wire.CentreBeat{DataCentre: name, Count: centre.count})
			})
		}
	}
}

func (c *composer) addVMs() {
	for _, v := range c.table.vms {
		if c.isMissing(v.index, v.origin) {
			c.add(v.index, func(update *wire.News) { update.VMs = append(update.VMs, v.update) })
		}
	}
}

// addReplicas adds the states of replicas: all significant changes, and a bounded number
// of changes of load alone, oldest first. It returns the position of the first one
// left out, or 0.
func (c *composer) addReplicas() uint64 {
	var loads []*replicaEntry
	for id, r := range c.table.replicas {
		switch {
		case c.isMissing(r.coarseIndex, r.origin):
			c.add(r.coarseIndex, r.add)
		case c.peer.Region == c.table.region(id) && c.isMissing(r.index, r.origin):
			loads = append(loads, r)
		}
	}
	slices.SortFunc(loads, func(a, b *replicaEntry) int { return cmp.Compare(a.index, b.index) })
	for _, r := range loads[:min(len(loads), maxLoadChanges)] {
		c.add(r.index, r.add)
	}
	if len(loads) > maxLoadChanges {
		return loads[maxLoadChanges].index
	}
	return 0
}

func (r *replicaEntry) add(update *wire.News) { update.Replicas = append(update.Replicas, r.update) }

// needsHeartbeat reports whether a peer should receive a node's heartbeat: both are in
// the local data centre. The caller holds mu.
func (t *Table) needsHeartbeat(n, peer wire.NodeState) bool {
	localDC := t.nodes[t.id].state.DataCentre
	return n.DataCentre == localDC && peer.DataCentre == localDC
}

// heartbeatUpdate returns the node's heartbeat. It leaves the revision out if it
// equals the sender's revision.
func (n *nodeEntry) heartbeatUpdate(revision uint64) wire.Beat {
	b := wire.Beat{Node: nodeHash(n.state.ID, n.state.Incarnation), Count: n.heartbeat, Wide: n.isWide}
	if n.state.Revision != revision {
		b.Revision = n.state.Revision
	}
	return b
}

// region returns the region of a replica's VM. The caller holds mu.
func (t *Table) region(id string) string {
	if v := t.vms[id]; v != nil {
		return v.update.VM.Region
	}
	return ""
}
