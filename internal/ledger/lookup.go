package ledger

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// maxLookups bounds how often a row that changes during a lookup is read.
const maxLookups = 3

// CallStatus is the status of a call.
type CallStatus struct {
	// State is the state of the call.
	State CallState
	// Final is set if the state will not change any more.
	Final bool
	// Reply is the complete answer if State is CallAnswered.
	Reply *backend.Reply

	content uint64
	// version is the row version of a claim that was given up, else 0.
	version uint64
}

// Lookup returns the stored answer of an earlier run of the call, nil if no
// attempt was sent, or a refusal.
func (c *Claims) Lookup(ctx context.Context, id CallID, content uint64) (*backend.Reply, error) {
	s, err := c.Status(ctx, id)
	return s.answer(id, content, err)
}

// answer converts a status to a stored answer, nil, or a refusal.
func (s CallStatus) answer(id CallID, content uint64, err error) (*backend.Reply, error) {
	switch {
	case err != nil:
		return nil, err
	case s.State == CallNone:
		return nil, nil
	case s.content != content:
		return nil, outcome.Refuse(outcome.CodeConflict, 0, "the idempotency key was used for another call: use a new key for a new call")
	case s.State == CallAnswered:
		return s.Reply, nil
	case s.State == CallRunning:
		return nil, inProgress(id)
	case s.Final:
		return nil, MayHaveRunRefusal(id, 0)
	default:
		return nil, MayHaveRunRefusal(id, unresolvedRetry)
	}
}

// Status returns the status of the call from this process, from the table, or
// from the node that sent it.
func (c *Claims) Status(ctx context.Context, id CallID) (CallStatus, error) {
	if s, found := c.localStatus(id.rowKey()); found {
		return s, nil
	}
	return c.storedStatus(ctx, id)
}

// storedStatus returns the status of the call from the table or from the node
// that sent it.
func (c *Claims) storedStatus(ctx context.Context, id CallID) (CallStatus, error) {
	key := id.rowKey()
	for range maxLookups {
		got, err := c.Table.Get(ctx, key)
		if errors.Is(err, infra.ErrNotFound) {
			return CallStatus{State: CallNone}, nil
		}
		if err != nil {
			return CallStatus{}, storeUnavailable(id)
		}
		s, isComplete, err := c.interpretRow(ctx, got)
		if isComplete || err != nil {
			return s, err
		}
	}
	return CallStatus{}, inProgress(id)
}

// localStatus returns the status of a call from this process's memory alone. It
// returns false if there is none.
func (c *Claims) localStatus(key string) (CallStatus, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.recent.calls[key]; ok {
		return CallStatus{State: CallAnswered, Final: true, Reply: r.reply, content: r.content}, true
	}
	a := c.active[key]
	switch {
	case a == nil:
		return CallStatus{}, false
	case a.state != stateDone:
		return CallStatus{State: CallRunning, content: a.content}, true
	case a.reply != nil:
		return CallStatus{State: CallAnswered, Final: true, Reply: a.reply, content: a.content}, true
	default:
		return CallStatus{State: CallMayHaveRun, Final: true, content: a.content}, true
	}
}

// interpretRow returns the status that a claim's row shows. It returns false if
// the row has to be read again.
func (c *Claims) interpretRow(ctx context.Context, got infra.Row) (CallStatus, bool, error) {
	var row claimRow
	if err := json.Unmarshal(got.Value, &row); err != nil {
		return CallStatus{}, true, errors.Wrapf(err, "decode claim %s: repair or remove the row", got.Key)
	}
	s := CallStatus{State: CallMayHaveRun, content: row.Content}
	switch {
	case row.GivenUp:
		return CallStatus{State: CallNone, version: got.Version}, true, nil
	case row.MayHaveRun:
		s.Final = true
		return s, true, nil
	case row.ReplyObject != "":
		reply, err := c.loadReply(ctx, row.ReplyObject)
		return withReply(s, reply), true, err
	case row.Reply != nil:
		c.cacheOutcome(got.Key, row.Content, row.Reply)
		return withReply(s, row.Reply), true, nil
	}
	reply, err := c.AskSender(ctx, row.Node, wire.ClaimArgs{Claim: got.Key, Token: row.Token, Process: row.Process})
	if err != nil {
		return s, true, nil
	}
	return c.interpretReply(ctx, got, s, reply)
}

// interpretReply returns the status that the sender's reply about a claim shows.
// It returns false if the row has to be read again.
func (c *Claims) interpretReply(ctx context.Context, got infra.Row, s CallStatus, reply wire.ClaimReply) (CallStatus, bool, error) {
	switch {
	case reply.Outcome != nil:
		stored := &backend.Reply{}
		if json.Unmarshal(reply.Outcome, stored) != nil {
			return s, true, nil
		}
		return withReply(s, stored), true, nil
	case reply.Running:
		s.State = CallRunning
		return s, true, nil
	case reply.NeverSent:
		version, err := c.markGivenUp(ctx, got.Key, got.Version)
		if err != nil {
			return s, false, nil
		}
		return CallStatus{State: CallNone, version: version}, true, nil
	default:
		return s, true, nil
	}
}

func withReply(s CallStatus, reply *backend.Reply) CallStatus {
	s.State = CallAnswered
	s.Final = true
	s.Reply = reply
	return s
}

func (c *Claims) cacheOutcome(key string, content uint64, reply *backend.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.add(key, recentCall{content: content, reply: reply})
}
