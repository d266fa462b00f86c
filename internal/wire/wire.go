// Package wire implements the RPC protocol between nodes: typed messages over
// net/rpc on persistent TCP connections, with a shared-secret handshake.
//
// Types, fields and methods are encoded under their Go names and therefore keep
// them.
package wire

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
)

// ReplicaState is the state of a replica that its owner publishes.
type ReplicaState struct {
	// ID is the name of the replica's VM, Address its network address.
	ID      string
	Address string
	// Pool is its pool or plain service, DataCentre its data centre.
	Pool       string
	DataCentre string
	// Targets are the loaded versions.
	Targets []config.Target
	// Running is the number of granted streams, Limit the most that may run.
	Running int
	Limit   int
	// Waits holds the predicted queue wait for each rank, by its order.
	Waits []time.Duration
	// Healthy is false after failed requests or probes. Leaving means that the
	// replica is draining, as announced by the VM or the backend server.
	Healthy bool
	Leaving bool
}

// NodeState is the state of a node that it publishes itself.
type NodeState struct {
	// ID is the node's name; Incarnation increases with each start of its
	// process.
	ID          string
	Incarnation uint64
	// Sequence increases with each change within one incarnation. Heartbeats
	// and the revision do not count as changes.
	Sequence uint64
	// Address is the address for callers, Inner the one for other nodes.
	Address string
	Inner   string
	// DataCentre and Region are the node's location.
	DataCentre string
	Region     string
	// Leaving means that the node is shutting down and accepts no new callers.
	Leaving bool
	// Revision is the configuration revision in force at the node.
	Revision uint64
	// Replicas are the replicas that the node owns.
	Replicas []ReplicaState
	// Suspects are requests that ran on a replica when it crashed.
	Suspects []Suspect
	// Holds are versions that must get no new sessions for a time.
	Holds []VersionHold
}

// VersionHold asks all nodes to give a version no new sessions until a time.
type VersionHold struct {
	Target config.Target
	// Until is when the hold expires.
	Until time.Time
}

// Suspect is the record of a request that ran on a replica when it crashed.
type Suspect struct {
	// Fingerprint identifies the request's organisation and content.
	Fingerprint uint64
	// Generation increases when the request runs to its end; only crashes since
	// then count.
	Generation uint64
	// Lost lists the crashes of replicas that ran the request, alone or together
	// with other requests.
	Lost []Crash
	// Convicted means that the request is quarantined: all nodes refuse it.
	Convicted bool
	// Part is the ID of the prompt part that the record is about; empty if it is
	// about a whole request.
	Part string
	// Lifts counts how often an operator lifted the quarantine. A record with
	// more lifts replaces all others.
	Lifts uint64
	// Until is when the record expires.
	Until time.Time
}

// RevisionArgs asks for a revision at or above Number.
type RevisionArgs struct {
	Number uint64
	// Hash is the hash of the content that the requester has.
	Hash string
}

// RevisionReply carries a complete revision. It is empty if the peer has none at
// or above the requested number.
type RevisionReply struct {
	// Revision is the revision without its content, as JSON.
	Revision []byte
	// Config is the content's canonical JSON, compressed with gzip; empty if
	// the requester has it already.
	Config []byte
}

// Crash is one crash of a replica.
type Crash struct {
	Replica string
	At      time.Time
	// Request is the fingerprint of the request that was starting with a prompt part,
	// Parts identifies the set of its parts. Both are 0 in records of whole requests.
	Request uint64
	Parts   uint64
	// Running is how long the replica had run the request, 0 if that is not known.
	Running time.Duration
}

// AlarmArgs reports requests that ran on a replica when it crashed.
type AlarmArgs struct {
	Suspects []Suspect
}

// AlarmReply is empty.
type AlarmReply struct{}

// InspectArgs asks a replica's owner whether the replica is live.
type InspectArgs struct {
	Replica string
}

// InspectReply is the owner's answer.
type InspectReply struct {
	// Owned means that the node owns the replica, Alive that the replica
	// answered a probe.
	Owned bool
	Alive bool
}

// AcquireArgs asks the owner of a replica for a slot on it. The call returns when
// the slot is granted or refused.
type AcquireArgs struct {
	// Grant identifies the request for a slot; the requester generates it.
	Grant string
	// Node is the requester's name, Incarnation that of its process.
	Node        string
	Incarnation uint64
	// Replica is the replica's name.
	Replica string
	// Target is the version to run; zero for plain services.
	Target config.Target
	// Organisation and Caller are charged for the work. Used is the number of
	// tokens that the organisation used through the requester in the last
	// minute.
	Organisation string
	Caller       string
	Used         int
	// Rank is the rank's order.
	Rank int
	// Tokens is the maximum length of the output, Prompt the length of the
	// input, both in tokens.
	Tokens int
	Prompt int
	// Wait is how long from now the requester can wait for the complete answer.
	Wait time.Duration
	// Resumed means that the answer had a slot before. The owner does not
	// refuse the rest of a started answer.
	Resumed bool
	// Book asks the owner to reserve a refusal's retry-after time for this
	// request.
	Book bool
	// Fingerprint identifies the request's organisation and content.
	Fingerprint uint64
	// Trace is the W3C trace context of the request, or empty.
	Trace string
}

// AcquireReply is the owner's answer.
type AcquireReply struct {
	// Granted means that the requester has the slot until it releases it.
	Granted bool
	// Promoted means that the work was treated as more urgent than its rank.
	Promoted bool
	// NotOwner means that another node owns the replica now.
	NotOwner bool
	// RetryAfter is the time until a slot is likely, for a refusal.
	RetryAfter time.Duration
	// Reason is why the request was refused.
	Reason string
	// Queued is how long the request waited in the owner's queue.
	Queued time.Duration
}

