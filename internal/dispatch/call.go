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

// callTokens is what a plain service's call counts in tokens for fairness.
const callTokens = 20

// CallRequest asks a plain service for one call.
type CallRequest struct {
	Request
	// Service is the service's name.
	Service string
	// Call is what to send.
	Call backend.Call
}

// Once tells whether a service's call may not be repeated. A slash at the end
// of the path makes no difference, since many services pass over it.
func Once(s *config.Service, method, path string) bool {
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

// Call serves one request to a plain service.
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
	if Once(s, req.Call.Method, req.Call.Path) {
		return d.callOnce(ctx, req)
	}
	return d.callRepeatable(ctx, req)
}

// callRepeatable tries replicas until one answers.
func (d *Dispatcher) callRepeatable(ctx context.Context, req *CallRequest) (*backend.Reply, error) {
	var excluded []string
	ran := outcome.RanNo
	for n := 1; ; n++ {
		p, err := d.acquire(ctx, &req.Request, d.callWish(req, excluded, false))
		if err != nil {
			refusal := outcome.AsRefusal(err)
			refusal.Ran = outcome.Worse(refusal.Ran, ran)
			return nil, refusal
		}
		if _, closed := d.quietAt(callScope(req, p), d.callLength(req, false)); closed {
			d.release(p, wire.ReleaseArgs{})
			excluded = append(excluded, p.replica.ID)
			continue
		}
		start := time.Now()
		reply, err := d.do(ctx, req, req.Call, p)
		if errors.Is(err, errQuietHours) {
			d.release(p, wire.ReleaseArgs{})
			d.Record.Add(req.ID, "stopped on replica %s: quiet hours began", p.replica.ID)
			ran = outcome.Worse(ran, outcome.RanMaybe)
			continue
		}
		if err == nil {
			d.pace.called(req.Service, time.Since(start))
			d.release(p, wire.ReleaseArgs{Tokens: callTokens})
			d.bill(ctx, req)
			return &reply, nil
		}
		failure := backendError(err)
		d.release(p, wire.ReleaseArgs{Failed: failure.Kind})
		ran = outcome.Worse(ran, failure.Ran)
		d.Record.Add(req.ID, "replica %s failed: %s", p.replica.ID, failure)
		excluded = append(excluded, p.replica.ID)
		if ctx.Err() != nil || !failure.Retryable() || !d.retry(ctx, &req.Request, n) {
			return nil, &outcome.Refusal{Code: outcome.CodeBackendFailed, Ran: ran, RetryAfter: jitter(minRetryAfter), Message: "the backend server failed and no retry was left: send the request again"}
		}
	}
}

func (d *Dispatcher) callWish(req *CallRequest, excluded []string, once bool) wish {
	return wish{pool: req.Service, tokens: callTokens, excluded: excluded, deadline: req.Deadline, length: d.callLength(req, once)}
}

// callLength estimates how long the call takes.
func (d *Dispatcher) callLength(req *CallRequest, once bool) time.Duration {
	return d.pace.callLength(req.Service, once, time.Until(req.Deadline))
}

func callScope(req *CallRequest, p *place) rollout.Scope {
	return rollout.Scope{DataCentre: p.replica.DataCentre, Pool: p.replica.Pool, Organisation: req.Organisation}
}

// do sends a call, and ends it with errQuietHours when quiet hours reach it.
func (d *Dispatcher) do(ctx context.Context, req *CallRequest, call backend.Call, p *place) (backend.Reply, error) {
	ctx, stop := d.untilQuiet(ctx, callScope(req, p))
	defer stop()
	reply, err := d.Dialer.Service(p.replica.Address).Do(ctx, call)
	if err != nil && context.Cause(ctx) == errQuietHours {
		return reply, errors.Wrap(errQuietHours, err.Error())
	}
	return reply, err
}

func (d *Dispatcher) bill(ctx context.Context, req *CallRequest) {
	d.Bills.Add(ctx, callBill(req))
	d.Record.Add(req.ID, "answered by service %s, billed once under this identity", req.Service)
}

func callBill(req *CallRequest) wire.Bill {
	return wire.Bill{Request: req.ID, Organisation: req.Organisation, Service: req.Service, At: time.Now()}
}
