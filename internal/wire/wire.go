// Package wire is the protocol between the nodes: typed messages over
// net/rpc on kept-open TCP connections, with a shared-secret handshake.
package wire

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
)

// ReplicaState is what a replica's owner publishes of it.
type ReplicaState struct {
	// ID is the replica's VM name, Address where it serves.
	ID      string
	Address string
	// Pool is its pool or plain service, DataCentre where it stands.
	Pool       string
	DataCentre string
	// Targets are the versions loaded.
	Targets []config.Target
	// Running counts granted streams, Limit how many may run.
	Running int
	Limit   int
	// Waits is the predicted queue wait by rank order.
	Waits []time.Duration
	// Healthy is false once traffic or probes failed, Leaving once the VM or
	// the backend server itself said so.
	Healthy bool
	Leaving bool
}

// NodeState is what a node publishes of itself.
type NodeState struct {
	// ID is the node's name; Incarnation rises with each start of a process.
	ID          string
	Incarnation uint64
	// Sequence rises with each change within one incarnation; heartbeats and
	// the revision are not among the changes.
	Sequence uint64
	// Address is for callers, Inner for nodes.
	Address string
	Inner   string
	// DataCentre and Region tell where the node stands.
	DataCentre string
	Region     string
	// Leaving tells that it takes no new callers.
	Leaving bool
	// Revision is the configuration revision in force there.
	Revision uint64
	// Replicas are those that the node owns.
	Replicas []ReplicaState
	// Suspects are fingerprints of requests seen at a crash.
	Suspects []Suspect
	// Holds are versions that should get no new sessions.
	Holds []VersionHold
}

// VersionHold asks all nodes to give a version no new sessions for a while.
type VersionHold struct {
	Target config.Target
	// Until is when the hold lapses.
	Until time.Time
}

// Suspect is the fingerprint of a request that ran where a replica died.
type Suspect struct {
	// Fingerprint identifies organisation and content.
	Fingerprint uint64
	// Generation rises when the request has run to its end; only crashes
	// since then count.
	Generation uint64
	// Lost lists the replicas that died with it alone or among others.
	Lost []Crash
	// Convicted means that the request is refused everywhere.
	Convicted bool
	// Until is when the record lapses.
	Until time.Time
}

// RevisionArgs asks for a revision at or above Number.
type RevisionArgs struct {
	Number uint64
	// Hash is that of the content which the asker holds.
	Hash string
}

// RevisionReply carries a whole revision, as JSON; empty if the peer has
// none that new.
type RevisionReply struct {
	Revision []byte
	// Config is the content's canonical JSON, compressed by gzip; empty if the
	// asker holds it already.
	Config []byte
}

// Crash is the death of a replica.
type Crash struct {
	Replica string
	At      time.Time
}

// AlarmArgs tells of requests that ran where a replica died.
type AlarmArgs struct {
	Suspects []Suspect
}

// AlarmReply is empty.
type AlarmReply struct{}

// InspectArgs asks a replica's owner whether the replica lives.
type InspectArgs struct {
	Replica string
}

// InspectReply is the answer.
type InspectReply struct {
	// Owned tells that the node owns the replica, Alive that it answered.
	Owned bool
	Alive bool
}

// AcquireArgs asks the owner of a replica for a place on it. The call
// returns when the place is granted or refused.
type AcquireArgs struct {
	// Grant identifies the request for a place; the asker makes it up.
	Grant string
	// Node is the asker's name, Incarnation its start number.
	Node        string
	Incarnation uint64
	// Replica is the replica's name.
	Replica string
	// Target is the version to run, zero for plain services.
	Target config.Target
	// Organisation and Caller are charged for the work. Used is what the
	// organisation used through the asker over the last minute, in tokens.
	Organisation string
	Caller       string
	Used         int
	// Rank is the rank's order.
	Rank int
	// Tokens is the most that may be generated, Prompt the length of the
	// input, both in tokens.
	Tokens int
	Prompt int
	// Wait is how long the asker can wait from now for the whole answer.
	Wait time.Duration
	// Resumed tells that the answer had a place before, so that its rest is not
	// refused.
	Resumed bool
	// Book asks to keep the come-back time of a refusal for this request.
	Book bool
	// Fingerprint identifies the request's organisation and content.
	Fingerprint uint64
	// Trace is the W3C trace context of the request, or empty.
	Trace string
}

// AcquireReply is the owner's answer.
type AcquireReply struct {
	// Granted tells that the place is the asker's until it releases it.
	Granted bool
	// Promoted tells that the work was treated as more urgent.
	Promoted bool
	// NotOwner tells that another node owns the replica now.
	NotOwner bool
	// RetryAfter is when a place is likely, if refused.
	RetryAfter time.Duration
	// Reason tells why it was refused.
	Reason string
	// Queued is how long the request waited at the owner.
	Queued time.Duration
}

