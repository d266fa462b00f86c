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
	// relaysPerRoot is the number of relay nodes over the square root of the number of
	// nodes. The hub has a larger link than the relay nodes, so it serves more nodes than
	// they do.
	relaysPerRoot = 1.2
	// maxSilence is how long a node asks a relay node without a heartbeat of any hub before
	// it asks the hub itself: the relay node may have lost its own connection, or receive
	// from this node. Hubs send heartbeats every 200 ms.
	maxSilence = 1200 * time.Millisecond
)

// tree is the way in which updates of a data centre are passed on.
type tree struct {
	hub    string
	relays []string // none in a small data centre
	// fanout is the number of nodes to which the hub sends.
	fanout int
}

// newTree returns the tree of a data centre with a hub. All nodes that see the same
// members derive the same tree.
func newTree(nodes []nodeState, hub string) tree {
	if len(nodes) <= maxStarNodes {
		return tree{hub: hub, fanout: max(len(nodes)-1, 0)}
	}
	candidates := hubCandidates(nodes)
	t := tree{hub: hub}
	var others []string
	for _, s := range nodes {
		if s.Inner != hub && !slices.Contains(candidates, s.Inner) {
			others = append(others, s.Inner)
		}
	}
	count := int(math.Ceil(relaysPerRoot * math.Sqrt(float64(len(nodes)))))
	if len(candidates) > count || len(others) <= count {
		// Any of the nodes can be the hub.
		others = others[:0]
		for _, s := range nodes {
			if s.Inner != hub {
				others = append(others, s.Inner)
			}
		}
		candidates = nil
	}
	t.relays = routing.Rendezvous(others, "relay")[:min(count, len(others))]
	t.relays = append(t.relays, slices.DeleteFunc(candidates, func(a string) bool { return a == hub })...)
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

// tree returns the tree of this node's data centre, and its hub or "" if there is none.
func (m *members) tree(now time.Time) tree {
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes := m.reachableLocked(now)[m.self.DataCentre]
	if len(nodes) == 0 {
		return tree{}
	}
	return newTree(nodes, selectHub(nodes))
}

// isSilent reports whether no heartbeat of a hub has arrived for a while.
func (m *members) isSilent(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.lastHubHeartbeat) > maxSilence
}
