package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Peer is the other side of an exchange.
type Peer struct {
	// Name is the peer's node name, Inner its address.
	Name  string
	Inner string
	// DataCentre and Region tell where it stands.
	DataCentre string
	Region     string
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
	return t.compose(to, revision)
}

// Answer takes a peer's news and returns what the peer does not yet hold.
func (t *Table) Answer(now time.Time, news wire.News, revision uint64) wire.News {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(now, news)
	return t.compose(Peer{Name: news.From, DataCentre: news.DataCentre, Region: news.Region}, revision)
}

// Take takes a peer's news.
func (t *Table) Take(now time.Time, news wire.News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(now, news)
}

// envelope returns a message without news. The caller holds mu.
func (t *Table) envelope(revision uint64) wire.News {
	self := t.nodes[t.id].state
	return wire.News{From: t.id, Inner: self.Inner, DataCentre: self.DataCentre, Region: self.Region, Revision: revision, Base: wire.Position{Incarnation: t.incarnation}, Next: wire.Position{Incarnation: t.incarnation}}
}

func (n *nodeItem) news() wire.NodeNews {
	s := n.state
	s.Replicas = nil
	return wire.NodeNews{State: s, Beat: n.beat, Down: n.down}
}

// compose gathers what changed after the place that the peer has read to. The
// caller holds mu.
func (t *Table) compose(to Peer, revision uint64) wire.News {
	news := t.envelope(revision)
	if told := t.told[to.Name]; told.Incarnation == t.incarnation {
		news.Base = told
	}
	news.Have = t.have[to.Name]
	news.Next.Index = t.index
	base := news.Base.Index
	for _, n := range t.nodes {
		switch {
		case n.state.ID == to.Name:
		case n.index > base && (n.from != to.Name || base == 0):
			news.Nodes = append(news.Nodes, n.news())
		case t.tellsBeat(n, to, base):
			news.Beats = append(news.Beats, wire.Beat{Node: nodeHash(n.state.ID, n.state.Incarnation), Count: n.beat, Revision: n.state.Revision})
		}
	}
	for _, v := range t.vms {
		if v.index > base && (v.from != to.Name || base == 0) {
			news.VMs = append(news.VMs, v.news)
		}
	}
	t.composeReplicas(&news, to, base)
	return news
}

// tellsBeat tells whether a peer should hear a node's heartbeat. The caller
// holds mu.
func (t *Table) tellsBeat(n *nodeItem, to Peer, base uint64) bool {
	if n.revisionIndex > base && n.revisionFrom != to.Name {
		return true
	}
	if n.beatIndex <= base || n.beatFrom == to.Name {
		return false
	}
	own := t.nodes[t.id].state.DataCentre
	near := n.state.DataCentre == own && to.DataCentre == own
	return near || n.state.ID == t.id || t.snapshot.Load().bridges[n.state.ID]
}

// composeReplicas adds the accounts of replicas: all that matters, and a
// bounded number of mere changes of load, the oldest first. The caller holds
// mu.
func (t *Table) composeReplicas(news *wire.News, to Peer, base uint64) {
	var loads []*replicaItem
	for id, r := range t.replicas {
		if r.from == to.Name && base > 0 {
			continue
		}
		near := to.Region == t.region(id)
		switch {
		case r.coarse > base:
			news.Replicas = append(news.Replicas, r.news)
		case near && r.index > base:
			loads = append(loads, r)
		}
	}
	slices.SortFunc(loads, func(a, b *replicaItem) int { return cmp.Compare(a.index, b.index) })
	if len(loads) > maxLoadNews {
		loads = loads[:maxLoadNews]
		news.Next.Index = loads[maxLoadNews-1].index
	}
	for _, r := range loads {
		news.Replicas = append(news.Replicas, r.news)
	}
}

// region returns the region of a replica's VM. The caller holds mu.
func (t *Table) region(id string) string {
	if v := t.vms[id]; v != nil {
		return v.news.VM.Region
	}
	return ""
}

// take merges a peer's news. The caller holds mu.
func (t *Table) take(now time.Time, news wire.News) {
	if news.From == t.id {
		return
	}
	t.told[news.From] = news.Have
	t.advance(news)
	t.centres[news.DataCentre] = now
	for _, n := range news.Nodes {
		t.takeNode(now, n, news.From)
	}
	for _, b := range news.Beats {
		t.takeBeat(now, b, news.From)
	}
	for _, v := range news.VMs {
		t.takeVM(now, v, news.From)
	}
	for _, r := range news.Replicas {
		item := t.replicas[r.State.ID]
		if item == nil || r.Version > item.version() || (r.Version == item.version() && r.Owner > item.news.Owner) {
			t.takeReplica(now, r, news.From)
		}
	}
	t.refresh(now)
}

