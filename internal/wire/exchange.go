package wire

import "github.com/cowslipfall/cowslipfall/internal/infra"

// Position is a position in a node's log of changes.
type Position struct {
	// Incarnation is that of the process that keeps the log.
	Incarnation uint64
	// Index is the number of changes up to the position.
	Index uint64
}

// Beat is the heartbeat of a node.
type Beat struct {
	// Node is the hash of the node's name and incarnation; see package
	// membership.
	Node uint64
	// Count increases with each heartbeat of one incarnation.
	Count uint32
	// Revision is the configuration revision in force at the node; 0 means the
	// revision of the message's sender.
	Revision uint64
	// Wide asks receivers to forward the heartbeat beyond the data centre,
	// since some of its nodes do not receive it directly.
	Wide bool
}

// CentreBeat is the heartbeat of a data centre.
type CentreBeat struct {
	DataCentre string
	// Count increases while any node of the data centre that reaches others is
	// live.
	Count uint32
}

// NodeNews is a gossip update on the state of a node.
type NodeNews struct {
	State NodeState
	// Beat is the count of the newest heartbeat received.
	Beat uint32
	// Doubt means that a node of its data centre receives no heartbeat after
	// Beat. Down means that the heartbeat timed out, or that the node announced
	// its shutdown.
	Doubt bool
	Down  bool
}

// ReplicaNews is a gossip update of an owner on the state of a replica. Fields
// that the list of VMs provides are left out.
type ReplicaNews struct {
	// Owner is the node that keeps the replica's queue.
	Owner string
	// Version increases with each update, also across owners.
	Version uint64
	State   ReplicaState
}

// VMNews is a gossip update on an entry of the platform's list of VMs.
type VMNews struct {
	VM infra.VM
	// Version increases with each change that a node sees in the list.
	Version uint64
	// Gone means that the list no longer has the entry.
	Gone bool
}

// News is the gossip message that one side of an exchange sends: all changes of
// its log after Base, up to and including Next.
type News struct {
	// From is the sender's name, Incarnation that of its process.
	From        string
	Incarnation uint64
	// Base and Next bound the changes in the message, as indexes of the
	// sender's log.
	Base uint64
	Next uint64
	// More means that there are changes after Next.
	More bool
	// Have is the position up to which the sender has received the receiver's
	// log.
	Have Position
	// Revision is the configuration revision in force at the sender.
	Revision uint64

	Beats    []Beat
	Centres  []CentreBeat
	Nodes    []NodeNews
	Replicas []ReplicaNews
	VMs      []VMNews
}

// ExchangeArgs carries a node's updates to a peer, ExchangeReply the peer's
// updates back.
type (
	ExchangeArgs  = News
	ExchangeReply = News
)
