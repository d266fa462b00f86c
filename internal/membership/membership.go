// Package membership keeps, as soft state, which nodes, replicas and VMs are
// there and who owns which replica, and answers callers which nodes to use.
//
// Nodes tell each other only what changed: each keeps a log in which every
// item holds the place of its newest change, and remembers how far each peer
// has read. Heartbeats travel within a data centre; other data centres hear
// one heartbeat for the whole of it, and of each change.
package membership

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Times of the exchange between nodes.
const (
	// HeartbeatInterval is how often a node raises its heartbeat and
	// exchanges news with its neighbours.
	HeartbeatInterval = time.Second
	// DoubtAfter is how long a node may stay silent before the others of its
	// data centre say so; the node can answer by any way that is left.
	DoubtAfter = 3 * time.Second
	// SuspectAfter is how long a node may stay silent before the others of
	// its data centre take it for dead.
	SuspectAfter = 5 * time.Second
	// wideTime is how long a doubted node's heartbeat is passed on beyond its
	// data centre.
	wideTime = time.Minute
	// SilentAfter is how long a whole data centre may stay silent before the
	// nodes elsewhere take it for unreachable.
	SilentAfter = 8 * time.Second
	// ForgetAfter is how long the state of a node that is not live is kept,
	// so that it is found again after a long cut.
	ForgetAfter = 2 * time.Hour
	// coarseInterval is how often other regions hear of a replica's load.
	coarseInterval = time.Minute
	// loadInterval is how often, in a fleet of more than smallFleet nodes,
	// peers hear of mere changes of one replica's load.
	loadInterval = 4 * time.Second
	// rebuildInterval bounds how often mere changes of load make a new view,
	// rebuildUrgent how often other changes do.
	rebuildInterval = 200 * time.Millisecond
	rebuildUrgent   = 50 * time.Millisecond
)

// Sizes of the exchange between nodes.
const (
	// bridgesPerDataCentre is how many nodes of a data centre exchange news
	// with other data centres.
	bridgesPerDataCentre = 3
	// maxNews bounds the changes in one message, maxLoadNews the mere changes
	// of load.
	maxNews     = 256
	maxLoadNews = 4
	// smallFleet is the number of nodes up to which each change of load is told.
	smallFleet = 64
	// rebuildShare times the cost of the last view passes before the next,
	// but no more than rebuildMost.
	rebuildShare = 100
	rebuildMost  = 300 * time.Millisecond
)

// Node is one node as another sees it.
type Node struct {
	// State is the newest that is known.
	State wire.NodeState
	// Live is false once the node or its data centre has been silent for too
	// long.
	Live bool
	// Dead is true once nodes of its own data centre found it dead, or it
	// said that it stops; a node that is neither live nor dead may be cut off.
	Dead bool
}

// Snapshot is an immutable view of all nodes and replicas.
type Snapshot struct {
	// Nodes are sorted by ID; the own node is among them.
	Nodes []Node
	// Replicas are sorted by ID.
	Replicas []routing.Replica
	byID     map[string]int
	replicas map[string]int
	assigned map[string][]infra.VM
	bridges  map[string]bridge
}

// Node returns the node with the given ID.
func (s *Snapshot) Node(id string) (Node, bool) {
	i, ok := s.byID[id]
	if !ok {
		return Node{}, false
	}
	return s.Nodes[i], true
}

// Replica returns the replica with the given ID.
func (s *Snapshot) Replica(id string) (routing.Replica, bool) {
	i, ok := s.replicas[id]
	if !ok {
		return routing.Replica{}, false
	}
	return s.Replicas[i], true
}

// Assigned returns the VMs of the replicas that a node should own.
func (s *Snapshot) Assigned(node string) []infra.VM { return s.assigned[node] }

// Live returns the number of live nodes.
func (s *Snapshot) Live() int {
	n := 0
	for _, node := range s.Nodes {
		if node.Live {
			n++
		}
	}
	return n
}

// Bridge tells whether a node exchanges news with other data centres.
func (s *Snapshot) Bridge(node string) bool {
	_, ok := s.bridges[node]
	return ok
}

// Sharers returns the number of nodes that may be using the store: all but
// the dead.
func (s *Snapshot) Sharers() int {
	n := 0
	for _, node := range s.Nodes {
		if !node.Dead {
			n++
		}
	}
	return n
}