// advance notes how far the sender's log is held. After a gap the old place
// stands, and the sender hears of it. The caller holds mu.
func (t *Table) advance(news wire.News) {
	have := t.have[news.From]
	if have.Incarnation != news.Next.Incarnation {
		have = wire.Position{Incarnation: news.Next.Incarnation}
	}
	if news.Base.Index <= have.Index {
		have.Index = max(have.Index, news.Next.Index)
	}
	t.have[news.From] = have
}

// takeNode merges one node's state. Heartbeats decide between two accounts of
// its life: the higher wins, and of equal ones the one that says down. The
// caller holds mu.
func (t *Table) takeNode(now time.Time, news wire.NodeNews, from string) {
	if news.State.ID == t.id {
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

func (t *Table) mergeNode(now time.Time, n *nodeItem, news wire.NodeNews, from string) {
	changed := false
	if news.State.Sequence > n.state.Sequence {
		news.State.Revision = max(news.State.Revision, n.state.Revision)
		n.state = news.State
		changed = true
	}
	switch {
	case news.Beat > n.beat:
		changed = changed || news.Down != n.down
		n.beat = news.Beat
		n.down = news.Down
		n.beatIndex = t.next()
		n.beatFrom = from
		n.heard = now
	case news.Beat == n.beat && news.Down && !n.down:
		n.down = true
		changed = true
	}
	if changed {
		n.index = t.next()
		n.from = from
		t.urgent = true
	}
}

// takeBeat merges one heartbeat. The caller holds mu.
func (t *Table) takeBeat(now time.Time, b wire.Beat, from string) {
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
	t.centres[n.state.DataCentre] = now
	if n.down {
		n.down = false
		n.index = t.next()
		n.from = ""
		t.urgent = true
	}
}

// takeVM merges one entry of the list of VMs. The caller holds mu.
func (t *Table) takeVM(now time.Time, news wire.VMNews, from string) {
	item := t.vms[news.VM.ID]
	if item != nil && news.Version <= item.news.Version {
		return
	}
	t.vms[news.VM.ID] = &vmItem{news: news, changed: now, index: t.next(), from: from}
	t.urgent = true
}

// takeReplica takes a newer account of a replica. The caller holds mu.
func (t *Table) takeReplica(now time.Time, news wire.ReplicaNews, from string) {
	item := t.replicas[news.State.ID]
	fresh := item == nil || item.news.Owner != news.Owner || !sameService(item.news.State, news.State)
	if item == nil {
		item = &replicaItem{}
		t.replicas[news.State.ID] = item
	}
	item.news = news
	item.index = t.next()
	item.from = from
	if fresh || now.Sub(item.coarseAt) >= coarseInterval {
		item.coarse = item.index
		item.coarseAt = now
	}
	t.stale = true
	t.urgent = t.urgent || fresh
}

// sameService tells whether two accounts of a replica agree in all but load.
func sameService(a, b wire.ReplicaState) bool {
	return a.Healthy == b.Healthy && a.Leaving == b.Leaving && slices.Equal[[]config.Target](a.Targets, b.Targets)
}

const (
	// waitChange and waitShare are the least change of a predicted wait that
	// peers hear of, in time and as a share.
	waitChange = 50 * time.Millisecond
	waitShare  = 4
	// loadShare is the least change of load, as a share of the limit.
	loadShare = 8
)

// significant tells whether peers should hear of a new account.
func significant(a, b wire.ReplicaState) bool {
	if !sameService(a, b) || a.Limit != b.Limit || len(a.Waits) != len(b.Waits) {
		return true
	}
	if (a.Running == 0) != (b.Running == 0) || abs(a.Running-b.Running) > max(1, a.Limit/loadShare) {
		return true
	}
	for i := range a.Waits {
		if abs(a.Waits[i]-b.Waits[i]) > max(waitChange, a.Waits[i]/waitShare) {
			return true
		}
	}
	return false
}

func abs[N int | time.Duration](n N) N {
	if n < 0 {
		return -n
	}
	return n
}
