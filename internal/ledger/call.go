package ledger

import (
	"net/url"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
)

// CallID identifies a call that runs at most once: an organisation's key for
// one service.
type CallID struct {
	// Organisation is whose key it is.
	Organisation string
	// Service is the plain service's name.
	Service string
	// Key is the caller's idempotency key.
	Key string
}

const (
	claimPrefix  = "claim/"
	outcomesPath = "/v1/outcomes/"
)

// row returns the table key of the call's claim.
func (id CallID) row() string {
	return claimPrefix + url.PathEscape(id.Organisation) + "/" + url.PathEscape(id.Service) + "/" + url.PathEscape(id.Key)
}

// ClaimKey returns the table key of a call's claim.
func ClaimKey(id CallID) string { return id.row() }

// StatusPath returns where a caller asks for the call's outcome.
func (id CallID) StatusPath() string {
	return outcomesPath + url.PathEscape(id.Service) + "/" + url.PathEscape(id.Key)
}

// CallState tells how far a call has come.
type CallState string

// The states of a call.
const (
	// CallNone means that no try of the call has been sent.
	CallNone CallState = "none"
	// CallRunning means that a try is under way.
	CallRunning CallState = "running"
	// CallAnswered means that the outcome is stored.
	CallAnswered CallState = "answered"
	// CallMayHaveRun means that a try was sent, or may have been, and no
	// answer came.
	CallMayHaveRun CallState = "may_have_run"
)

// claimRow is what the table holds of a claim.
type claimRow struct {
	// Token is unique to the one try that may send.
	Token string `json:"token"`
	// Node, Incarnation and Process tell who made the claim; Process is
	// unique to one start of one process.
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Process     string `json:"process"`
	// Content is the hash of the call, so that a key used for another call is
	// noticed.
	Content uint64    `json:"content"`
	At      time.Time `json:"at"`
	// Reply is the stored answer once there is one; a large one lies in the
	// object store under ReplyObject.
	Reply       *backend.Reply `json:"reply,omitempty"`
	ReplyObject string         `json:"reply_object,omitempty"`
	// MayHaveRun is set once the sender gave up without an answer.
	MayHaveRun bool `json:"may_have_run,omitempty"`
	// GivenUp is set once the claim is void: nothing was sent under it.
	GivenUp bool `json:"given_up,omitempty"`
}

// settled tells whether the row will not change any more.
func (r *claimRow) settled() bool { return r.Reply != nil || r.ReplyObject != "" || r.MayHaveRun }
