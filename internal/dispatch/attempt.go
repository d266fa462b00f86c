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

// attempt runs one try on a granted place. It returns the final frame, or
// that another try should follow.
func (d *Dispatcher) attempt(ctx context.Context, a *answer, p *place) (backend.Frame, bool, error) {
	rev := d.Config.Current()
	if !routing.Allowed(rev, a.req.Organisation, a.target) {
		d.release(p, wire.ReleaseArgs{})
		d.Record.Add(a.req.ID, "version %s is no longer allowed: choosing again", a.target)
		return backend.Frame{}, true, nil
	}
	if err := d.refuseConvicted(a); err != nil {
		d.release(p, wire.ReleaseArgs{})
		return backend.Frame{}, false, err
	}
	if _, closed := d.quietAt(answerScope(a, p), d.answerLength(a, a.target)); closed {
		d.release(p, wire.ReleaseArgs{})
		a.excluded = append(a.excluded, p.replica.ID)
		d.Record.Add(a.req.ID, "quiet hours are too near at replica %s: choosing again", p.replica.ID)
		return backend.Frame{}, true, nil
	}
	d.Record.Add(a.req.ID, "attempt on replica %s, version %s, from token %d, revision %d", p.replica.ID, a.target, a.offset, rev.Number)
	start, offset := time.Now(), a.offset
	var first time.Duration
	final, paused, err := d.stream(ctx, a, p, func() { first = time.Since(start) })
	used := wire.ReleaseArgs{Tokens: a.offset - offset, FirstToken: first}
	if n := a.offset - offset; n > 1 {
		used.TokenInterval = (time.Since(start) - first) / time.Duration(n-1)
		d.pace.answered(a.target, used.TokenInterval)
	}
	switch {
	case err == nil:
		used.Whole = !paused
		if !paused {
			d.clear(a)
		}
		d.release(p, used)
		if paused {
			a.began, a.paused = began(a, p), true
			d.Record.Add(a.req.ID, "paused at token %d for more urgent work or quiet hours", a.offset)
		} else {
			d.Observer.Tried(a.target, true, first, d.firstTokenTarget(a.req.Rank))
		}
		return final, paused, nil
	case ctx.Err() != nil || errors.Is(err, errCaller):
		d.release(p, used)
		return backend.Frame{}, false, &outcome.Refusal{Code: outcome.CodeDeadline, Ran: outcome.Worse(a.ran, backendError(err).Ran), RetryAfter: minRetryAfter, Message: "the deadline passed or the caller went away while the answer was made"}
	}
	return d.failed(ctx, a, p, used, backendError(err))
}

// began returns the replica that holds what there is of the answer, or "".
func began(a *answer, p *place) string {
	if !a.started {
		return ""
	}
	return p.replica.ID
}

// failed decides what follows a failed try.
func (d *Dispatcher) failed(ctx context.Context, a *answer, p *place, used wire.ReleaseArgs, err *backend.Error) (backend.Frame, bool, error) {
	used.Failed = err.Kind
	if err.Kind == backend.KindBroken {
		d.Observer.Tried(a.target, false, 0, 0)
	}
	d.release(p, used)
	a.ran = outcome.Worse(a.ran, err.Ran)
	a.excluded = append(a.excluded, p.replica.ID)
	a.retries++
	d.Record.Add(a.req.ID, "replica %s failed: %s", p.replica.ID, err)
	if d.crashed(ctx, a, p, err) {
		return backend.Frame{}, true, nil
	}
	if err.Retryable() && d.retry(ctx, &a.req.Request, a.retries) {
		return backend.Frame{}, true, nil
	}
	return backend.Frame{}, false, &outcome.Refusal{Code: outcome.CodeBackendFailed, Ran: a.ran, RetryAfter: jitter(minRetryAfter), Message: "the backend server failed and no retry was left: send the request again"}
}

// stream copies one try's tokens to the sink, in order and without repeats.
func (d *Dispatcher) stream(ctx context.Context, a *answer, p *place, first func()) (backend.Frame, bool, error) {
	ctx, cancel := d.untilQuiet(ctx, answerScope(a, p))
	defer cancel()
	id := NewID()
	s, err := d.Dialer.Engine(p.replica.Address).Generate(ctx, backend.GenerateRequest{
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
	return d.follow(ctx, a, p, newSplice(id, a.offset), arrivals(ctx, s), first)
}

// follow takes frames until the answer is whole, the stream fails or falls
// silent, or the work is to pause.
func (d *Dispatcher) follow(ctx context.Context, a *answer, p *place, s *splice, frames <-chan arrival, first func()) (backend.Frame, bool, error) {
	silence := time.NewTimer(firstFrameWait)
	defer silence.Stop()
	for {
		var next arrival
		select {
		case <-p.paused:
			return backend.Frame{}, true, nil
		case <-silence.C:
			return backend.Frame{}, false, broken("the stream fell silent")
		case next = <-frames:
		case <-ctx.Done():
			next.err = broken(ctx.Err().Error())
		}
		if next.err != nil && context.Cause(ctx) == errQuietHours {
			a.ran = outcome.RanYes
			return backend.Frame{}, true, nil
		}
		if next.err != nil {
			return backend.Frame{}, false, next.err
		}
		ready, err := s.accept(next.frame)
		if err != nil {
			return backend.Frame{}, false, err
		}
		if len(ready) > 0 {
			// Repeats and frames of others are no progress.
			silence.Reset(frameWait)
		}
		for _, f := range ready {
			if f.Final {
				return f, false, nil
			}
			if err := a.take(f, first); err != nil {
				return backend.Frame{}, false, err
			}
		}
	}
}

// errCaller means that the answer's caller has gone.
var errCaller = errors.New("the caller has gone")

// take hands the next token to the caller.
func (a *answer) take(f backend.Frame, first func()) error {
	if !a.started {
		first()
	}
	a.started = true
	a.offset++
	a.ran = outcome.RanYes
	a.keep(f.Text)
	if err := a.out().Token(f.Text); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	return nil
}

// keep notes the text for rating, within bounds.
func (a *answer) keep(text string) {
	if a.text.Len()+len(text) <= maxRatedBytes {
		a.text.WriteString(text)
	}
}
