// Package membership implements the gossip membership of the fleet: it keeps, as soft
// state, which nodes, replicas and VMs exist and which node owns each replica, and
// lists the nodes that callers should use.
//
// Nodes send each other only changes. Each node keeps a log in which every entry has
// the position of its newest change, and stores up to which position each peer has
// received the log. Heartbeats of nodes travel within a data centre. Other data
// centres receive one heartbeat for the whole data centre, and each change.
package membership

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Intervals and timeouts of the gossip between nodes.
const (
	// HeartbeatInterval is how often a node raises its heartbeat and exchanges changes
	// with its gossip peers.
	HeartbeatInterval = time.Second
	// DoubtAfter is how long a node's heartbeat may be missing before other nodes of its
	// data centre publish a doubt. The node can refute it by any path that is left.
	DoubtAfter = 3 * time.Second
	// HeartbeatTimeout is how long a node's heartbeat may be missing before other nodes of its
	// data centre consider it unreachable.
	HeartbeatTimeout = 5 * time.Second
	// wideDuration is how long a doubted node's heartbeat is relayed beyond its data
	// centre.
	wideDuration = time.Minute
	// DataCentreTimeout is how long the heartbeat of a whole data centre may be missing before
	// nodes elsewhere consider it unreachable.
	DataCentreTimeout = 8 * time.Second
	// ForgetAfter is how long the state of a node that is not live is kept, so that it is
	// found again after a long partition.
	ForgetAfter = 2 * time.Hour
	// coarseInterval is how often other regions receive a replica's load.
	coarseInterval = time.Minute
	// loadInterval is how often, in a fleet of more than smallFleet nodes, changes of one
	// replica's load alone are published.
	loadInterval = 4 * time.Second
	// rebuildInterval bounds how often changes of load alone rebuild the snapshot,
	// urgentRebuildInterval how often other changes do.
	rebuildInterval       = 200 * time.Millisecond
	urgentRebuildInterval = 50 * time.Millisecond
)

// Sizes of the gossip between nodes.
const (
	// relaysPerDataCentre is how many nodes of a data centre exchange changes with other
	// data centres.
	relaysPerDataCentre = 3
	// maxChanges bounds the changes in one message, maxLoadChanges those of load alone.
	maxChanges     = 256
	maxLoadChanges = 4
	// smallFleet is the number of nodes up to which each change of load is published.
	smallFleet = 64
	// After a rebuild, rebuildCostFactor times its cost passes before the next, but no
	// more than maxRebuildInterval.
	rebuildCostFactor  = 100
	maxRebuildInterval = 300 * time.Millisecond
)

// Node is one node as another sees it.
type Node struct {
	// State is the newest state received.
	State wire.NodeState
	// IsLive is false once the heartbeat of the node or its data centre has timed out.
	IsLive bool
	// IsDown is true once nodes of the node's own data centre found it unreachable, or it
	// announced its shutdown. A node that is neither live nor down may be partitioned.
	IsDown bool
}

// Snapshot is an immutable view of all nodes and replicas.
type Snapshot struct {
	// Nodes are sorted by ID and include the local node.
	Nodes []Node
	// Replicas are sorted by ID.
	Replicas     []routing.Replica
	nodeIndex    map[string]int
	replicaIndex map[string]int
	assigned     map[string][]infra.VM
	relays       map[string]relay
}

// Node returns the node with the given ID.
func (s *Snapshot) Node(id string) (Node, bool) {
	i, ok := s.nodeIndex[id]
	if !ok {
		return Node{}, false
	}
	return s.Nodes[i], true
}

// Replica returns the replica with the given ID.
func (s *Snapshot) Replica(id string) (routing.Replica, bool) {
	i, ok := s.replicaIndex[id]
	if !ok {
		return routing.Replica{}, false
	}
	return s.Replicas[i], true
}

// Assigned returns the VMs of the replicas that a node should own.
func (s *Snapshot) Assigned(node string) []infra.VM { return s.assigned[node] }

// LiveCount returns the number of live nodes.
func (s *Snapshot) LiveCount() int {
	count := 0
	for _, node := range s.Nodes {
		if node.IsLive {
			count++
		}
	}
	return count
}

// IsRelay reports whether a node is a relay node, which exchanges changes with other
// data centres.
func (s *Snapshot) IsRelay(node string) bool {
	_, ok := s.relays[node]
	return ok
}

// StoreUsers returns the number of nodes that may be using the store: all
// except those that are down.
func (s *Snapshot) StoreUsers() int {
	count := 0
	for _, node := range s.Nodes {
		if !node.IsDown {
			count++
		}
	}
	return count
}
