package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

const (
	// maxPlainBody bounds a plain answer in bytes. Plain answers are buffered
	// completely before the first byte is forwarded.
	maxPlainBody = 8 << 20
	// attemptTimeoutFactor is how many times its target a repeatable request
	// waits for one server before it is sent to another.
	attemptTimeoutFactor = 1.5
	// minAttemptTimeout prevents a short target from repeating requests that
	// are nearly done.
	minAttemptTimeout = 100 * time.Millisecond
)

// servePlain serves a request whose answer is a single body.
func (x *exchange) servePlain(ctx context.Context) {
	cause, retryAfter := "no backend server", noServerRetryAfter
	for x.sends == 0 || x.reserveRetry(ctx) {
		a := x.choose(ctx, "")
		if a == nil || x.f.isQuarantined(x.req) {
			break
		}
		res, body, err := x.fetch(ctx, a)
		x.finish(a)
		if res == resultAnswered && (a.resp.StatusCode < http.StatusInternalServerError || !x.shouldRepeatFailure(ctx, a)) {
			x.addStep(a, "answered "+strconv.Itoa(a.resp.StatusCode))
			x.writeAnswer(a, body)
			return
		}
		if err == nil {
			err = errors.Errorf("server answered %d, retried", a.resp.StatusCode)
		}
		x.addStep(a, err.Error())
		cause, retryAfter = err.Error(), fullServersRetryAfter
		if ctx.Err() != nil || x.hasTooManyConnectFailures() {
			break
		}
	}
	x.refuseUnserved(ctx, cause, retryAfter)
}

// hasTooManyConnectFailures reports whether too many servers could not be
// reached.
func (x *exchange) hasTooManyConnectFailures() bool { return len(x.tried) >= x.req.Route.MaxAttempts+2 }

// shouldRepeatFailure reports whether a server's own failure is worth a retry.
// It also records the failure for the version.
func (x *exchange) shouldRepeatFailure(ctx context.Context, a *attempt) bool {
	x.observe(a, true)
	return x.req.Route.Kind == route.Idempotent && ctx.Err() == nil && x.sends < x.req.Route.MaxAttempts &&
		x.f.opts.Budget.RemainingShare(x.req.Service, time.Now()) > 0.1 && x.reserveNext(ctx, "")
}

// fetch sends the request and reads the complete answer.
func (x *exchange) fetch(ctx context.Context, a *attempt) (result, []byte, error) {
	if x.req.Route.IsRepeatable() && x.sends+1 < x.req.Route.MaxAttempts {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		timer := time.AfterFunc(max(time.Duration(attemptTimeoutFactor*float64(x.req.Route.Target)), minAttemptTimeout), func() {
			if x.reserveMove(a.member) {
				cancel(errStalled)
			}
		})
		defer timer.Stop()
	}
	res, err := x.send(ctx, a, "")
	if res != resultAnswered {
		return res, nil, err
	}
	body, err := x.readBody(ctx, a)
	if err == nil {
		if a.resp.StatusCode < http.StatusInternalServerError {
			a.member.RecordSuccess()
			x.observe(a, false)
			x.f.opts.Suspects.Cleared(x.req.Fingerprint, nil, time.Now())
		}
		return resultAnswered, body, nil
	}
	if !errors.Is(err, ErrRelayLost) {
		x.recordFailure(a)
		x.observe(a, true)
		if ctx.Err() == nil {
			x.recordBreak(a)
		}
	}
	return resultUnknown, nil, errors.Wrap(err, "answer broke off")
}

// observe reports the result of an answer to the analysis of roll-outs.
func (x *exchange) observe(a *attempt, isFailure bool) {
	x.f.opts.Versions.Observe(a.member.Service, a.member.Version, Observation{
		Session: x.req.Session, Bad: isFailure, Latency: time.Since(a.began), Model: a.model, Route: x.req.Route.Name,
	}, time.Now())
}

// writeAnswer forwards a complete answer unchanged.
func (x *exchange) writeAnswer(a *attempt, body []byte) {
	x.started, x.status, x.outcome = true, a.resp.StatusCode, "answered"
	x.firstByte = time.Now()
	h := x.w.Header()
	for name, values := range a.resp.Header {
		h[name] = values
	}
	removeHopByHop(h)
	if x.f.opts.ShuttingDown() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(a.resp.StatusCode)
	if _, err := x.w.Write(body); err != nil {
		x.outcome = "caller left"
	}
}

// readBody reads a complete answer. Its bytes count as held until the exchange ends or another
// answer is read.
func (x *exchange) readBody(ctx context.Context, a *attempt) ([]byte, error) {
	body, err := x.holdAnswer(a).readAll(ctx, io.LimitReader(a.resp.Body, maxPlainBody+1), a.resp.ContentLength)
	if err == nil && len(body) > maxPlainBody {
		err = errors.Errorf("answer is longer than %d bytes", maxPlainBody)
	}
	if err == nil {
		err = x.confirmEnd(ctx, a)
	}
	return body, err
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }
