// Package ledger keeps what must be true exactly once: claims and outcomes of
// non-idempotent calls, bills, and the version of each session.
package ledger

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/platform"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Times of claims.
const (
	storeRetryAfter  = 2 * time.Second
	runningRetry     = time.Second
	outcomeBackoff   = 200 * time.Millisecond
	outcomeBackoffTo = 5 * time.Second
)

// claimRow is what the table holds of a claim.
type claimRow struct {
	// Token is unique to the one attempt that may send.
	Token string `json:"token"`
	// Node and Incarnation tell who made the claim.
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Content is the hash of the call, so that a key used for another call is
	// noticed.
	Content uint64    `json:"content"`
	At      time.Time `json:"at"`
	// Reply is the stored answer once there is one.
	Reply *backend.Reply `json:"reply,omitempty"`
	// MayHaveRun is set once the sender gave up without an answer.
	MayHaveRun bool `json:"may_have_run,omitempty"`
}

// AskOwner asks the node that made a claim about it. It returns an error if
// the node does not answer.
type AskOwner func(ctx context.Context, node string, incarnation uint64, args wire.ClaimArgs) (wire.ClaimReply, error)

// state is what a node knows of its own claim.
type state int

const (
	stateClaiming state = iota
	stateSent
	stateDone
	stateGivenUp
)

// own is a claim made by this process.
type own struct {
	token string
	state state
	reply *backend.Reply
}

// Claims makes sure that a non-idempotent call runs at most once. It is safe
// for concurrent use.
type Claims struct {
	table       platform.Table
	node        string
	incarnation uint64
	ask         AskOwner
	newToken    func() string

	mu   sync.Mutex
	owns map[string]*own // guarded by mu, by claim key
}

// NewClaims returns the claims of one process.
func NewClaims(table platform.Table, node string, incarnation uint64, newToken func() string, ask AskOwner) *Claims {
	return &Claims{table: table, node: node, incarnation: incarnation, newToken: newToken, ask: ask, owns: map[string]*own{}}
}

// ClaimKey returns the table key of a claim.
func ClaimKey(organisation, key string) string {
	return "claim/" + organisation + "/" + strconv.FormatUint(xxhash.Sum64String(key), 16) + "/" + key
}

// Claim is the right to send one call once.
type Claim struct {
	// Fencing is the number to send along.
	Fencing uint64
	key     string
	row     claimRow
	version uint64
}

// Begin claims the call. It returns either a claim, or the stored answer of
// an earlier run, or a refusal.
func (c *Claims) Begin(ctx context.Context, organisation, key string, content uint64) (*Claim, *backend.Reply, error) {
	id := ClaimKey(organisation, key)
	row := claimRow{Token: c.newToken(), Node: c.node, Incarnation: c.incarnation, Content: content, At: time.Now()}
	if !c.reserve(id, row.Token) {
		return nil, nil, outcome.Refuse(outcome.CodeInProgress, runningRetry, "the same call is under way on this node: ask again later for its outcome")
	}
	version, err := c.insert(ctx, id, row)
	if err == nil {
		return &Claim{key: id, row: row, version: version, Fencing: version}, nil, nil
	}
	c.giveUp(id, row.Token)
	if !errors.Is(err, platform.ErrConflict) {
		return nil, nil, outcome.Refuse(outcome.CodeStoreUnavailable, storeRetryAfter, "the call was not sent, since its claim could not be stored: send it again with the same key")
	}
	reply, err := c.existing(ctx, id, content)
	return nil, reply, err
}

// reserve notes that this process is claiming id, unless it already holds a
// claim that is not given up.
func (c *Claims) reserve(id, token string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.owns[id]; o != nil && (o.state == stateClaiming || o.state == stateSent) {
		return false
	}
	c.owns[id] = &own{token: token}
	return true
}

func (c *Claims) giveUp(id, token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.owns[id]; o != nil && o.token == token {
		o.state = stateGivenUp
	}
}

// insert stores the claim. A lost reply is settled by reading the token back.
func (c *Claims) insert(ctx context.Context, id string, row claimRow) (uint64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, errors.Wrap(err, "encode claim")
	}
	versions, err := c.table.Commit(ctx, platform.Op{Key: id, Value: value})
	if err == nil {
		return versions[0], nil
	}
	if !errors.Is(err, platform.ErrUnavailable) {
		return 0, err
	}
	got, readErr := c.table.Get(ctx, id)
	if readErr != nil {
		return 0, err
	}
	var stored claimRow
	if json.Unmarshal(got.Value, &stored) != nil || stored.Token != row.Token {
		return 0, platform.ErrConflict
	}
	return got.Version, nil
}

