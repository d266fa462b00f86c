// Package ledger keeps what must be true exactly once: claims and outcomes of
// non-idempotent calls, bills, and the version of each session.
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

// Times of claims.
const (
	storeRetryAfter = 2 * time.Second
	runningRetry    = time.Second
	// doubtRetry is when to ask again about a call whose sender does not
	// answer.
	doubtRetry = 5 * time.Second
)

// AskSender asks the node that made a claim about it. It returns an error if
// the node does not answer.
type AskSender func(ctx context.Context, node string, args wire.ClaimArgs) (wire.ClaimReply, error)

// claimState is what a process knows of its own claim.
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

// ClaimsOptions are what the claims of one process work with.
type ClaimsOptions struct {
	// Table holds the claims, Objects the large answers.
	Table   infra.Table
	Objects infra.ObjectStore
	// Node and Incarnation are the own node's.
	Node        string
	Incarnation uint64
	// NewToken returns a random identifier.
	NewToken func() string
	// AskSender reaches the senders of other claims.
	AskSender AskSender
	// Now is the clock; nil is the system's.
	Now func() time.Time
}

// Claims makes sure that a non-idempotent call runs at most once: only the
// process that wrote the claim's row may send, once, and a claim is given up
// only after that process said that it neither sent nor will send. It is safe
// for concurrent use.
//
// A claim of this process stays in active from before its insert until it is
// given up or its outcome is stored. So a token of this process that is not
// there was never sent, or the row holds its outcome.
type Claims struct {
	ClaimsOptions
	process string
	wake    chan struct{}

	mu       sync.Mutex
	active   map[string]*activeClaim // guarded by mu, by row
	recent   *recentCalls            // guarded by mu
	unstored []*Claim                // guarded by mu; outcomes that the table lacks
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
	// Fencing is the number to send along.
	Fencing uint64
	id      CallID
	key     string
	row     claimRow
	version uint64
}

// Begin claims the call. It returns either a claim, or the stored answer of
// an earlier run, or a refusal.
func (c *Claims) Begin(ctx context.Context, id CallID, content uint64) (*Claim, *backend.Reply, error) {
	key := id.row()
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
			c.forget(key, row.Token)
			return nil, nil, storeAway(id)
		}
		s, err := c.stored(ctx, id)
		if err != nil || s.State != CallNone {
			c.forget(key, row.Token)
			reply, refusal := s.answer(id, content, err)
			return nil, reply, refusal
		}
		expect = s.version
	}
	c.forget(key, row.Token)
	return nil, nil, inProgress(id)
}

// reserve enters a claim of this process, unless it has one for the same
// call.
func (c *Claims) reserve(key string, row claimRow) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active[key] != nil {
		return false
	}
	c.active[key] = &activeClaim{token: row.Token, content: row.Content}
	return true
}

func (c *Claims) forget(key, token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.active[key]; a != nil && a.token == token {
		delete(c.active, key)
	}
}

// insert stores the claim. A lost reply is settled by reading the token back.
// Expect is 0, or the version of the row of a claim that was given up.
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

// Send marks the claim as used. The call may leave only after it returned
// true, which it does once, and not for a claim so old, by the clock on the
// wall, that its row may be removed before the call's life has passed.
func (c *Claims) Send(claim *Claim) bool {
	if c.Now().Round(0).Sub(claim.row.At.Round(0)) > maxClaimAge {
		return false
	}
	return c.advance(claim, stateClaiming, stateSent)
}

// Return takes the mark "sent" back, for a send that certainly did not reach
// the backend server.
func (c *Claims) Return(claim *Claim) {
	c.advance(claim, stateSent, stateClaiming)
}

func (c *Claims) advance(claim *Claim, from, to claimState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.active[claim.key]
	if a == nil || a.token != claim.row.Token || a.state != from {
		return false
	}
	a.state = to
	return true
}

// GiveUp ends a claim whose call certainly did not leave. If that cannot be
// stored now, the next try of the call stores it.
func (c *Claims) GiveUp(ctx context.Context, claim *Claim) {
	c.forget(claim.key, claim.row.Token)
	_, _ = c.release(ctx, claim.key, claim.version)
}

// release marks the row of a claim that was given up, and returns the row's
// new version. The row stays, so that its version never starts again.
func (c *Claims) release(ctx context.Context, key string, version uint64) (uint64, error) {
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

// Ask answers another node's question about a claim made here.
func (c *Claims) Ask(args wire.ClaimArgs) wire.ClaimReply {
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

// Pending returns how many calls are under way or have an outcome that is
// not stored.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

// storeAway refuses a call that this node does not know, while the table
// cannot tell whether another try of it was sent.
func storeAway(id CallID) *outcome.Refusal {
	refusal := outcome.Refuse(outcome.CodeStoreUnavailable, storeRetryAfter, "this request was not sent; whether another one with the same key ran is not known while the store is away: send it again with the same key")
	refusal.Earlier = outcome.RanMaybe
	refusal.StatusPath = id.StatusPath()
	return refusal
}

func inProgress(id CallID) *outcome.Refusal {
	return &outcome.Refusal{Code: outcome.CodeInProgress, Ran: outcome.RanMaybe, RetryAfter: runningRetry, StatusPath: id.StatusPath(), Message: "the same call is under way: ask again later with the same key for its outcome"}
}

// MayHaveRun returns the refusal of a call that was sent and has no answer;
// retryAfter is when one may have come, zero if none will.
func MayHaveRun(id CallID, retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{Code: outcome.CodeMayHaveRun, Ran: outcome.RanMaybe, RetryAfter: retryAfter, StatusPath: id.StatusPath(), Message: "the call may have run and its outcome is not known: ask the status address, and check with the service before using a new key"}
}
