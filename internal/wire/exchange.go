package wire

import "github.com/cowslipfall/cowslipfall/internal/infra"

// Position is a place in a node's log of changes.
type Position struct {
	// Incarnation is the start number of the process that keeps the log.
	Incarnation uint64
	// Index counts its changes.
	Index uint64
}

// Beat is a node's heartbeat.
type Beat struct {
	// Node is the hash of the node's name and incarnation; see membership.
	Node uint64
	// Count rises with each heartbeat of one incarnation.
	Count uint32
	// Revision is the configuration revision in force there; 0 means that of
	// the message's sender.
	Revision uint64
	// Wide tells to pass the heartbeat on beyond the data centre, since some
	// of its nodes do not hear the node themselves.
	Wide bool
}

// CentreBeat is the heartbeat of a whole data centre.
type CentreBeat struct {
	DataCentre string
	// Count rises while any of its nodes that reach others is live.
	Count uint32
}

// NodeNews is a node's state as one peer tells it to another.
type NodeNews struct {
	State NodeState
	// Beat is the newest heartbeat known.
	Beat uint32
	// Doubt tells that a node of its data centre hears no heartbeat after
	// Beat; Down that this lasted, or that the node said that it stops.
	Doubt bool
	Down  bool
}

// ReplicaNews is an owner's account of a replica. What the list of VMs tells
// is left out.
type ReplicaNews struct {
	// Owner is the node that queues for the replica.
	Owner string
	// Version rises with each account, also of another owner.
	Version uint64
	State   ReplicaState
}

// VMNews is an entry of the platform's list of VMs.
type VMNews struct {
	VM infra.VM
	// Version rises with each change that a node sees in the list.
	Version uint64
	// Gone tells that the list no longer has the entry.
	Gone bool
}

// News is what one side of an exchange tells the other: all changes of its
// log after Base, up to Next.
type News struct {
	// From is the sender's name, Incarnation its start number.
	From        string
	Incarnation uint64
	// Base and Next bound the changes told, in the sender's log.
	Base uint64
	Next uint64
	// More tells that there are changes after Next.
	More bool
	// Have is what the sender holds of the receiver's log.
	Have Position
	// Revision is the configuration revision in force at the sender.
	Revision uint64

	Beats    []Beat
	Centres  []CentreBeat
	Nodes    []NodeNews
	Replicas []ReplicaNews
	VMs      []VMNews
}

// ExchangeArgs carries a node's news to a peer, ExchangeReply the peer's news
// back.
type (
	ExchangeArgs  = News
	ExchangeReply = News
)
