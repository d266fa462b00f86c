package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/probe"
)

const (
	// firstEventShare is the share of the target within which the first event
	// must arrive before another server is tried. The rest is left for that
	// server.
	firstEventShare = 0.5
	// minFirstEventWait is the least wait that this share gives. The largest
	// model reads a cold prompt in about a second.
	minFirstEventWait = 1200 * time.Millisecond
	// expectedWaitFactor multiplies the expected time to the first event. The
	// product is added to that wait, since load information is up to two
	// seconds old.
	expectedWaitFactor = 3
	// pauseShare is the share of the route's longest pause after which a stream
	// without progress is resumed at another server.
	pauseShare = 0.85
	// minPauseWait prevents short pauses from moving streams.
	minPauseWait = 700 * time.Millisecond
)

// errStalled means that a server sent nothing for too long.
var errStalled = errors.New("server sent nothing for too long")

// streamState is the state of a stream across its attempts.
type streamState struct {
	model int // index in the route's models
	// value is what the answer is worth, nil until an answer was weighed by it.
	value     *answerValue
	lastEvent string // ID of the newest event with an ID that the caller has received
	// isUnnumbered is set if the newest event that the caller has received has no
	// ID, so that no server can continue after it.
	isUnnumbered atomic.Bool
	watch        *stallWatch
	// endTrial ends the trial of a suspected prompt part; it may be called again.
	endTrial func()
	// silent is the last server that was given up because it sent nothing. It may
	// still work.
	silent      *pool.Member
	silentModel string
	// isReturn is set for the last attempt, at a server that was given up before.
	isReturn bool
}

// serveStream serves a request whose answer is a series of events.
func (x *exchange) serveStream(ctx context.Context) {
	s := &streamState{lastEvent: x.req.Header.Get(x.f.opts.Headers.LastEventID)}
	if !x.req.Route.IsRepeatable() {
		// A request that may run only once cannot be escalated, so it goes to
		// the largest model.
		s.model = len(x.req.Route.Models) - 1
	}
	cause, retryAfter := "no backend server", noServerRetryAfter
	for x.sends == 0 || x.reserveRetry(ctx) {
		if after, err := x.awaitTrial(ctx, s); err != nil {
			cause, retryAfter = err.Error(), after
			break
		}
		a := x.choose(ctx, x.modelName(s))
		if a == nil {
			s.endTrial()
			break
		}
		done, err := x.attemptStream(ctx, s, a)
		x.finish(a)
		x.endTrial(s)
		if done {
			return
		}
		if err != nil {
			x.addStep(a, err.Error())
			cause, retryAfter = err.Error(), fullServersRetryAfter
		}
		if ctx.Err() != nil || x.hasTooManyConnectFailures() || s.isUnnumbered.Load() {
			break
		}
	}
	if done, err := x.returnToSilentServer(ctx, s); done {
		return
	} else if err != nil {
		cause = err.Error()
	}
	x.refuseUnserved(ctx, cause, retryAfter)
}

// modelName returns the model to ask, or "" if the caller named one.
func (x *exchange) modelName(s *streamState) string {
	models := x.req.Route.Models
	if len(models) == 0 || x.req.Header.Get(x.f.opts.Headers.Model) != AnyModel {
		return ""
	}
	return models[min(s.model, len(models)-1)]
}

