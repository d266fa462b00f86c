package membership

import (
	"cmp"
	"fmt"
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

// change is one entry of the log as a peer would be told it.
type change struct {
	index uint64
	add   func(*wire.News)
}

// compose gathers what changed after the place that the peer has read to, the
// oldest first and no more than fits one message. The caller holds mu.
func (t *Table) compose(to string, revision uint64) wire.News {
	news := t.envelope(revision)
	if told := t.told[to]; told.Incarnation == t.incarnation {
		news.Base = told.Index
	}
	news.Have = t.have[to]
	news.Next = t.index
	c := composer{t: t, to: to, hash: nodeHash(to, news.Have.Incarnation), base: news.Base, revision: revision}
	if n := t.nodes[to]; n != nil {
		c.peer = n.state
	}
	c.nodes()
	c.centres()
	c.vms()
	skipped := c.replicas()
	slices.SortFunc(c.changes, func(a, b change) int { return cmp.Compare(a.index, b.index) })
	if len(c.changes) > maxNews {
		c.changes = c.changes[:maxNews]
		news.Next = c.changes[maxNews-1].index
		news.More = true
	}
	if skipped > 0 {
		news.Next = min(news.Next, skipped-1)
	}
	for _, change := range c.changes {
		change.add(&news)
	}
	return news
}

// composer gathers the changes for one peer. Its methods are called with the
// table's mu held.
type composer struct {
	t        *Table
	to       string
	hash     uint64
	peer     wire.NodeState
	base     uint64
	revision uint64
	changes  []change
}

// fresh tells whether the peer lacks a change; it does not lack what it told
// itself.
func (c *composer) fresh(index, from uint64) bool { return index > c.base && from != c.hash }

func (c *composer) add(index uint64, add func(*wire.News)) {
	c.changes = append(c.changes, change{index, add})
}

func (c *composer) nodes() {
	for _, n := range c.t.nodes {
		switch {
		case n.state.ID == c.to && !n.doubt && !n.down:
		case c.fresh(n.index, n.from):
			c.add(n.index, func(news *wire.News) { news.Nodes = append(news.Nodes, n.news()) })
		case c.fresh(n.revisionIndex, n.revisionFrom):
			c.add(n.revisionIndex, func(news *wire.News) { news.Beats = append(news.Beats, n.beatNews(c.revision)) })
		case c.fresh(n.beatIndex, n.beatFrom) && (n.wide || c.t.near(n.state, c.peer)):
			c.add(n.beatIndex, func(news *wire.News) { news.Beats = append(news.Beats, n.beatNews(c.revision)) })
		}
	}
}

func (c *composer) centres() {
	for name, centre := range c.t.centres {
		if name != c.peer.DataCentre && c.fresh(centre.index, centre.from) {
			c.add(centre.index, func(news *wire.News) {
				news.Centres = append(news.Centres, wire.CentreBeat{DataCentre: name, Count: centre.count})
			})
		}
	}
}

func (c *composer) vms() {
	for _, v := range c.t.vms {
		if c.fresh(v.index, v.from) {
			c.add(v.index, func(news *wire.News) { news.VMs = append(news.VMs, v.news) })
		}
	}
}

// replicas adds the accounts of replicas: all that matters, and a bounded
// number of mere changes of load, the oldest first. It returns the place of
// the first one left out, or 0.
func (c *composer) replicas() uint64 {
	var loads []*replicaItem
	for id, r := range c.t.replicas {
		switch {
		case c.fresh(r.coarse, r.from):
			c.add(r.coarse, r.add)
		case c.peer.Region == c.t.region(id) && c.fresh(r.index, r.from):
			loads = append(loads, r)
		}
	}
	slices.SortFunc(loads, func(a, b *replicaItem) int { return cmp.Compare(a.index, b.index) })
	for _, r := range loads[:min(len(loads), maxLoadNews)] {
		c.add(r.index, r.add)
	}
	if len(loads) > maxLoadNews {
		return loads[maxLoadNews].index
	}
	return 0
}

func (r *replicaItem) add(news *wire.News) { news.Replicas = append(news.Replicas, r.news) }

// near tells whether a peer should hear a node's heartbeat: within the data
// centre. The caller holds mu.
func (t *Table) near(n, peer wire.NodeState) bool {
	own := t.nodes[t.id].state.DataCentre
	return n.DataCentre == own && peer.DataCentre == own
}

// beatNews leaves the revision out where it is the sender's own.
func (n *nodeItem) beatNews(revision uint64) wire.Beat {
	b := wire.Beat{Node: nodeHash(n.state.ID, n.state.Incarnation), Count: n.beat, Wide: n.wide}
	if n.state.Revision != revision {
		b.Revision = n.state.Revision
	}
	return b
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
