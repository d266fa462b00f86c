package membership

import (
	"cmp"
	"slices"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

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
	c := composer{t: t, to: to, incarnation: news.Have.Incarnation, hash: nodeHash(to, news.Have.Incarnation), base: news.Base, revision: revision}
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
	t    *Table
	to   string
	hash uint64
	// incarnation is the one in which the peer speaks, 0 if it has not.
	incarnation uint64
	peer        wire.NodeState
	base        uint64
	revision    uint64
	changes     []change
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
		case n.state.ID == c.to && c.incarnation != 0 && n.state.Incarnation > c.incarnation:
			c.add(n.index, func(news *wire.News) { news.Nodes = append(news.Nodes, n.news()) })
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