// ReleaseArgs gives places back and reports what was learned.
type ReleaseArgs struct {
	Grant   string
	Replica string
	// Tokens is the true cost.
	Tokens int
	// Whole is true if the answer came to its end.
	Whole bool
	// FirstToken is the time from the grant to the first token.
	FirstToken time.Duration
	// TokenInterval is the mean time between tokens.
	TokenInterval time.Duration
	// Failed names a failure of the backend server, if any.
	Failed backend.Kind
}

// ReleaseReply is empty.
type ReleaseReply struct{}

// GrantsArgs asks a node which of these grants it still holds.
type GrantsArgs struct {
	Grants []string
}

// GrantsReply lists the grants that the node does not hold any more.
type GrantsReply struct {
	Ended []string
}

// HeldPlace is a place that a node holds on a replica.
type HeldPlace struct {
	// Request is what the place was granted for.
	Request AcquireArgs
	// Held is how long ago it was granted.
	Held time.Duration
}

// AdoptArgs tells the new owner of replicas which places a node holds there.
type AdoptArgs struct {
	Places []HeldPlace
}

// AdoptReply lists the grants on replicas that the node does not own.
type AdoptReply struct {
	NotOwner []string
}

// PreemptArgs tells the holder of a grant to pause its stream.
type PreemptArgs struct {
	Grant string
}

// PreemptReply is empty.
type PreemptReply struct{}

// Bill is what one served request costs.
type Bill struct {
	// Request is the request's identity; a bill is stored once under it.
	Request      string        `json:"request"`
	Organisation string        `json:"organisation"`
	Target       config.Target `json:"target"`
	Service      string        `json:"service,omitempty"`
	// PromptTokens and Tokens count input and output.
	PromptTokens int `json:"prompt_tokens"`
	Tokens       int `json:"tokens"`
	// CostMicros is the price in micro-units of the operator's currency.
	CostMicros int64     `json:"cost_micros"`
	At         time.Time `json:"at"`
}

// Process names one start of a node's process.
type Process struct {
	Node        string
	Incarnation uint64
}

// HoldBillsArgs hands copies of unstored bills to a second node, or tells it
// that bills are stored and their copies may go.
type HoldBillsArgs struct {
	// From is the process whose bills these are.
	From Process
	// Bills are numbered by From, the first of them First, without gaps.
	First uint64
	Bills []Bill
	// StoredBelow tells that all bills with lower numbers are stored.
	StoredBelow uint64
}

// HoldBillsReply names the process that keeps the copies.
type HoldBillsReply struct {
	Holder Process
}

// ClaimArgs asks the node that made a claim how far its call has come.
type ClaimArgs struct {
	// Claim is the key of the claim's row, Token the claim's own.
	Claim string
	Token string
	// Process is the process that made the claim; another one knows nothing.
	Process string
}

// ClaimReply is the answer; it is empty if the node does not know.
type ClaimReply struct {
	// NeverSent tells that the call was not sent and will not be, or that its
	// row has changed in the meantime.
	NeverSent bool
	// Running is true while the call is under way.
	Running bool
	// Outcome is the stored answer as JSON, if the node has it.
	Outcome []byte
}

// PinArgs proposes a session's version.
type PinArgs struct {
	// Pin is the key of the pin's row, Session the caller's session.
	Pin     string
	Session string
	// Old is the version to replace, zero for a new session.
	Old    config.Target
	Target config.Target
	// Fallback replaces Target while the table does not answer: it follows
	// from the configuration alone, so that all nodes propose the same.
	Fallback config.Target
	// Copy tells that the table does not answer: the pin is to be remembered
	// and stored later.
	Copy bool
	// Ahead tells that the sender, the session's home, stores the pin soon:
	// it is to be remembered, and stored if the home does not.
	Ahead bool
	// From is the sender of a pin with Ahead.
	From Process
	// Stored tells that the table has the pin: it is to be remembered only.
	Stored bool
}

// PinsArgs hands over what a leaving node remembers of sessions.
type PinsArgs struct {
	Pins []PinArgs
}

// PinsReply is empty.
type PinsReply struct{}

// PinReply holds the version that the session has.
type PinReply struct {
	Target config.Target
}

// Step is one line of a request's record.
type Step struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	Text string    `json:"text"`
}

// ExplainArgs asks for the record of a request.
type ExplainArgs struct {
	Request string
}

// ExplainReply is the record; empty if the node has none.
type ExplainReply struct {
	Steps []Step
}

// Handler is what a node answers to its peers.
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
