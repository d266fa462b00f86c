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

// answerWait is how long a call that was sent may take at least, also when
// its caller has gone, so that its outcome is learned.
const answerWait = 30 * time.Second

// onceCall is one request of a call that may not be repeated.
type onceCall struct {
	req     *CallRequest
	id      ledger.CallID
	content uint64
}

// sent is how one send ended: a reply, or a failure.
type sent struct {
	reply   *backend.Reply
	failure *backend.Error
}

// callOnce runs a call that may not be repeated: first the outcome of earlier
// tries, then a place, then the claim, then one send.
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
		return d.earlier(o, stored), err
	}
	p, err := d.acquire(ctx, &req.Request, d.callWish(req, nil, true))
	if err != nil {
		return d.notSent(ctx, o, err)
	}
	claim, stored, err := d.Claims.Begin(ctx, o.id, o.content)
	if claim == nil {
		d.release(p, wire.ReleaseArgs{})
		return d.earlier(o, stored), err
	}
	return d.carry(ctx, o, claim, p)
}

// earlier notes that a request is answered with an earlier one's outcome.
func (d *Dispatcher) earlier(o *onceCall, stored *backend.Reply) *backend.Reply {
	if stored != nil {
		d.Record.Add(o.req.ID, "answered with the stored outcome of an earlier run")
	}
	return stored
}

// notSent refuses a call that found no place, unless another try of it was
// sent in the meantime.
func (d *Dispatcher) notSent(ctx context.Context, o *onceCall, refusal error) (*backend.Reply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupWait)
	defer cancel()
	stored, err := d.Claims.Lookup(ctx, o.id, o.content)
	switch {
	case stored != nil:
		return d.earlier(o, stored), nil
	case err == nil:
		return nil, refusal
	}
	other := outcome.AsRefusal(err)
	if other.Ran == outcome.RanNo {
		first := outcome.AsRefusal(refusal)
		first.Earlier = other.Earlier
		return nil, first
	}
	return nil, other
}

// lookupWait bounds the last look at the table before a refusal.
const lookupWait = 200 * time.Millisecond

// carry sends a claimed call to one replica after the other, as long as it is
// certain that none received it.
func (d *Dispatcher) carry(ctx context.Context, o *onceCall, claim *ledger.Claim, p *place) (*backend.Reply, error) {
	var excluded []string
	for n := 1; ; n++ {
		result, answered := d.sendOnce(ctx, o, claim, p)
		switch {
		case !answered:
			return nil, ledger.MayHaveRunRefusal(o.id, minRetryAfter)
		case result.failure == nil:
			return result.reply, nil
		case result.failure.Ran != outcome.RanNo:
			return nil, ledger.MayHaveRunRefusal(o.id, 0)
		}
		excluded = append(excluded, p.replica.ID)
		err := error(outcome.Refuse(outcome.CodeBackendFailed, jitter(minRetryAfter), "no backend server took the call: send it again with the same key"))
		if ctx.Err() == nil && result.failure.Retryable() && d.retry(ctx, &o.req.Request, n) {
			p, err = d.acquire(ctx, &o.req.Request, d.callWish(o.req, excluded, true))
			if err == nil {
				continue
			}
		}
		d.Claims.GiveUp(context.WithoutCancel(ctx), claim)
		return nil, err
	}
}

// sendOnce sends a claimed call to one replica. The send goes on when the
// caller stops waiting; it then returns false.
func (d *Dispatcher) sendOnce(ctx context.Context, o *onceCall, claim *ledger.Claim, p *place) (sent, bool) {
	if _, closed := d.quietAt(callScope(o.req, p), d.callLength(o.req, true)); closed {
		d.release(p, wire.ReleaseArgs{})
		return sent{failure: &backend.Error{Kind: backend.KindBusy, Ran: outcome.RanNo, Message: "quiet hours are too near"}}, true
	}
	if ctx.Err() != nil || !d.Claims.MarkSent(claim) {
		d.release(p, wire.ReleaseArgs{})
		return sent{failure: &backend.Error{Kind: backend.KindRejected, Ran: outcome.RanNo, Message: "the caller went away"}}, true
	}
	done := make(chan sent, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(answerWait, time.Until(o.req.Deadline)))
		defer cancel()
		defer context.AfterFunc(d.Life, cancel)()
		done <- d.send(ctx, o, claim, p)
	}()
	select {
	case result := <-done:
		return result, true
	case <-ctx.Done():
		d.Record.Add(o.req.ID, "the caller stopped waiting; the call goes on")
		go d.giveUpUnsent(ctx, claim, done)
		return sent{}, false
	}
}

// giveUpUnsent ends the claim of a call whose caller has gone, if it turns
// out that no replica received it.
func (d *Dispatcher) giveUpUnsent(ctx context.Context, claim *ledger.Claim, done <-chan sent) {
	result := <-done
	if result.failure != nil && result.failure.Ran == outcome.RanNo {
		d.Claims.GiveUp(context.WithoutCancel(ctx), claim)
	}
}

// send sends a claimed call and stores what came of it.
func (d *Dispatcher) send(ctx context.Context, o *onceCall, claim *ledger.Claim, p *place) sent {
	call := o.req.Call
	call.Fencing = claim.Fencing
	call.Once = true
	d.Record.Add(o.req.ID, "sent once to replica %s", p.replica.ID)
	reply, err := d.do(ctx, o.req, call, p)
	if err == nil {
		d.release(p, wire.ReleaseArgs{Tokens: callTokens})
		bill := callBill(o.req)
		if !d.Claims.Finish(ctx, claim, &reply, &bill) {
			d.Bills.Add(ctx, bill)
		}
		d.Record.Add(o.req.ID, "answered by service %s, billed once under this identity", o.req.Service)
		return sent{reply: &reply}
	}
	failure := backendError(err)
	d.release(p, wire.ReleaseArgs{Failed: failure.Kind})
	d.Record.Add(o.req.ID, "replica %s failed: %s", p.replica.ID, failure)
	if failure.Ran == outcome.RanNo {
		d.Claims.UnmarkSent(claim)
	} else {
		d.Claims.Finish(context.WithoutCancel(ctx), claim, nil, nil)
	}
	return sent{failure: failure}
}
