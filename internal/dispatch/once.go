package dispatch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// minSendTimeout is the least time that a call gets once it was sent, even if
// its caller has disconnected, so that its outcome becomes known.
const minSendTimeout = 30 * time.Second

// onceCall is one request for a call that must not be repeated.
type onceCall struct {
	req     *CallRequest
	id      ledger.CallID
	content uint64
}

// sendResult is the result of sending a call once: a reply or a failure.
type sendResult struct {
	reply   *backend.Reply
	failure *backend.Error
}

// callOnce runs a call that must not be repeated. It looks up the outcome of
// earlier requests with the same key, then acquires a slot, then the claim, and
// then sends the call once.
func (d *Dispatcher) callOnce(ctx context.Context, req *CallRequest) (*backend.Reply, error) {
	if req.Call.Key == "" {
		return nil, outcome.Refuse(outcome.CodeBadRequest, 0, "this call runs at most once: send an Idempotency-Key header")
	}
	o := &onceCall{
		req:     req,
		id:      ledger.CallID{Organisation: req.Organisation, Service: req.Service, Key: req.Call.Key},
		content: xxhash.Sum64String(req.Call.Method + " " + req.Call.Path + "?" + req.Call.Query + "\n" + string(req.Call.Body)),
	}
	stored, err := d.Claims.Lookup(ctx, o.id, o.content)
	if err != nil || stored != nil {
		return d.recordReplay(o, stored), err
	}
	sl, err := d.acquire(ctx, &req.Request, d.callSlotRequest(req, nil, true))
	if err != nil {
		return d.refuseUnsent(ctx, o, err)
	}
	claim, stored, err := d.Claims.Begin(ctx, o.id, o.content)
	if claim == nil {
		d.release(sl, wire.ReleaseArgs{})
		return d.recordReplay(o, stored), err
	}
	return d.sendClaimed(ctx, o, claim, sl)
}

// recordReplay records that a request is answered with the stored outcome of an
// earlier one.
func (d *Dispatcher) recordReplay(o *onceCall, stored *backend.Reply) *backend.Reply {
	if stored != nil {
		d.Record.Add(o.req.ID, "answered with the stored outcome of an earlier run")
	}
	return stored
}

// refuseUnsent refuses a call that got no slot, unless another request with the
// same key was sent in the meantime.
func (d *Dispatcher) refuseUnsent(ctx context.Context, o *onceCall, refusal error) (*backend.Reply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	stored, err := d.Claims.Lookup(ctx, o.id, o.content)
	switch {
	case stored != nil:
		return d.recordReplay(o, stored), nil
	case err == nil:
		return nil, refusal
	}
	other := outcome.AsRefusal(err)
	if other.Ran == outcome.RanNo {
		merged := outcome.AsRefusal(refusal)
		merged.Earlier = other.Earlier
		return nil, merged
	}
	return nil, other
}

// lookupTimeout bounds the last lookup of the claim before a refusal.
const lookupTimeout = 200 * time.Millisecond

// sendClaimed sends a claimed call to one replica after another, as long as it
// is certain that none of them received it.
func (d *Dispatcher) sendClaimed(ctx context.Context, o *onceCall, claim *ledger.Claim, sl *slot) (*backend.Reply, error) {
	var excluded []string
	for n := 1; ; n++ {
		result, answered := d.sendOnce(ctx, o, claim, sl)
		switch {
		case !answered:
			return nil, ledger.MayHaveRunRefusal(o.id, minRetryAfter)
		case result.failure == nil:
			return result.reply, nil
		case result.failure.Ran != outcome.RanNo:
			return nil, ledger.MayHaveRunRefusal(o.id, 0)
		}
		excluded = append(excluded, sl.replica.ID)
		err := error(outcome.Refuse(outcome.CodeBackendFailed, jitter(minRetryAfter), "no backend server took the call: send it again with the same key"))
		if ctx.Err() == nil && result.failure.Retryable() && d.spendRetry(ctx, &o.req.Request, n) {
			sl, err = d.acquire(ctx, &o.req.Request, d.callSlotRequest(o.req, excluded, true))
			if err == nil {
				continue
			}
		}
		d.Claims.GiveUp(context.WithoutCancel(ctx), claim)
		return nil, err
	}
}

// sendOnce sends a claimed call to one replica. If the caller stops waiting,
// sendOnce returns false and the send continues in the background.
func (d *Dispatcher) sendOnce(ctx context.Context, o *onceCall, claim *ledger.Claim, sl *slot) (sendResult, bool) {
	if _, closed := d.quietAt(callScope(o.req, sl), d.callDuration(o.req, true)); closed {
		d.release(sl, wire.ReleaseArgs{})
		return sendResult{failure: &backend.Error{Kind: backend.KindBusy, Ran: outcome.RanNo, Message: "quiet hours are too close"}}, true
	}
	if ctx.Err() != nil || !d.Claims.MarkSent(claim) {
		d.release(sl, wire.ReleaseArgs{})
		return sendResult{failure: &backend.Error{Kind: backend.KindRejected, Ran: outcome.RanNo, Message: "the caller disconnected"}}, true
	}
	done := make(chan sendResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(minSendTimeout, time.Until(o.req.Deadline)))
		defer cancel()
		defer context.AfterFunc(d.ProcessContext, cancel)()
		done <- d.send(ctx, o, claim, sl)
	}()
	select {
	case result := <-done:
		return result, true
	case <-ctx.Done():
		d.Record.Add(o.req.ID, "the caller stopped waiting; the call goes on")
		go d.abandonUnsent(ctx, claim, done)
		return sendResult{}, false
	}
}

// abandonUnsent gives up the claim of a call whose caller has disconnected, if
// no replica received the call.
func (d *Dispatcher) abandonUnsent(ctx context.Context, claim *ledger.Claim, done <-chan sendResult) {
	result := <-done
	if result.failure != nil && result.failure.Ran == outcome.RanNo {
		d.Claims.GiveUp(context.WithoutCancel(ctx), claim)
	}
}

// send sends a claimed call and stores its outcome.
func (d *Dispatcher) send(ctx context.Context, o *onceCall, claim *ledger.Claim, sl *slot) sendResult {
	call := o.req.Call
	call.Fencing = claim.Fencing
	call.IsOnceCall = true
	d.Record.Add(o.req.ID, "sent once to replica %s", sl.replica.ID)
	reply, err := d.sendCall(ctx, o.req, call, sl)
	if err == nil {
		d.release(sl, wire.ReleaseArgs{Tokens: callTokens})
		bill := callBill(o.req)
		if !d.Claims.Finish(ctx, claim, &reply, &bill) {
			d.Bills.Add(ctx, bill)
		}
		d.Record.Add(o.req.ID, "answered by service %s, billed once under this identity", o.req.Service)
		return sendResult{reply: &reply}
	}
	failure := backendError(err)
	d.release(sl, wire.ReleaseArgs{Failed: failure.Kind})
	d.Record.Add(o.req.ID, "replica %s failed: %s", sl.replica.ID, failure)
	if failure.Ran == outcome.RanNo {
		d.Claims.UnmarkSent(claim)
	} else {
		d.Claims.Finish(context.WithoutCancel(ctx), claim, nil, nil)
	}
	return sendResult{failure: failure}
}
