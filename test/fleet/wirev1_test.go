package fleet

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
)

// The messages of version 1 of the inner protocol. They must not change: the tests
// compare the current messages with them.

type V1ReplicaState struct {
	ID         string
	Address    string
	Pool       string
	DataCentre string
	Targets    []config.Target
	Running    int
	Limit      int
	Waits      []time.Duration
	Healthy    bool
	Leaving    bool
}
type V1NodeState struct {
	ID          string
	Incarnation uint64
	Sequence    uint64
	Address     string
	Inner       string
	DataCentre  string
	Region      string
	Leaving     bool
	Revision    uint64
	Replicas    []V1ReplicaState
	Suspects    []V1Suspect
	Holds       []V1VersionHold
}
type V1VersionHold struct {
	Target config.Target
	Until  time.Time
}
type V1Suspect struct {
	Fingerprint uint64
	Generation  uint64
	Lost        []V1Crash
	Convicted   bool
	Until       time.Time
}
type V1RevisionArgs struct {
	Number uint64
	Hash   string
}
type V1RevisionReply struct {
	Revision []byte
	Config   []byte
}
type V1Crash struct {
	Replica string
	At      time.Time
}
type V1AlarmArgs struct {
	Suspects []V1Suspect
}
type V1AlarmReply struct{}
type V1InspectArgs struct {
	Replica string
}
type V1InspectReply struct {
	Owned bool
	Alive bool
}
type V1AcquireArgs struct {
	Grant        string
	Node         string
	Incarnation  uint64
	Replica      string
	Target       config.Target
	Organisation string
	Caller       string
	Rank         int
	Tokens       int
	Prompt       int
	Wait         time.Duration
	Resumed      bool
	Book         bool
	Fingerprint  uint64
	Trace        string
}
type V1AcquireReply struct {
	Granted    bool
	NotOwner   bool
	RetryAfter time.Duration
	Reason     string
	Queued     time.Duration
}
type V1ReleaseArgs struct {
	Grant         string
	Replica       string
	Tokens        int
	Whole         bool
	FirstToken    time.Duration
	TokenInterval time.Duration
	Failed        backend.Kind
}
type V1ReleaseReply struct{}
type V1GrantsArgs struct {
	Grants []string
}
type V1GrantsReply struct {
	Ended []string
}
type V1PreemptArgs struct {
	Grant string
}
type V1PreemptReply struct{}
type V1Bill struct {
	Request      string        `json:"request"`
	Organisation string        `json:"organisation"`
	Target       config.Target `json:"target"`
	Service      string        `json:"service,omitempty"`
	PromptTokens int           `json:"prompt_tokens"`
	Tokens       int           `json:"tokens"`
	CostMicros   int64         `json:"cost_micros"`
	At           time.Time     `json:"at"`
}
type V1Process struct {
	Node        string
	Incarnation uint64
}
type V1HoldBillsArgs struct {
	From        V1Process
	First       uint64
	Bills       []V1Bill
	StoredBelow uint64
}
type V1HoldBillsReply struct {
	Holder V1Process
}
type V1ClaimArgs struct {
	Claim   string
	Token   string
	Process string
}
type V1ClaimReply struct {
	NeverSent bool
	Running   bool
	Outcome   []byte
}
type V1PinArgs struct {
	Pin      string
	Session  string
	Old      config.Target
	Target   config.Target
	Fallback config.Target
	Copy     bool
	Stored   bool
}
type V1PinsArgs struct {
	Pins []V1PinArgs
}
type V1PinsReply struct{}
type V1PinReply struct {
	Target config.Target
}
type V1Step struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	Text string    `json:"text"`
}
type V1ExplainArgs struct {
	Request string
}
type V1ExplainReply struct {
	Steps []V1Step
}
type V1VersionEvidence struct {
	Target   config.Target
	Evidence rollout.Evidence
}
type V1EvidenceArgs struct {
	Node        string
	Incarnation uint64
	Evidence    []V1VersionEvidence
}
type V1EvidenceReply struct{}
type V1Position struct {
	Incarnation uint64
	Index       uint64
}
type V1Beat struct {
	Node     uint64
	Count    uint32
	Revision uint64
	Wide     bool
}
type V1CentreBeat struct {
	DataCentre string
	Count      uint32
}
type V1NodeNews struct {
	State V1NodeState
	Beat  uint32
	Doubt bool
	Down  bool
}
type V1ReplicaNews struct {
	Owner   string
	Version uint64
	State   V1ReplicaState
}
type V1VMNews struct {
	VM      infra.VM
	Version uint64
	Gone    bool
}
type V1News struct {
	From        string
	Incarnation uint64
	Base        uint64
	Next        uint64
	More        bool
	Have        V1Position
	Revision    uint64

	Beats    []V1Beat
	Centres  []V1CentreBeat
	Nodes    []V1NodeNews
	Replicas []V1ReplicaNews
	VMs      []V1VMNews
}