// attemptStream sends the request to one server and forwards its events. It
// returns true if the request has its final answer.
func (x *exchange) attemptStream(ctx context.Context, s *streamState, a *attempt) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	isLast := x.sends+1 >= x.req.Route.MaxAttempts
	canMove := func() bool { return !isLast && !s.isReturn && !s.isUnnumbered.Load() && x.reserveMove(a.member) }
	s.watch = newStallWatch(a.member, x.probeDial(a), x.firstEventWait(a), canMove, func() { cancel(errStalled) })
	defer s.watch.stop()
	x.f.starting.add(a, x.req, func() { cancel(errQuarantined) })
	defer x.f.starting.remove(a)
	if x.f.isQuarantined(x.req) {
		return false, errQuarantined
	}
	res, err := x.send(ctx, a, s.lastEvent)
	if res != resultAnswered {
		return false, x.recordStreamFailure(ctx, s, a, err)
	}
	if a.resp.StatusCode != http.StatusOK {
		return x.handleNonStream(ctx, a)
	}
	if x.started && !x.continues(a) {
		x.recordFailure(a)
		x.observe(a, true)
		return false, errors.Errorf("server continued the stream as %q", a.resp.Header.Get("Content-Type"))
	}
	if x.escalate(ctx, s, a) {
		return false, nil
	}
	return x.forwardEvents(ctx, s, a)
}

// firstEventWait returns how long a server may take for the first event. If
// prompts wait at all servers, another server would not answer sooner, and it
// would have to read a partly read prompt again.
func (x *exchange) firstEventWait(a *attempt) time.Duration {
	expected := a.expectedWait + time.Duration(a.speed*float64(a.pendingPrefill)) + x.f.opts.Pool.MeanWait(x.req.Service, a.began)
	return max(time.Duration(firstEventShare*float64(x.req.Route.Target)), minFirstEventWait) + expectedWaitFactor*expected
}

// pauseWait returns how long a server may take between two events.
func (x *exchange) pauseWait() time.Duration {
	return max(time.Duration(pauseShare*float64(x.req.Route.MaxPause)), minPauseWait)
}

// recordStreamFailure returns the cause of a failed attempt. A stall is also
// recorded as a failure of the server.
func (x *exchange) recordStreamFailure(ctx context.Context, s *streamState, a *attempt, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		s.silent, s.silentModel = a.member, a.model
		x.recordFailure(a)
		x.observe(a, true)
		return errStalled
	}
	return err
}

// handleNonStream handles an answer with a status other than 200.
func (x *exchange) handleNonStream(ctx context.Context, a *attempt) (bool, error) {
	status := a.resp.StatusCode
	if status >= http.StatusInternalServerError {
		x.recordFailure(a)
		x.observe(a, true)
		if x.req.Route.IsRepeatable() && ctx.Err() == nil && x.sends < x.req.Route.MaxAttempts && x.f.opts.Budget.RemainingShare(x.req.Service, time.Now()) > 0.1 && x.reserveNext(ctx, a.model) {
			return false, errors.Errorf("server answered %d", status)
		}
	}
	if x.started {
		return false, errors.Errorf("server answered %d", status)
	}
	body, err := x.readBody(ctx, a)
	if err != nil {
		return false, errors.Wrap(err, "answer broke off")
	}
	x.addStep(a, "answered "+strconv.Itoa(status))
	x.writeAnswer(a, body)
	return true, nil
}

// continues reports whether an answer may continue the stream whose header was
// sent: it is an event stream, or of the same type as the stream.
func (x *exchange) continues(a *attempt) bool {
	kind := mediaType(a.resp.Header)
	return kind == "text/event-stream" || kind == mediaType(x.w.Header())
}

// mediaType returns the media type of a body without its parameters.
func mediaType(h http.Header) string {
	t, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// forwardEvents forwards complete events until the stream ends.
func (x *exchange) forwardEvents(ctx context.Context, s *streamState, a *attempt) (bool, error) {
	held := x.holdAnswer(a)
	events := &eventReader{src: a.resp.Body, hold: func(n int64) error { return held.grow(ctx, n) }}
	isFirst, lastContent, bytesWithoutContent := true, time.Now(), 0
	var preamble []byte // bytes received before the first content of this server
	for {
		e, err := events.next()
		if err == nil && !e.hasContent {
			if bytesWithoutContent += len(e.raw); bytesWithoutContent > maxBytesWithoutContent {
				err = errNoContent
			}
		}
		if err != nil {
			return x.handleStreamEnd(ctx, s, a, err, !isFirst)
		}
		if !e.hasContent {
			if isFirst {
				if err := held.grow(ctx, int64(len(e.raw))); err != nil {
					return x.handleStreamEnd(ctx, s, a, err, false)
				}
				preamble = append(preamble, e.raw...)
			} else if !x.writeEvent(e.raw) {
				return x.recordCallerLeft(a)
			}
			continue
		}
		bytesWithoutContent = 0
		if isFirst {
			isFirst = false
			a.finishPrefill()
			x.f.readSpeeds.observe(a.model, a.uncachedTokens, time.Since(a.began))
			x.observe(a, false)
			x.startStream(a)
			x.f.starting.remove(a)
			a.firstEvent = time.Now()
		}
		if x.recordSurvival(a) {
			s.endTrial()
		}
		s.watch.recordProgress(x.pauseWait())
		now := time.Now()
		if len(s.lastEvent) > 0 {
			x.longestPause = max(x.longestPause, now.Sub(lastContent))
		}
		lastContent = now
		if e.id != "" {
			s.lastEvent = e.id
		}
		s.isUnnumbered.Store(e.id == "")
		raw := e.raw
		if len(preamble) > 0 {
			raw, preamble = append(preamble, raw...), nil
		}
		if !x.writeEvent(raw) {
			return x.recordCallerLeft(a)
		}
	}
}

// recordCallerLeft ends a stream whose caller has disconnected.
func (x *exchange) recordCallerLeft(a *attempt) (bool, error) {
	x.addStep(a, "caller left")
	x.outcome, x.truncated = "caller left", true
	return true, nil
}

// startStream sends the header of the answer, taken from the first server that
// answers.
func (x *exchange) startStream(a *attempt) {
	if x.started {
		return
	}
	x.started, x.status, x.firstByte = true, a.resp.StatusCode, time.Now()
	h := x.w.Header()
	for name, values := range a.resp.Header {
		h[name] = values
	}
	removeHopByHop(h)
	if x.f.opts.ShuttingDown() {
		h.Set("Connection", "close")
	}
	h.Del("Content-Length")
	x.w.WriteHeader(a.resp.StatusCode)
}

// writeEvent writes an event to the caller. It returns false if the caller
// cannot be reached.
func (x *exchange) writeEvent(raw []byte) bool {
	if _, err := x.w.Write(raw); err != nil {
		return false
	}
	return http.NewResponseController(x.w).Flush() == nil
}

// endsWhole reports whether a stream that ended after an event, or without one,
// is whole. A resumed stream may have nothing left to send, but the end of a
// connection alone does not show that.
func (x *exchange) endsWhole(a *attempt, hasContent bool) bool {
	return hasContent || a.resp.ContentLength == 0 || x.started && probe.IsFramed(a.resp)
}

// handleStreamEnd handles the end of one server's stream. hasContent tells
// whether the server sent any.
func (x *exchange) handleStreamEnd(ctx context.Context, s *streamState, a *attempt, err error, hasContent bool) (bool, error) {
	isWhole := isEOF(err) && x.endsWhole(a, hasContent)
	if isWhole {
		if endErr := x.confirmEnd(ctx, a); endErr != nil {
			err, isWhole = endErr, false
		}
	}
	if isWhole {
		a.member.RecordSuccess()
		x.f.opts.Suspects.Cleared(x.req.Fingerprint, x.req.sharedPartIDs, time.Now())
		x.startStream(a)
		x.addStep(a, "complete")
		x.outcome = "answered"
		return true, nil
	}
	cause := context.Cause(ctx)
	isServersFault := cause == nil && !errors.Is(err, ErrRelayLost)
	if isServersFault || errors.Is(cause, errStalled) {
		x.recordFailure(a)
		x.observe(a, true)
		if isServersFault {
			x.recordBreak(a)
		}
	}
	if errors.Is(cause, errStalled) {
		s.silent, s.silentModel = a.member, a.model
		return false, errStalled
	}
	return false, errors.Wrap(err, "stream broke off after event "+strconv.Quote(s.lastEvent))
}
