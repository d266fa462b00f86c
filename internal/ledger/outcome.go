package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// maxInlineReply is the largest answer, in bytes, kept in the claim's row.
	maxInlineReply = 16 << 10
	replyPrefix    = "reply-"

	outcomeBackoff    = 200 * time.Millisecond
	maxOutcomeBackoff = 5 * time.Second
)

// Finish ends a call that was sent. A nil reply means that it may have run. The
// outcome and the bill are stored in one transaction, and the result reports
// whether that succeeded. If not, Run stores the outcome later without the bill.
func (c *Claims) Finish(ctx context.Context, claim *Claim, reply *backend.Reply, bill *wire.Bill) bool {
	c.mu.Lock()
	if a := c.active[claim.key]; a != nil && a.token == claim.row.Token {
		a.state = stateDone
		a.reply = reply
	}
	if reply != nil {
		c.recent.add(claim.key, recentCall{content: claim.row.Content, reply: reply})
	}
	c.mu.Unlock()
	claim.row.Reply = reply
	claim.row.MayHaveRun = reply == nil
	if c.storeOutcome(ctx, claim, bill) {
		return true
	}
	c.mu.Lock()
	c.unstored = append(c.unstored, claim)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return false
}

// Run stores outcomes that the table lacks until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for wait := outcomeBackoff; c.storePendingOutcomes(ctx) > 0 && ctx.Err() == nil; wait = min(2*wait, maxOutcomeBackoff) {
			select {
			case <-ctx.Done():
			case <-time.After(wait/2 + rand.N(wait/2)):
			}
		}
	}
}

// storePendingOutcomes stores outcomes until one fails and returns the number
// left.
func (c *Claims) storePendingOutcomes(ctx context.Context) int {
	for {
		c.mu.Lock()
		left := len(c.unstored)
		if left == 0 {
			c.mu.Unlock()
			return 0
		}
		claim := c.unstored[0]
		c.mu.Unlock()
		if !c.storeOutcome(ctx, claim, nil) {
			return left
		}
		c.mu.Lock()
		c.unstored = c.unstored[1:]
		c.mu.Unlock()
	}
}

// storeOutcome stores the outcome, and the bill if there is one, and reports
// whether the table has them.
func (c *Claims) storeOutcome(ctx context.Context, claim *Claim, bill *wire.Bill) bool {
	ops, err := c.outcomeOps(ctx, claim, bill)
	if err != nil {
		return false
	}
	_, err = c.Table.Commit(ctx, ops...)
	if err != nil && !c.confirmStored(ctx, claim, errors.Is(err, infra.ErrConflict)) {
		return false
	}
	c.removeActive(claim.key, claim.row.Token)
	return true
}

func (c *Claims) outcomeOps(ctx context.Context, claim *Claim, bill *wire.Bill) ([]infra.Op, error) {
	row, err := c.moveLargeReply(ctx, claim.row)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, errors.Wrap(err, "encode outcome")
	}
	ops := []infra.Op{{Key: claim.key, Value: value, Expect: claim.version}}
	if bill == nil {
		return ops, nil
	}
	op, err := billOp(*bill)
	return append(ops, op), err
}

// confirmStored reads the row to find out whether an earlier write of the
// outcome took effect. After a conflict there is also nothing left to do if the
// row belongs to another claim.
func (c *Claims) confirmStored(ctx context.Context, claim *Claim, isConflict bool) bool {
	got, err := c.Table.Get(ctx, claim.key)
	if err != nil {
		return isConflict && errors.Is(err, infra.ErrNotFound)
	}
	var row claimRow
	if json.Unmarshal(got.Value, &row) != nil || row.Token != claim.row.Token {
		return isConflict
	}
	return row.isSettled()
}

// moveLargeReply moves a large answer from the row to the object store.
func (c *Claims) moveLargeReply(ctx context.Context, row claimRow) (claimRow, error) {
	if row.Reply == nil || len(row.Reply.Body) <= maxInlineReply {
		return row, nil
	}
	body, err := json.Marshal(row.Reply)
	if err != nil {
		return row, errors.Wrap(err, "encode answer")
	}
	sum := sha256.Sum256(body)
	name := replyPrefix + hex.EncodeToString(sum[:])
	if err := c.Objects.PutObject(ctx, name, body); err != nil {
		return row, err
	}
	row.Reply = nil
	row.ReplyObject = name
	return row, nil
}

// loadReply reads a large answer from the object store.
func (c *Claims) loadReply(ctx context.Context, name string) (*backend.Reply, error) {
	body, err := c.Objects.GetObject(ctx, name)
	reply := &backend.Reply{}
	if err == nil {
		err = json.Unmarshal(body, reply)
	}
	if err != nil {
		return nil, &outcome.Refusal{Code: outcome.CodeStoreUnavailable, Ran: outcome.RanYes, RetryAfter: storeRetryAfter, Message: "the call ran and its stored answer could not be read: ask again with the same key"}
	}
	return reply, nil
}