// ReleaseArgs releases a slot and reports how its work went.
type ReleaseArgs struct {
	Grant   string
	Replica string
	// Tokens is the actual cost, in tokens.
	Tokens int
	// Whole is true if the answer completed.
	Whole bool
	// FirstToken is the time from the grant to the first token.
	FirstToken time.Duration
	// TokenInterval is the mean time between tokens.
	TokenInterval time.Duration
	// Failed is the kind of a failure of the backend server; empty for none.
	Failed backend.Kind
}

// ReleaseReply is empty.
type ReleaseReply struct{}

// GrantsArgs asks a node which of these grants it no longer holds.
type GrantsArgs struct {
	Grants []string
}

// GrantsReply lists the grants that the node no longer holds.
type GrantsReply struct {
	Ended []string
}

// HeldPlace is a slot that a node holds on a replica.
type HeldPlace struct {
	// Request is the request that the slot was granted to.
	Request AcquireArgs
	// Held is the time since the grant.
	Held time.Duration
}

// AdoptArgs reports to the new owner of replicas which slots a node holds on
// them.
type AdoptArgs struct {
	Places []HeldPlace
}

// AdoptReply lists the grants on replicas that the node does not own.
type AdoptReply struct {
	NotOwner []string
}

// PreemptArgs asks the holder of a grant to pause its stream.
type PreemptArgs struct {
	Grant string
}

// PreemptReply is empty.
type PreemptReply struct{}

// Bill is the cost of one served request.
type Bill struct {
	// Request is the request's ID; at most one bill is stored under it.
	Request      string        `json:"request"`
	Organisation string        `json:"organisation"`
	Target       config.Target `json:"target"`
	Service      string        `json:"service,omitempty"`
	// PromptTokens and Tokens are the lengths of input and output.
	PromptTokens int `json:"prompt_tokens"`
	Tokens       int `json:"tokens"`
	// CostMicros is the price in micro-units of the operator's currency.
	CostMicros int64     `json:"cost_micros"`
	At         time.Time `json:"at"`
}

// Process identifies a node's process by its node and incarnation.
type Process struct {
	Node        string
	Incarnation uint64
}

// HoldBillsArgs sends backups of unstored bills to a second node, or reports that
// bills are stored and their backups may be dropped.
type HoldBillsArgs struct {
	// From is the process that made the bills.
	From Process
	// First is the number of the first bill. From numbers its bills without
	// gaps.
	First uint64
	Bills []Bill
	// StoredBelow means that all bills with lower numbers are stored.
	StoredBelow uint64
}

// HoldBillsReply identifies the process that keeps the backups.
type HoldBillsReply struct {
	Holder Process
}

// ClaimArgs asks the node that made a claim about the state of the claimed call.
type ClaimArgs struct {
	// Claim is the key of the claim's row, Token the claim's token.
	Claim string
	Token string
	// Process is the process that made the claim. Any other process of the node
	// gives an empty reply.
	Process string
}

// ClaimReply is the state of a claimed call; empty if the node has no record of
// it.
type ClaimReply struct {
	// NeverSent means that the call was not sent and will not be, or that its
	// row has changed in the meantime.
	NeverSent bool
	// Running is true while the call is in progress.
	Running bool
	// Outcome is the stored answer as JSON, if the node has it.
	Outcome []byte
}

// PinArgs proposes a session's version.
type PinArgs struct {
	// Pin is the key of the pin's row, Session the caller's session.
	Pin     string
	Session string
	// Old is the version to replace; zero for a new session.
	Old    config.Target
	Target config.Target
	// Fallback replaces Target while the table does not answer. It depends on
	// the configuration only, so that all nodes propose the same.
	Fallback config.Target
	// Copy means that the table does not answer: the receiver caches the pin
	// and stores it later.
	Copy bool
	// Ahead means that the sender, the session's home, is about to store the
	// pin. The receiver caches it, and stores it if the home does not.
	Ahead bool
	// From is the process that sent a pin with Ahead.
	From Process
	// Stored means that the table has the pin: the receiver only caches it.
	Stored bool
}

// PinsArgs hands over the cached pins of a node that shuts down.
type PinsArgs struct {
	Pins []PinArgs
}

// PinsReply is empty.
type PinsReply struct{}

// PinReply is the version that the session is pinned to.
type PinReply struct {
	Target config.Target
}

// Step is one entry of a request's record.
type Step struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	Text string    `json:"text"`
}

// ExplainArgs asks for the record of a request.
type ExplainArgs struct {
	Request string
}

// ExplainReply is the record of a request; empty if the node has none.
type ExplainReply struct {
	Steps []Step
}

// Handler handles the calls of a node's peers.
type Handler interface {
	Exchange(args ExchangeArgs, reply *ExchangeReply) error
	Revision(args RevisionArgs, reply *RevisionReply) error
	Acquire(args AcquireArgs, reply *AcquireReply) error
	Release(args ReleaseArgs, reply *ReleaseReply) error
	Preempt(args PreemptArgs, reply *PreemptReply) error
	Grants(args GrantsArgs, reply *GrantsReply) error
	Adopt(args AdoptArgs, reply *AdoptReply) error
	HoldBills(args HoldBillsArgs, reply *HoldBillsReply) error
	Claim(args ClaimArgs, reply *ClaimReply) error
	Alarm(args AlarmArgs, reply *AlarmReply) error
	Inspect(args InspectArgs, reply *InspectReply) error
	Pin(args PinArgs, reply *PinReply) error
	Pins(args PinsArgs, reply *PinsReply) error
	Explain(args ExplainArgs, reply *ExplainReply) error
	Gather(args EvidenceArgs, reply *EvidenceReply) error
	Evidence(args EvidenceArgs, reply *EvidenceReply) error
}
