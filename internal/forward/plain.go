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
	// maxPlainBody bounds a plain answer, which is held whole before its first
	// byte is passed on.
	maxPlainBody = 8 << 20
	// maxHeldBodies bounds all answers that a node holds at once in bytes; the
	// smallest nodes have 184 MB of memory for everything.
	maxHeldBodies = 32 << 20
	// patience is how many times its target a repeatable request waits for one
	// server before it asks another.
	patience = 1.5
	// leastPatience keeps a short target from repeating what is nearly done.
	leastPatience = 100 * time.Millisecond
)

// plain serves a request whose answer is one body.
func (x *exchange) plain(ctx context.Context) {
	reason, after := "no backend server", emptyReturn
	for x.sends == 0 || x.mayRetry(ctx) {
		a := x.choose("")
		if a == nil {
			break
		}
		res, body, err := x.fetch(ctx, a)
		x.finish(a)
		if res == answered && (a.resp.StatusCode < http.StatusInternalServerError || !x.repeatFailure(ctx, a)) {
			x.note(a, "answered "+strconv.Itoa(a.resp.StatusCode))
			x.answer(a, body)
			return
		}
		if err == nil {
			err = errors.Errorf("server answered %d, asked again", a.resp.StatusCode)
		}
		x.note(a, err.Error())
		reason, after = err.Error(), fullReturn
		if res == unknown && !x.q.Route.Repeatable() {
			break
		}
		if ctx.Err() != nil || x.connectFailures() {
			break
		}
	}
	x.giveUp(ctx, reason, after)
}

// connectFailures tells whether too many servers could not be reached.
func (x *exchange) connectFailures() bool { return len(x.tried) >= x.q.Route.MaxAttempts+2 }

// repeatFailure tells whether a server's own failure is worth another attempt.
func (x *exchange) repeatFailure(ctx context.Context, a *attempt) bool {
	x.observe(a, true)
	return x.q.Route.Kind == route.Idempotent && ctx.Err() == nil && x.sends < x.q.Route.MaxAttempts &&
		x.f.o.Budget.Left(x.q.Service, time.Now()) > 0.1
}

// fetch sends the request and reads the whole answer.
func (x *exchange) fetch(ctx context.Context, a *attempt) (result, []byte, error) {
	if x.q.Route.Repeatable() && x.sends+1 < x.q.Route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(time.Duration(patience*float64(x.q.Route.Target)), leastPatience))
		defer cancel()
	}
	res, err := x.send(ctx, a, "")
	if res != answered {
		return res, nil, err
	}
	body, err := x.readBody(a.resp)
	if err == nil {
		if a.resp.StatusCode < http.StatusInternalServerError {
			a.member.Succeed()
			x.observe(a, false)
			x.f.o.Suspects.Cleared(x.q.Fingerprint, time.Now())
		}
		return answered, body, nil
	}
	x.mayHaveRun = true
	x.fail(a)
	x.observe(a, true)
	if ctx.Err() == nil {
		x.f.suspectCrash(x.q.Fingerprint, a.member)
	}
	return unknown, nil, errors.Wrap(err, "answer broke off")
}

// observe tells the roll-outs how an answer went.
func (x *exchange) observe(a *attempt, bad bool) {
	x.f.o.Versions.Observe(a.member.Service, a.member.Version, Observation{
		Session: x.q.Session, Bad: bad, Latency: time.Since(a.began), Model: a.model, Route: x.q.Route.Name,
	}, time.Now())
}

// answer passes a whole answer on, unchanged.
func (x *exchange) answer(a *attempt, body []byte) {
	x.started, x.status, x.outcome = true, a.resp.StatusCode, "answered"
	x.firstByte = time.Now()
	h := x.w.Header()
	for name, values := range a.resp.Header {
		h[name] = values
	}
	dropHopByHop(h)
	if x.f.o.Stopping() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(a.resp.StatusCode)
	if _, err := x.w.Write(body); err != nil {
		x.outcome = "caller left"
	}
}

// errBodiesHeld means that a node holds too many unfinished answers.
var errBodiesHeld = errors.Errorf("answers under way are longer than %d bytes together", maxHeldBodies)

// readBody reads a whole answer, which counts as held until the exchange ends.
func (x *exchange) readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(heldReader{resp.Body, x}, maxPlainBody+1))
	if err == nil && len(body) > maxPlainBody {
		err = errors.Errorf("answer is longer than %d bytes", maxPlainBody)
	}
	return body, err
}

// heldReader counts what is read towards the node's bound.
type heldReader struct {
	src io.Reader
	x   *exchange
}

// Read implements io.Reader.
func (r heldReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	r.x.held += int64(n)
	if r.x.f.held.Add(int64(n)) > maxHeldBodies {
		return n, errBodiesHeld
	}
	return n, err
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }
