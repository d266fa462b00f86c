package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// firstEventShare is the share of the target within which the first event
	// must come before another server is asked; the rest is for that one.
	firstEventShare = 0.5
	// leastFirstEvent is the least such wait: a cold prompt of the largest
	// model takes about a second to read.
	leastFirstEvent = 1200 * time.Millisecond
	// expectedFactor is how many times longer than expected a first event may
	// take beyond that: what is known of waits is up to two seconds old.
	expectedFactor = 3
	// pauseShare is the share of the longest pause in time after which a stream
	// that made no progress is resumed elsewhere.
	pauseShare = 0.85
	// leastPause keeps short pauses from moving streams.
	leastPause = 700 * time.Millisecond
)

// errStalled means that a server kept silent for too long.
var errStalled = errors.New("server is silent")

// streaming is the state of a stream over all its attempts.
type streaming struct {
	model     int    // index in the route's models
	lastEvent string // newest event that the caller has
	watch     *watch
}

// stream serves a request whose answer is a series of events.
func (x *exchange) stream(ctx context.Context) {
	s := &streaming{lastEvent: x.q.Header.Get(x.f.o.Headers.LastEventID)}
	if !x.q.Route.Repeatable() {
		// A request that runs once cannot be asked again of a larger model.
		s.model = len(x.q.Route.Models) - 1
	}
	reason, after := "no backend server", emptyReturn
	for x.sends == 0 || x.mayRetry(ctx) {
		a := x.choose(x.modelName(s))
		if a == nil {
			break
		}
		done, err := x.streamOnce(ctx, s, a)
		x.finish(a)
		if done {
			return
		}
		if err != nil {
			x.note(a, err.Error())
			reason, after = err.Error(), fullReturn
		}
		if ctx.Err() != nil || x.connectFailures() || !x.q.Route.Repeatable() && x.mayHaveRun {
			break
		}
	}
	x.giveUp(ctx, reason, after)
}

// modelName returns the model to ask, or "" where the caller named one.
func (x *exchange) modelName(s *streaming) string {
	models := x.q.Route.Models
	if len(models) == 0 || x.q.Header.Get(x.f.o.Headers.Model) != AnyModel {
		return ""
	}
	return models[min(s.model, len(models)-1)]
}

// streamOnce sends the request to one server and passes its events on. It
// returns true if the request has its final answer.
func (x *exchange) streamOnce(ctx context.Context, s *streaming, a *attempt) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.watch = newWatch(a.member, x.f.o.Dial, x.firstEventWait(a), x.mayMove, func() { cancel(errStalled) })
	defer s.watch.stop()
	res, err := x.send(ctx, a, s.lastEvent)
	if res != answered {
		return false, x.streamFailed(ctx, a, err)
	}
	if a.resp.StatusCode != http.StatusOK {
		return x.streamRefused(ctx, a)
	}
	if x.escalate(s, a) {
		return false, nil
	}
	return x.pump(ctx, s, a)
}

// firstEventWait is how long a server may take for the first event. While
// prompts wait at all servers, another one would not be sooner, and a prompt
// that was read in part is read again.
func (x *exchange) firstEventWait(a *attempt) time.Duration {
	expected := a.wait + a.unread + x.f.o.Pool.MeanWait(x.q.Service, a.began)
	return max(time.Duration(firstEventShare*float64(x.q.Route.Target)), leastFirstEvent) + expectedFactor*expected
}

// mayMove tells whether another server may still be tried for a stream.
func (x *exchange) mayMove() bool {
	now := time.Now()
	return x.q.Route.Repeatable() && x.sends < x.q.Route.MaxAttempts && x.q.Deadline.Sub(now) > leastLeft &&
		x.f.o.Budget.Left(x.q.Service, now) > 0
}

// leastLeft is the time left below which a stream is not moved any more.
const leastLeft = 200 * time.Millisecond

// pauseWait is how long a server may take between two events.
func (x *exchange) pauseWait() time.Duration {
	return max(time.Duration(pauseShare*float64(x.q.Route.MaxPause)), leastPause)
}

// streamFailed names the cause of a failure and notes it at the server.
func (x *exchange) streamFailed(ctx context.Context, a *attempt, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		x.fail(a)
		x.observe(a, true)
		return errStalled
	}
	return err
}

// streamRefused handles a whole answer other than a stream.
func (x *exchange) streamRefused(ctx context.Context, a *attempt) (bool, error) {
	s := a.resp.StatusCode
	if s >= http.StatusInternalServerError {
		x.fail(a)
		x.observe(a, true)
		if x.q.Route.Repeatable() && ctx.Err() == nil && x.sends < x.q.Route.MaxAttempts && x.f.o.Budget.Left(x.q.Service, time.Now()) > 0.1 {
			return false, errors.Errorf("server answered %d", s)
		}
	}
	if x.started {
		return false, errors.Errorf("server answered %d", s)
	}
	body, err := x.readBody(a.resp)
	if err != nil {
		return false, errors.Wrap(err, "answer broke off")
	}
	x.note(a, "answered "+strconv.Itoa(s))
	x.answer(a, body)
	return true, nil
}

// escalate tells whether the answer is dropped for one of a larger model, and
// sets the model.
func (x *exchange) escalate(s *streaming, a *attempt) bool {
	models := x.q.Route.Models
	last := len(models) - 1
	if a.model == "" || x.started || s.model >= last {
		return false
	}
	confidence, err := strconv.ParseFloat(a.resp.Header.Get(x.f.o.Headers.Confidence), 64)
	now := time.Now()
	larger := largerStep{model: x.f.modelOf(x.q.Service, models[last]), left: x.q.Route.Target - now.Sub(x.q.Arrived)}
	if m, read := x.f.o.Pool.Choose(x.query(models[last], now), now); m != nil {
		larger.read, larger.wait = read, m.Wait(now)
	}
	if err != nil || x.f.cascade.Accept(confidence, x.q, larger) {
		return false
	}
	if x.sends >= x.q.Route.MaxAttempts || x.f.o.Budget.Left(x.q.Service, now) < escalationReserve {
		return false
	}
	s.model = last
	// Another model is another request to a server: it may be the same one.
	x.tried = x.tried[:len(x.tried)-1]
	x.note(a, "dropped at confidence "+strconv.FormatFloat(confidence, 'f', 0, 64))
	return true
}

// escalationReserve is the share of the retry budget that is kept for requests
// that would fail without it.
const escalationReserve = 0.15

// pump passes whole events on until the stream ends.
func (x *exchange) pump(ctx context.Context, s *streaming, a *attempt) (bool, error) {
	events := &eventReader{src: a.resp.Body}
	first, last, idle := true, time.Now(), 0
	var lead []byte // what came before the first content
	for {
		e, err := events.next()
		if err == nil && !e.hasContent {
			if idle += len(e.raw); idle > maxIdleBytes {
				err = errNoContent
			}
		}
		if err != nil {
			return x.streamEnded(ctx, s, a, err)
		}
		if !e.hasContent {
			if !x.started {
				lead = append(lead, e.raw...)
			} else if !x.pass(e.raw) {
				return x.callerLeft(a)
			}
			continue
		}
		idle = 0
		if first {
			first = false
			a.prefilled()
			x.f.speeds.observe(a.model, a.tokens, time.Since(a.began))
			x.observe(a, false)
			x.startStream(a)
		}
		s.watch.progress(x.pauseWait())
		now := time.Now()
		if len(s.lastEvent) > 0 {
			x.longestPause = max(x.longestPause, now.Sub(last))
		}
		last = now
		if e.id != "" {
			s.lastEvent = e.id
		}
		raw := e.raw
		if len(lead) > 0 {
			raw, lead = append(lead, raw...), nil
		}
		if !x.pass(raw) {
			return x.callerLeft(a)
		}
	}
}

// callerLeft ends a stream that nobody reads.
func (x *exchange) callerLeft(a *attempt) (bool, error) {
	x.note(a, "caller left")
	x.outcome, x.torn = "caller left", true
	return true, nil
}

// startStream sends the header of the answer, that of its first server.
func (x *exchange) startStream(a *attempt) {
	if x.started {
		return
	}
	x.started, x.status, x.firstByte = true, a.resp.StatusCode, time.Now()
	h := x.w.Header()
	for name, values := range a.resp.Header {
		h[name] = values
	}
	dropHopByHop(h)
	if x.f.o.Stopping() {
		h.Set("Connection", "close")
	}
	h.Del("Content-Length")
	x.w.WriteHeader(a.resp.StatusCode)
}

// pass writes an event to the caller.
func (x *exchange) pass(raw []byte) bool {
	if _, err := x.w.Write(raw); err != nil {
		return false
	}
	return http.NewResponseController(x.w).Flush() == nil
}

// streamEnded handles the end of one server's stream.
func (x *exchange) streamEnded(ctx context.Context, s *streaming, a *attempt, err error) (bool, error) {
	if isEOF(err) && (x.started || a.resp.ContentLength == 0) {
		a.member.Succeed()
		x.f.o.Suspects.Cleared(x.q.Fingerprint, time.Now())
		x.startStream(a)
		x.note(a, "complete")
		x.outcome = "answered"
		return true, nil
	}
	x.mayHaveRun = true
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errStalled) {
		x.fail(a)
		x.observe(a, true)
		if cause == nil {
			x.f.suspectCrash(x.q.Fingerprint, a.member)
		}
	}
	if errors.Is(cause, errStalled) {
		return false, errStalled
	}
	return false, errors.Wrap(err, "stream broke off after event "+strconv.Quote(s.lastEvent))
}
