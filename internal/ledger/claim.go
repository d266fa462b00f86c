// Package ledger stores the records that must stay exactly right: at-most-once
// claims and outcomes of non-idempotent calls, one bill for each request, and
// the model version that each session is pinned to.
package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Retry delays for callers.
const (
	storeRetryAfter = 2 * time.Second
	runningRetry    = time.Second
	// unresolvedRetry is when to ask again about a call whose sender does not
	// answer.
	unresolvedRetry = 5 * time.Second
)

// AskSender asks the node that made a claim about its state. It returns an error
// if the node does not answer.
type AskSender func(ctx context.Context, node string, args wire.ClaimArgs) (wire.ClaimReply, error)

// claimState is the state of a claim in the process that made it.
type claimState int

const (
	stateClaiming claimState = iota
	stateSent
	stateDone
)

// activeClaim is a claim of this process whose outcome is not stored yet.
type activeClaim struct {
	token   string
	state   claimState
	content uint64
	reply   *backend.Reply
}

// ClaimsOptions holds the dependencies of the claims of one process.
type ClaimsOptions struct {
	// Table stores the claims, Objects the large answers.
	Table   infra.Table
	Objects infra.ObjectStore
	// Node and Incarnation identify the local node.
	Node        string
	Incarnation uint64
	// NewToken returns a random identifier.
	NewToken func() string
	// AskSender reaches the senders of other claims.
	AskSender AskSender
	// Now is the clock. Nil means the system clock.
	Now func() time.Time
}

// Claims ensures that a non-idempotent call runs at most once. Only the process
// that wrote the claim's row may send the call, and only once. A claim is given
// up only after that process has confirmed that it neither sent nor will send
// the call. It is safe for concurrent use.
//
// A claim of this process stays in active from before its insert until it is
// given up or its outcome is stored. So if a token of this process is not in
// active, either the call was never sent or the row holds its outcome.
type Claims struct {
	ClaimsOptions
	process string
	wake    chan struct{}

	mu       sync.Mutex
	active   map[string]*activeClaim // guarded by mu, by row
	recent   *recentCalls            // guarded by mu
	unstored []*Claim                // guarded by mu; claims whose outcome the table lacks
}

// NewClaims returns the claims of one process.
func NewClaims(o ClaimsOptions) *Claims {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Claims{ClaimsOptions: o, process: o.NewToken(), active: map[string]*activeClaim{}, recent: newRecentCalls(), wake: make(chan struct{}, 1)}
}

// Claim is the right to send one call once.
type Claim struct {
	// Fencing is the fencing number to send with the call.
	Fencing uint64
	id      CallID
	key     string
	row     claimRow
	version uint64
}

// Begin claims the call. It returns a claim, the stored answer of an earlier
// run, or a refusal.
func (c *Claims) Begin(ctx context.Context, id CallID, content uint64) (*Claim, *backend.Reply, error) {
	key := id.rowKey()
	row := claimRow{Token: c.NewToken(), Node: c.Node, Incarnation: c.Incarnation, Process: c.process, Content: content, At: c.Now()}
	if !c.reserve(key, row) {
		return nil, nil, inProgress(id)
	}
	expect := uint64(0)
	for range maxLookups {
		version, err := c.insert(ctx, key, row, expect)
		if err == nil {
			return &Claim{Fencing: version, id: id, key: key, row: row, version: version}, nil, nil
		}
		if !errors.Is(err, infra.ErrConflict) {
			c.removeActive(key, row.Token)
			return nil, nil, storeUnavailable(id)
		}
		s, err := c.storedStatus(ctx, id)
		if err != nil || s.State != CallNone {
			c.removeActive(key, row.Token)
			reply, refusal := s.answer(id, content, err)
			return nil, reply, refusal
		}
		expect = s.version
	}
	c.removeActive(key, row.Token)
	return nil, nil, inProgress(id)
}

// reserve registers a claim of this process. It returns false if this process
// already has one for the same call.
func (c *Claims) reserve(key string, row claimRow) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active[key] != nil {
		return false
	}
	c.active[key] = &activeClaim{token: row.Token, content: row.Content}
	return true
}

func (c *Claims) removeActive(key, token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.active[key]; a != nil && a.token == token {
		delete(c.active, key)
	}
}

