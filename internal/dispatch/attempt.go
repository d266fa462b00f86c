package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// attempt runs one attempt on a granted slot. It returns the final frame, or
// true if another attempt should follow.
func (d *Dispatcher) attempt(ctx context.Context, a *answer, sl *slot) (backend.Frame, bool, error) {
	rev := d.Config.Current()
	if !routing.IsAllowed(rev, a.req.Organisation, a.target) {
		d.release(sl, wire.ReleaseArgs{})
		d.Record.Add(a.req.ID, "version %s is no longer allowed: choosing again", a.target)
		return backend.Frame{}, true, nil
	}
	if err := d.refuseQuarantined(a); err != nil {
		d.release(sl, wire.ReleaseArgs{})
		return backend.Frame{}, false, err
	}
	if _, closed := d.quietAt(answerScope(a, sl), d.answerDuration(a, a.target)); closed {
		d.release(sl, wire.ReleaseArgs{})
		a.excluded = append(a.excluded, sl.replica.ID)
		d.Record.Add(a.req.ID, "quiet hours are too close at replica %s: choosing again", sl.replica.ID)
		return backend.Frame{}, true, nil
	}
	d.Record.Add(a.req.ID, "attempt on replica %s, version %s, from token %d, revision %d", sl.replica.ID, a.target, a.offset, rev.Number)
	start, offset := time.Now(), a.offset
	var first time.Duration
	final, paused, err := d.stream(ctx, a, sl, func() { first = time.Since(start) })
	used := wire.ReleaseArgs{Tokens: a.offset - offset, FirstToken: first}
	if n := a.offset - offset; n > 1 {
		used.TokenInterval = (time.Since(start) - first) / time.Duration(n-1)
		d.durations.recordAnswer(a.target, used.TokenInterval)
	}
	switch {
	case err == nil:
		used.Whole = !paused
		if !paused {
			d.clear(a)
		}
		d.release(sl, used)
		if paused {
			a.startedOn, a.wasPaused = startedOn(a, sl), true
			d.Record.Add(a.req.ID, "paused at token %d for more urgent work or quiet hours", a.offset)
		} else {
			d.Observer.AttemptFinished(a.target, true, first, d.firstTokenTarget(a.req.Rank))
		}
		return final, paused, nil
	case ctx.Err() != nil || errors.Is(err, errCallerGone):
		d.release(sl, used)
		return backend.Frame{}, false, &outcome.Refusal{Code: outcome.CodeDeadline, Ran: outcome.Worse(a.ran, backendError(err).Ran), RetryAfter: minRetryAfter, Message: "the deadline passed or the caller went away while the answer was made"}
	}
	if d.Suspects != nil && used.Tokens >= minSurvivalTokens {
		d.clearParts(a)
	}
	return d.handleFailure(ctx, a, sl, used, backendError(err))
}

// startedOn returns the replica that holds the partial answer in its prefix
// cache, or "" if the answer has not started.
func startedOn(a *answer, sl *slot) string {
	if !a.started {
		return ""
	}
	return sl.replica.ID
}

// handleFailure decides whether a failed attempt is followed by another one.
func (d *Dispatcher) handleFailure(ctx context.Context, a *answer, sl *slot, used wire.ReleaseArgs, err *backend.Error) (backend.Frame, bool, error) {
	used.Failed = err.Kind
	if err.Kind == backend.KindBroken {
		d.Observer.AttemptFinished(a.target, false, 0, 0)
	}
	d.release(sl, used)
	a.ran = outcome.Worse(a.ran, err.Ran)
	a.excluded = append(a.excluded, sl.replica.ID)
	a.retries++
	d.Record.Add(a.req.ID, "replica %s failed: %s", sl.replica.ID, err)
	if d.reportCrash(ctx, a, sl, used.Tokens, err) {
		return backend.Frame{}, true, nil
	}
	if err.Retryable() && d.spendRetry(ctx, &a.req.Request, a.retries) {
		return backend.Frame{}, true, nil
	}
	return backend.Frame{}, false, &outcome.Refusal{Code: outcome.CodeBackendFailed, Ran: a.ran, RetryAfter: jitter(minRetryAfter), Message: "the backend server failed and no retry was left: send the request again"}
}

// stream copies the tokens of one attempt to the sink, in order and without
// duplicates. The boolean result reports that the stream was paused.
func (d *Dispatcher) stream(ctx context.Context, a *answer, sl *slot, onFirst func()) (backend.Frame, bool, error) {
	ctx, cancel := d.untilQuiet(ctx, answerScope(a, sl))
	defer cancel()
	id := NewID()
	s, err := d.Dialer.Engine(sl.replica.Address).Generate(ctx, backend.GenerateRequest{
		Attempt: id, Target: a.target, Prompt: a.req.Prompt, MaxTokens: a.req.MaxTokens, Priority: a.req.Rank, Offset: a.offset, Seed: a.req.Fingerprint,
	})
	if err != nil && context.Cause(ctx) == errQuietHours {
		a.ran = outcome.Worse(a.ran, outcome.RanMaybe)
		return backend.Frame{}, true, nil
	}
	if err != nil {
		return backend.Frame{}, false, err
	}
	defer s.Close()
	return d.receiveFrames(ctx, a, sl, newFrameReorderer(id, a.offset), streamEvents(ctx, s), onFirst)
}

// receiveFrames processes frames until the answer is complete, the stream
// fails, no frame arrives in time, or the stream has to pause.
func (d *Dispatcher) receiveFrames(ctx context.Context, a *answer, sl *slot, order *frameReorderer, frames <-chan streamEvent, onFirst func()) (backend.Frame, bool, error) {
	silence := time.NewTimer(firstFrameTimeout)
	defer silence.Stop()
	for {
		var event streamEvent
		select {
		case <-sl.pause:
			return backend.Frame{}, true, nil
		case <-silence.C:
			return backend.Frame{}, false, brokenStream("the stream sent no frame in time")
		case event = <-frames:
		case <-ctx.Done():
			event.err = brokenStream(ctx.Err().Error())
		}
		if event.err != nil && context.Cause(ctx) == errQuietHours {
			a.ran = outcome.RanYes
			return backend.Frame{}, true, nil
		}
		if event.err != nil {
			return backend.Frame{}, false, event.err
		}
		ready, err := order.accept(event.frame)
		if err != nil {
			return backend.Frame{}, false, err
		}
		if len(ready) > 0 {
			// Duplicates and frames of other attempts do not count as progress.
			silence.Reset(frameTimeout)
		}
		for _, f := range ready {
			if f.Final {
				return f, false, nil
			}
			if err := a.emit(f, onFirst); err != nil {
				return backend.Frame{}, false, err
			}
		}
	}
}

// errCallerGone reports that the caller has disconnected.
var errCallerGone = errors.New("the caller disconnected")

// emit passes the next token to the caller or the buffer.
func (a *answer) emit(f backend.Frame, onFirst func()) error {
	if !a.started {
		onFirst()
	}
	a.started = true
	a.offset++
	a.ran = outcome.RanYes
	a.keepText(f.Text)
	if err := a.activeSink().Token(f.Text); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// keepText keeps the text for rating, up to maxRatedBytes.
func (a *answer) keepText(text string) {
	if a.text.Len()+len(text) <= maxRatedBytes {
		a.text.WriteString(text)
	}
}
