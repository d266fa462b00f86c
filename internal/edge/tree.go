package edge

import (
	"math"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// In a large data centre the nodes receive updates through relay nodes, so that the number
// of nodes to which one node sends grows with the square root of the data centre's nodes.

const (
	// maxStarNodes is how many nodes of a data centre its hub serves itself.
	maxStarNodes = 40
	// minTreeNodes is the number of nodes below which relay nodes in use are given up. It is
	// less than maxStarNodes, so that one restarting node does not change all connections.
	minTreeNodes = 36
	// relaysPerRoot is the number of relay nodes over the square root of the number of
	// nodes. The hub has a larger link than the relay nodes, so it serves more nodes than
	// they do.
	relaysPerRoot = 1.2
	// maxSilence is how long a node asks a relay node without a heartbeat of any hub before
	// it asks the hub itself: the relay node may have lost its own connection, or receive
	// from this node. Hubs send heartbeats every 200 ms, and those of this node must arrive
	// again before heartbeatTimeout.
	maxSilence = 750 * time.Millisecond
	// silenceSpread is by how much longer some nodes wait.
	silenceSpread = 150 * time.Millisecond
	// silentBackoff is how long a node does not ask a relay node again that was silent.
	silentBackoff = 10 * time.Second
	// nextHubs is how many of the nodes that become the hub next receive from the hub itself.
	nextHubs = 2
)

// tree is the way in which updates of a data centre are passed on.
type tree struct {
	hub    string
	relays []string // none in a small data centre
	// fanout is the number of nodes to which the hub sends.
	fanout int
}

// newTree returns the tree of a data centre with a hub. usesRelays is set if the tree before
// had relay nodes. All nodes that see the same members derive the same tree, except that of
// minTreeNodes to maxStarNodes nodes some may use relay nodes and others the hub.
func newTree(nodes []nodeState, hub string, usesRelays bool) tree {
	if len(nodes) < minTreeNodes || len(nodes) <= maxStarNodes && !usesRelays {
		return tree{hub: hub, fanout: max(len(nodes)-1, 0)}
	}
	candidates := hubCandidates(nodes)
	candidates = slices.DeleteFunc(routing.Rendezvous(candidates, hubKey), func(a string) bool { return a == hub })
	t := tree{hub: hub}
	count := int(math.Ceil(relaysPerRoot * math.Sqrt(float64(len(nodes)))))
	if len(candidates) >= count || len(nodes)-1-len(candidates) <= count {
		// Any of the nodes can be the hub.
		candidates = candidates[:min(nextHubs, len(candidates))]
	}
	var others []string
	for _, s := range nodes {
		if s.Inner != hub && !slices.Contains(candidates, s.Inner) {
			others = append(others, s.Inner)
		}
	}
	t.relays = append(routing.Rendezvous(others, "relay")[:min(count, len(others))], candidates...)
	t.fanout = len(t.relays)
	return t
}

// upstream returns the node from which another one receives updates: the hub for relay
// nodes and for those that may become the hub, which must notice its loss at once.
func (t tree) upstream(inner string) string {
	if len(t.relays) == 0 || slices.Contains(t.relays, inner) {
		return t.hub
	}
	return routing.HighestScoring(t.relays, inner)
}

// topologyTTL is how long a topology is used while the members stay the same: nodes that
// were unreachable count again after a while.
const topologyTTL = 50 * time.Millisecond

// topology holds the hub of each data centre and the tree of this node's data centre.
type topology struct {
	madeAt time.Time
	hubs   map[string]string
	tree   tree
}

// topologyLocked returns the topology of the live nodes. The caller holds mu.
func (m *members) topologyLocked(now time.Time) *topology {
	live := m.liveLocked() // drops the topology if the members have changed
	if t := m.topology; t != nil && now.Sub(t.madeAt).Abs() < topologyTTL {
		return t
	}
	t := &topology{madeAt: now, hubs: map[string]string{}}
	nodes := map[string][]nodeState{}
	for _, s := range live {
		if !s.Stopping && now.Sub(m.unreachable[s.Inner]) > unreachableBackoff {
			nodes[s.DataCentre] = append(nodes[s.DataCentre], s)
		}
	}
	for dc, list := range nodes {
		t.hubs[dc] = selectHub(list)
	}
	if list := nodes[m.self.DataCentre]; len(list) > 0 {
		t.tree = newTree(list, t.hubs[m.self.DataCentre], m.usesRelays)
	}
	m.usesRelays = len(t.tree.relays) > 0
	m.topology = t
	return t
}

// tree returns the tree of this node's data centre.
func (m *members) tree(now time.Time) tree {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topologyLocked(now).tree
}

// snapshot returns the topology, and the address of the node of this data centre from which
// this node receives updates.
func (m *members) snapshot(now time.Time) (*topology, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.topologyLocked(now)
	return t, m.upstreamLocked(t.tree, now)
}

// upstreamLocked returns the address from which this node receives updates: that of the hub
// while no relay node passes on heartbeats. A relay node that was silent is not asked again
// for a while. The caller holds mu.
func (m *members) upstreamLocked(t tree, now time.Time) string {
	t.relays = slices.DeleteFunc(slices.Clone(t.relays), func(a string) bool {
		return a != m.self.Inner && now.Sub(m.silentSince[a]) <= silentBackoff
	})
	up := t.upstream(m.self.Inner)
	if up == t.hub || !m.isSilent(now) {
		m.lastUpstream = up
		return up
	}
	if up == m.lastUpstream {
		m.silentSince[up] = now
	}
	m.lastUpstream = t.hub
	return t.hub
}

// isSilent reports whether no heartbeat of a hub has arrived for a while. Nodes differ in
// it, so that not all of them turn to a hub at once that was slow. The caller holds mu.
func (m *members) isSilent(now time.Time) bool {
	spread := time.Duration(routing.Score(m.self.Inner, "silence") % uint64(silenceSpread))
	return now.Sub(m.lastHubHeartbeat) > maxSilence+spread
}
