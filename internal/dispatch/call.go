package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// callTokens is the number of tokens that a service call counts for in fair
// sharing.
const callTokens = 20

// CallRequest is one call to a plain service.
type CallRequest struct {
	Request
	// Service is the name of the service.
	Service string
	// Call is the call to send.
	Call backend.Call
}

// IsOnceCall reports whether a call to the service must not be repeated. A trailing
// slash in the path is ignored, because many services ignore it.
func IsOnceCall(s *config.Service, method, path string) bool {
	path = strings.TrimRight(path, "/")
	for _, call := range s.OnceCalls {
		m, pattern, _ := strings.Cut(call, " ")
		if m != method {
			continue
		}
		prefix, wildcard := strings.CutSuffix(pattern, "*")
		if path == strings.TrimRight(pattern, "/") || (wildcard && strings.HasPrefix(path+"/", prefix)) {
			return true
		}
	}
	return false
}

// Call runs one request to a plain service.
func (d *Dispatcher) Call(ctx context.Context, req *CallRequest) (*backend.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s := d.Config.Current().Config.Services[req.Service]
	if s == nil {
		return nil, outcome.Refuse(outcome.CodeNotFound, 0, "there is no service %q: check the path", req.Service)
	}
	if err := d.admit(&req.Request); err != nil {
		return nil, err
	}
	if IsOnceCall(s, req.Call.Method, req.Call.Path) {
		return d.callOnce(ctx, req)
	}
	return d.callRepeatable(ctx, req)
}

// callRepeatable tries replicas until one answers, as far as the retry budget
// allows.
func (d *Dispatcher) callRepeatable(ctx context.Context, req *CallRequest) (*backend.Reply, error) {
	var excluded []string
	ran := outcome.RanNo
	for n := 1; ; n++ {
		sl, err := d.acquire(ctx, &req.Request, d.callSlotRequest(req, excluded, false))
		if err != nil {
			refusal := outcome.AsRefusal(err)
			refusal.Ran = outcome.Worse(refusal.Ran, ran)
			return nil, refusal
		}
		if _, closed := d.quietAt(callScope(req, sl), d.callDuration(req, false)); closed {
			d.release(sl, wire.ReleaseArgs{})
			excluded = append(excluded, sl.replica.ID)
			continue
		}
		start := time.Now()
		reply, err := d.sendCall(ctx, req, req.Call, sl)
		if errors.Is(err, errQuietHours) {
			d.release(sl, wire.ReleaseArgs{})
			d.Record.Add(req.ID, "stopped on replica %s: quiet hours began", sl.replica.ID)
			ran = outcome.Worse(ran, outcome.RanMaybe)
			continue
		}
		if err == nil {
			d.durations.recordCall(req.Service, time.Since(start))
			d.release(sl, wire.ReleaseArgs{Tokens: callTokens})
			d.billCall(ctx, req)
			return &reply, nil
		}
		failure := backendError(err)
		d.release(sl, wire.ReleaseArgs{Failed: failure.Kind})
		ran = outcome.Worse(ran, failure.Ran)
		d.Record.Add(req.ID, "replica %s failed: %s", sl.replica.ID, failure)
		excluded = append(excluded, sl.replica.ID)
		if ctx.Err() != nil || !failure.Retryable() || !d.spendRetry(ctx, &req.Request, n) {
			return nil, &outcome.Refusal{Code: outcome.CodeBackendFailed, Ran: ran, RetryAfter: jitter(minRetryAfter), Message: "the backend server failed and no retry was left: send the request again"}
		}
	}
}

func (d *Dispatcher) callSlotRequest(req *CallRequest, excluded []string, once bool) slotRequest {
	return slotRequest{pool: req.Service, tokens: callTokens, excluded: excluded, deadline: req.Deadline, duration: d.callDuration(req, once)}
}

// callDuration estimates how long the call takes.
func (d *Dispatcher) callDuration(req *CallRequest, once bool) time.Duration {
	return d.durations.callDuration(req.Service, once, time.Until(req.Deadline))
}

// callScope returns the quiet-hours scope of a call on a granted slot.
func callScope(req *CallRequest, sl *slot) rollout.Scope {
	return rollout.Scope{DataCentre: sl.replica.DataCentre, Pool: sl.replica.Pool, Organisation: req.Organisation}
}

// sendCall sends a call to the replica of a slot. It cancels the call with
// errQuietHours when quiet hours begin there.
func (d *Dispatcher) sendCall(ctx context.Context, req *CallRequest, call backend.Call, sl *slot) (backend.Reply, error) {
	ctx, stop := d.untilQuiet(ctx, callScope(req, sl))
	defer stop()
	reply, err := d.Dialer.Service(sl.replica.Address).Do(ctx, call)
	if err != nil && context.Cause(ctx) == errQuietHours {
		return reply, errors.Wrap(errQuietHours, err.Error())
	}
	return reply, err
}

func (d *Dispatcher) billCall(ctx context.Context, req *CallRequest) {
	d.Bills.Add(ctx, callBill(req))
	d.Record.Add(req.ID, "answered by service %s, billed once under this identity", req.Service)
}

func callBill(req *CallRequest) wire.Bill {
	return wire.Bill{Request: req.ID, Organisation: req.Organisation, Service: req.Service, At: time.Now()}
}