// existing answers a call whose key is already claimed.
func (c *Claims) existing(ctx context.Context, id string, content uint64) (*backend.Reply, error) {
	got, err := c.table.Get(ctx, id)
	if err != nil {
		return nil, outcome.Refuse(outcome.CodeStoreUnavailable, storeRetryAfter, "the call was not sent now; whether it ran before is not known while the store is away: ask again with the same key")
	}
	var row claimRow
	if err := json.Unmarshal(got.Value, &row); err != nil {
		return nil, errors.Wrap(err, "decode claim")
	}
	if row.Content != content {
		return nil, outcome.Refuse(outcome.CodeConflict, 0, "the idempotency key was used for another call: use a new key for a new call")
	}
	if row.Reply != nil {
		return row.Reply, nil
	}
	if row.MayHaveRun {
		return nil, mayHaveRun()
	}
	reply, err := c.ask(ctx, row.Node, row.Incarnation, wire.ClaimArgs{Claim: id, Token: row.Token})
	return c.settle(ctx, got, reply, err)
}

// settle acts on what the claim's owner said.
func (c *Claims) settle(ctx context.Context, got platform.Row, reply wire.ClaimReply, err error) (*backend.Reply, error) {
	switch {
	case err != nil:
		return nil, mayHaveRun()
	case reply.Outcome != nil:
		stored := &backend.Reply{}
		if json.Unmarshal(reply.Outcome, stored) != nil {
			return nil, mayHaveRun()
		}
		return stored, nil
	case reply.Running:
		return nil, &outcome.Refusal{Code: outcome.CodeInProgress, Ran: outcome.RanMaybe, RetryAfter: runningRetry, Message: "the same call is under way: ask again later with the same key for its outcome"}
	case reply.NeverSent:
		_, _ = c.table.Commit(ctx, platform.Op{Key: got.Key, Delete: true, Expect: got.Version})
		return nil, outcome.Refuse(outcome.CodeInProgress, runningRetry, "an earlier try of this call was given up before it was sent: send it again with the same key")
	default:
		return nil, mayHaveRun()
	}
}

func mayHaveRun() *outcome.Refusal {
	return &outcome.Refusal{Code: outcome.CodeMayHaveRun, Ran: outcome.RanMaybe, Message: "the call may have run and its outcome is not known: check with the service before using a new key"}
}

// Send marks the claim as used; it returns false if the claim was given up
// in the meantime. The call may leave only after it returned true.
func (c *Claims) Send(claim *Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owns[claim.key]
	if o == nil || o.token != claim.row.Token || o.state != stateClaiming {
		return false
	}
	o.state = stateSent
	return true
}

// Unsent gives the claim up, for a call that certainly did not leave.
func (c *Claims) Unsent(ctx context.Context, claim *Claim) {
	c.giveUp(claim.key, claim.row.Token)
	_, _ = c.table.Commit(ctx, platform.Op{Key: claim.key, Delete: true, Expect: claim.version})
}

// Finish stores the call's outcome; a nil reply means that it may have run.
// It keeps trying in the background until the store has it.
func (c *Claims) Finish(ctx context.Context, claim *Claim, reply *backend.Reply) {
	c.mu.Lock()
	if o := c.owns[claim.key]; o != nil && o.token == claim.row.Token {
		o.state = stateDone
		o.reply = reply
	}
	c.mu.Unlock()
	claim.row.Reply = reply
	claim.row.MayHaveRun = reply == nil
	if c.storeOutcome(ctx, claim) {
		return
	}
	go c.keepStoring(context.WithoutCancel(ctx), claim)
}

// storeOutcome tells whether nothing more is to be done.
func (c *Claims) storeOutcome(ctx context.Context, claim *Claim) bool {
	value, err := json.Marshal(claim.row)
	if err != nil {
		return true
	}
	_, err = c.table.Commit(ctx, platform.Op{Key: claim.key, Value: value, Expect: claim.version})
	if err == nil || errors.Is(err, platform.ErrConflict) {
		c.mu.Lock()
		delete(c.owns, claim.key)
		c.mu.Unlock()
		return true
	}
	return false
}

func (c *Claims) keepStoring(ctx context.Context, claim *Claim) {
	for wait := outcomeBackoff; ; wait = min(2*wait, outcomeBackoffTo) {
		time.Sleep(wait)
		if c.storeOutcome(ctx, claim) {
			return
		}
	}
}

// Ask answers another node's question about a claim made here. To say "never
// sent" is to give the claim up for good.
func (c *Claims) Ask(args wire.ClaimArgs) wire.ClaimReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owns[args.Claim]
	if o == nil || o.token != args.Token {
		return wire.ClaimReply{}
	}
	switch o.state {
	case stateClaiming, stateGivenUp:
		o.state = stateGivenUp
		return wire.ClaimReply{NeverSent: true}
	case stateSent:
		return wire.ClaimReply{Running: true}
	default:
		body, _ := json.Marshal(o.reply)
		if o.reply == nil {
			body = nil
		}
		return wire.ClaimReply{Outcome: body}
	}
}

// Return takes the mark "sent" back, for a send that certainly did not reach
// the backend server.
func (c *Claims) Return(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.owns[claim.key]; o != nil && o.token == claim.row.Token && o.state == stateSent {
		o.state = stateClaiming
	}
}
