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
	// Far tells that it stands in another data centre.
	Far bool
}

// Introduce returns the first message to an address of which nothing is
// known: the own node alone.
func (t *Table) Introduce(revision uint64) wire.News {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := t.envelope(revision)
	self := t.nodes[t.id]
	news.Nodes = []wire.NodeNews{self.news()}
	return news
}

// Compose returns what a peer does not yet hold.
func (t *Table) Compose(to Peer, revision uint64) wire.News {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.compose(to.Name, revision)
}

// Answer takes a peer's news and returns what the peer does not yet hold.
func (t *Table) Answer(now time.Time, news wire.News, revision uint64) wire.News {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(now, news)
	return t.compose(news.From, revision)
}

// Take takes a peer's news.
func (t *Table) Take(now time.Time, news wire.News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(now, news)
}

// envelope returns a message without news. The caller holds mu.
func (t *Table) envelope(revision uint64) wire.News {
	return wire.News{From: t.id, Incarnation: t.incarnation, Revision: revision}
}

func (n *nodeItem) news() wire.NodeNews {
	s := n.state
	s.Replicas = nil
	return wire.NodeNews{State: s, Beat: n.beat, Doubt: n.doubt, Down: n.down}
}

// take merges a peer's news. The caller holds mu.
func (t *Table) take(now time.Time, news wire.News) {
	if news.From == t.id {
		return
	}
	t.told[news.From] = news.Have
	t.advance(news)
	t.accepted = t.accepted || (news.Have.Incarnation == t.incarnation && !t.outranked(news))
	from := nodeHash(news.From, news.Incarnation)
	for _, n := range news.Nodes {
		t.takeNode(now, n, from)
	}
	if n := t.nodes[news.From]; n != nil {
		t.centre(n.state.DataCentre).heard = now
	}
	for _, c := range news.Centres {
		if item := t.centre(c.DataCentre); c.Count > item.count {
			item.rise(now, c.Count, t.next(), from)
		}
	}
	for _, b := range news.Beats {
		if b.Revision == 0 {
			b.Revision = news.Revision
		}
		t.takeBeat(now, b, from)
	}
	for _, v := range news.VMs {
		t.takeVM(now, v, from)
	}
	for _, r := range news.Replicas {
		item := t.replicas[r.State.ID]
		if item == nil || r.Version > item.version() || (r.Version == item.version() && r.Owner > item.news.Owner) {
			t.takeReplica(now, r, from)
		}
	}
	t.refresh(now)
}

// advance notes how far the sender's log is held. After a gap the old place
// stands, and the sender hears of it. The caller holds mu.
func (t *Table) advance(news wire.News) {
	have := t.have[news.From]
	if have.Incarnation != news.Incarnation {
		have = wire.Position{Incarnation: news.Incarnation}
	}
	if news.Base <= have.Index {
		have.Index = max(have.Index, news.Next)
	}
	t.have[news.From] = have
}

// takeNode merges one node's state. Heartbeats decide between two accounts of
// its life: the higher wins, and of equal ones the one that says down. The
// caller holds mu.
func (t *Table) takeNode(now time.Time, news wire.NodeNews, from uint64) {
	if news.State.ID == t.id {
		t.supersede(now, news)
		t.refute(now, news)
		return
	}
	old := t.nodes[news.State.ID]
	switch {
	case old == nil && news.Down:
	case old == nil || news.State.Incarnation > old.state.Incarnation:
		t.addNode(&nodeItem{state: news.State, beat: news.Beat, down: news.Down, heard: now, from: from, beatFrom: from})
	case news.State.Incarnation == old.state.Incarnation:
		t.mergeNode(now, old, news, from)
	}
}

// refute answers a doubt of the own life: the heartbeat goes further for a
// while. The caller holds mu.
func (t *Table) refute(now time.Time, news wire.NodeNews) {
	self := t.nodes[t.id]
	if news.State.Incarnation != t.incarnation || self.down || !(news.Doubt || news.Down) {
		return
	}
	t.wideUntil = now.Add(wideTime)
	self.wide = true
	self.beat = max(self.beat, news.Beat) + 1
	self.beatIndex = t.next()
	t.alarm()
}

func (t *Table) mergeNode(now time.Time, n *nodeItem, news wire.NodeNews, from uint64) {
	changed := false
	if news.State.Sequence > n.state.Sequence {
		news.State.Revision = max(news.State.Revision, n.state.Revision)
		n.state = news.State
		changed = true
	}
	switch {
	case news.Beat > n.beat:
		changed = changed || news.Down != n.down || news.Doubt != n.doubt
		n.beat = news.Beat
		n.doubt = news.Doubt
		n.down = news.Down
		n.beatIndex = t.next()
		n.beatFrom = from
		n.heard = now
	case news.Beat == n.beat && (news.Down && !n.down || news.Doubt && !n.doubt):
		n.doubt = n.doubt || news.Doubt
		n.down = n.down || news.Down
		changed = true
	}
	if changed {
		n.index = t.next()
		n.from = from
		t.urgent = true
		t.alarm()
	}
}

// takeBeat merges one heartbeat. The caller holds mu.
func (t *Table) takeBeat(now time.Time, b wire.Beat, from uint64) {
	n := t.hashes[b.Node]
	if n == nil || n.state.ID == t.id {
		return
	}
	if b.Revision > n.state.Revision {
		n.state.Revision = b.Revision
		n.revisionIndex = t.next()
		n.revisionFrom = from
		t.stale = true
	}
	if b.Count <= n.beat {
		return
	}
	n.beat = b.Count
	n.beatIndex = t.next()
	n.beatFrom = from
	n.heard = now
	n.wide = b.Wide
	if n.down || n.doubt {
		n.down = false
		n.doubt = false
		n.index = t.next()
		n.from = 0
		t.urgent = true
		t.alarm()
	}
}

// takeVM merges one entry of the list of VMs. The caller holds mu.
func (t *Table) takeVM(now time.Time, news wire.VMNews, from uint64) {
	item := t.vms[news.VM.ID]
	if item != nil && !newerVM(news, item.news) {
		return
	}
	if item == nil {
		t.vmOrder = nil
	}
	t.vms[news.VM.ID] = &vmItem{news: news, changed: now, index: t.next(), from: from}
	t.urgent = true
}

// newerVM tells whether a replaces b. Of two changes that nodes saw at the
// same time, all keep the same one; the next reading of the list corrects it.
func newerVM(a, b wire.VMNews) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a == b {
		return false
	}
	return fmt.Sprint(a) > fmt.Sprint(b)
}

// takeReplica takes a newer account of a replica. The caller holds mu.
func (t *Table) takeReplica(now time.Time, news wire.ReplicaNews, from uint64) {
	item := t.replicas[news.State.ID]
	fresh := item == nil || item.news.Owner != news.Owner || !sameService(item.news.State, news.State)
	if item == nil {
		item = &replicaItem{}
		t.replicas[news.State.ID] = item
	}
	item.news = news
	item.told = now
	item.index = t.next()
	item.from = from
	if fresh || now.Sub(item.coarseAt) >= coarseInterval {
		item.coarse = item.index
		item.coarseAt = now
	}
	t.stale = true
	t.urgent = t.urgent || fresh
}