// insert stores the claim and returns its row version. If the reply of the table
// is lost, it reads the token back. expect is 0 or the version of the row of a
// claim that was given up.
func (c *Claims) insert(ctx context.Context, key string, row claimRow, expect uint64) (uint64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, errors.Wrap(err, "encode claim")
	}
	versions, err := c.Table.Commit(ctx, infra.Op{Key: key, Value: value, Expect: expect})
	if err == nil {
		return versions[0], nil
	}
	if !errors.Is(err, infra.ErrUnavailable) {
		return 0, err
	}
	got, readErr := c.Table.Get(ctx, key)
	if readErr != nil {
		return 0, err
	}
	var stored claimRow
	if json.Unmarshal(got.Value, &stored) != nil || stored.Token != row.Token {
		return 0, infra.ErrConflict
	}
	return got.Version, nil
}

// MarkSent marks the claim as sent. The call may be sent only if the result is true,
// which happens at most once. The result is false for a claim older than
// maxClaimAge by wall-clock time: its row may be removed before the call's
// lifetime has passed.
func (c *Claims) MarkSent(claim *Claim) bool {
	if c.Now().Round(0).Sub(claim.row.At.Round(0)) > maxClaimAge {
		return false
	}
	return c.transition(claim, stateClaiming, stateSent)
}

// UnmarkSent reverses MarkSent if the call certainly did not reach the
// backend server.
func (c *Claims) UnmarkSent(claim *Claim) {
	c.transition(claim, stateSent, stateClaiming)
}

func (c *Claims) transition(claim *Claim, from, to claimState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.active[claim.key]
	if a == nil || a.token != claim.row.Token || a.state != from {
		return false
	}
	a.state = to
	return true
}

// GiveUp ends a claim whose call was certainly not sent. If this can't be stored
// now, the next attempt of the call stores it.
func (c *Claims) GiveUp(ctx context.Context, claim *Claim) {
	c.removeActive(claim.key, claim.row.Token)
	_, _ = c.markGivenUp(ctx, claim.key, claim.version)
}

// markGivenUp marks the row of a claim as given up and returns the row's new
// version. The row is not deleted, so that its version never starts again.
func (c *Claims) markGivenUp(ctx context.Context, key string, version uint64) (uint64, error) {
	value, err := json.Marshal(claimRow{GivenUp: true, At: c.Now()})
	if err != nil {
		return 0, errors.Wrap(err, "encode claim")
	}
	versions, err := c.Table.Commit(ctx, infra.Op{Key: key, Value: value, Expect: version})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// AnswerClaimQuery answers another node's question about a claim made by this process.
func (c *Claims) AnswerClaimQuery(args wire.ClaimArgs) wire.ClaimReply {
	if args.Process != c.process {
		return wire.ClaimReply{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.active[args.Claim]
	if a == nil || a.token != args.Token {
		return wire.ClaimReply{NeverSent: true}
	}
	if a.state != stateDone {
		return wire.ClaimReply{Running: true}
	}
	if a.reply == nil {
		return wire.ClaimReply{}
	}
	body, err := json.Marshal(a.reply)
	if err != nil {
		return wire.ClaimReply{}
	}
	return wire.ClaimReply{Outcome: body}
}

// Pending returns the number of calls that are in progress or whose outcome is
// not stored yet.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

// storeUnavailable returns the refusal of a call that this process has no state
// of, while the table can't show whether another attempt of it was sent.
func storeUnavailable(id CallID) *outcome.Refusal {
	refusal := outcome.Refuse(outcome.CodeStoreUnavailable, storeRetryAfter, "this request was not sent; whether another one with the same key ran is not known while the store is away: send it again with the same key")
	refusal.Earlier = outcome.RanMaybe
	refusal.StatusPath = id.StatusPath()
	return refusal
}

func inProgress(id CallID) *outcome.Refusal {
	return &outcome.Refusal{Code: outcome.CodeInProgress, Ran: outcome.RanMaybe, RetryAfter: runningRetry, StatusPath: id.StatusPath(), Message: "the same call is under way: ask again later with the same key for its outcome"}
}

// MayHaveRunRefusal returns the refusal of a call that was sent and has no answer.
// retryAfter is when an answer may be available, zero if there will be none.
func MayHaveRunRefusal(id CallID, retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{Code: outcome.CodeMayHaveRun, Ran: outcome.RanMaybe, RetryAfter: retryAfter, StatusPath: id.StatusPath(), Message: "the call may have run and its outcome is not known: ask the status address, and check with the service before using a new key"}
}
