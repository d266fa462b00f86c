package ledger

import (
	"net/url"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
)

// CallID identifies a call that runs at most once, by an organisation's
// idempotency key for one service.
type CallID struct {
	// Organisation is the owner of the key.
	Organisation string
	// Service is the name of the plain service.
	Service string
	// Key is the caller's idempotency key.
	Key string
}

const (
	claimPrefix  = "claim/"
	outcomesPath = "/v1/outcomes/"
)

// rowKey returns the table key of the call's claim.
func (id CallID) rowKey() string {
	return claimPrefix + url.PathEscape(id.Organisation) + "/" + url.PathEscape(id.Service) + "/" + url.PathEscape(id.Key)
}

// ClaimKey returns the table key of a call's claim.
func ClaimKey(id CallID) string { return id.rowKey() }

// StatusPath returns the path where a caller can get the call's outcome.
func (id CallID) StatusPath() string {
	return outcomesPath + url.PathEscape(id.Service) + "/" + url.PathEscape(id.Key)
}

// CallState is the state of a call that runs at most once.
type CallState string

// The states of a call.
const (
	// CallNone means that no attempt of the call was sent.
	CallNone CallState = "none"
	// CallRunning means that an attempt is in progress.
	CallRunning CallState = "running"
	// CallAnswered means that the outcome is stored.
	CallAnswered CallState = "answered"
	// CallMayHaveRun means that an attempt was sent, or may have been, and no
	// answer came.
	CallMayHaveRun CallState = "may_have_run"
)

// claimRow is the table row of a claim.
type claimRow struct {
	// Token is unique to the one attempt that may send the call.
	Token string `json:"token"`
	// Node, Incarnation and Process identify who made the claim. Process is unique
	// to one run of a process.
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Process     string `json:"process"`
	// Content is the hash of the call. It reveals a key that is used again for
	// another call.
	Content uint64    `json:"content"`
	At      time.Time `json:"at"`
	// Reply is the stored answer once there is one. A large answer is in the object
	// store under the name ReplyObject.
	Reply       *backend.Reply `json:"reply,omitempty"`
	ReplyObject string         `json:"reply_object,omitempty"`
	// MayHaveRun is set once the sender has given up waiting for an answer.
	MayHaveRun bool `json:"may_have_run,omitempty"`
	// GivenUp is set once the claim is void: nothing was sent under it.
	GivenUp bool `json:"given_up,omitempty"`
}

// isSettled reports whether the row is final.
func (r *claimRow) isSettled() bool { return r.Reply != nil || r.ReplyObject != "" || r.MayHaveRun }
