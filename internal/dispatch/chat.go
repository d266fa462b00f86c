package dispatch

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// ChatRequest asks for an answer of a model.
type ChatRequest struct {
	Request
	// Asked is the model or version named by the caller.
	Asked config.Target
	// Prompt is the whole input text, MaxTokens bounds the answer.
	Prompt    string
	MaxTokens int
}

// ChatResult describes a whole answer.
type ChatResult struct {
	// Target is the version that answered.
	Target config.Target
	// PromptTokens and Tokens count input and output.
	PromptTokens int
	Tokens       int
	// FinishReason tells why the answer ended.
	FinishReason string
}

// Sink takes the answer as it comes.
type Sink interface {
	// Token takes the next piece; an error means that the caller has gone.
	Token(text string) error
}

// answer is the state of one answer across its attempts.
type answer struct {
	req      *ChatRequest
	sink     Sink
	target   config.Target
	started  bool
	offset   int
	excluded []string
	retries  int
	ran      outcome.Ran
}

// Chat serves one request for an answer.
func (d *Dispatcher) Chat(ctx context.Context, req *ChatRequest, sink Sink) (*ChatResult, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	d.firstTry(req.Organisation)
	a := &answer{req: req, sink: sink, ran: outcome.RanNo}
	for {
		p, err := d.placeFor(ctx, a)
		if err != nil {
			refusal := outcome.AsRefusal(err)
			refusal.Ran = outcome.Worse(refusal.Ran, a.ran)
			return nil, refusal
		}
		final, next, err := d.attempt(ctx, a, p)
		if err != nil {
			return nil, err
		}
		if !next {
			return d.settle(ctx, a, final), nil
		}
	}
}

// placeFor chooses a version and finds a place for the next attempt.
func (d *Dispatcher) placeFor(ctx context.Context, a *answer) (*place, error) {
	targets, err := d.versions(ctx, a)
	if err != nil {
		return nil, err
	}
	var first error
	for _, t := range targets {
		p, err := d.acquire(ctx, &a.req.Request, wish{
			target: t, tokens: a.req.MaxTokens - a.offset, prompt: routing.PromptTokens(a.req.Prompt) + a.offset, resumed: a.started, excluded: a.excluded,
			deadline: a.req.Deadline, prefixes: routing.PrefixHashes(a.req.Prompt),
		})
		if err == nil {
			a.target = t
			return p, nil
		}
		if first == nil {
			first = err
		}
	}
	return nil, first
}

// versions returns the candidates for the next attempt: once an answer has
// begun, only the version that began it.
func (d *Dispatcher) versions(ctx context.Context, a *answer) ([]config.Target, error) {
	rev := d.Config.Current()
	if a.started {
		if !routing.Allowed(rev, a.req.Organisation, a.target) {
			return nil, &outcome.Refusal{Code: outcome.CodeNotAllowed, Ran: outcome.RanYes, RetryAfter: minRetryAfter, Message: "the version was withdrawn while it answered: send the request again"}
		}
		return []config.Target{a.target}, nil
	}
	pin := config.Target{}
	if a.req.Session != "" {
		var err error
		if pin, err = d.Pins.Get(ctx, a.req.Organisation, a.req.Session); err != nil {
			d.Record.Add(a.req.ID, "the session's version could not be read: %s", err)
		}
	}
	targets := routing.Versions(rev, routing.VersionRequest{Organisation: a.req.Organisation, Asked: a.req.Asked, Session: a.req.Session, Pin: pin})
	if len(targets) == 0 {
		return nil, outcome.Refuse(outcome.CodeNotAllowed, 0, "no version of %q is allowed and in force for organisation %q: ask its operator", a.req.Asked, a.req.Organisation)
	}
	if a.req.Session != "" && pin != targets[0] {
		return d.pin(ctx, a, pin, targets)
	}
	return targets, nil
}

// pin puts a new session on its version, or moves one whose version was
// withdrawn.
func (d *Dispatcher) pin(ctx context.Context, a *answer, old config.Target, targets []config.Target) ([]config.Target, error) {
	if old != (config.Target{}) {
		d.Record.Add(a.req.ID, "session moved from %s to %s", old, targets[0])
		if err := d.Pins.Move(ctx, a.req.Organisation, a.req.Session, targets[0]); err != nil {
			d.Record.Add(a.req.ID, "the session's move could not be stored: %s", err)
		}
		return targets[:1], nil
	}
	got, err := d.Pins.Set(ctx, a.req.Organisation, a.req.Session, targets[0])
	if err != nil {
		d.Record.Add(a.req.ID, "the session's version could not be stored: %s", err)
	}
	return []config.Target{got}, nil
}

// attempt runs one try on a granted place. It returns the final frame, or
// that another try should follow.
func (d *Dispatcher) attempt(ctx context.Context, a *answer, p *place) (backend.Frame, bool, error) {
	rev := d.Config.Current()
	if !routing.Allowed(rev, a.req.Organisation, a.target) {
		d.release(p, wire.ReleaseArgs{})
		d.Record.Add(a.req.ID, "version %s is no longer allowed: choosing again", a.target)
		return backend.Frame{}, true, nil
	}
	d.Record.Add(a.req.ID, "attempt on replica %s, version %s, from token %d, revision %d", p.replica.ID, a.target, a.offset, rev.Number)
	start, offset := time.Now(), a.offset
	var first time.Duration
	final, paused, err := d.stream(ctx, a, p, func() { first = time.Since(start) })
	used := wire.ReleaseArgs{Tokens: a.offset - offset, FirstToken: first}
	if n := a.offset - offset; n > 1 {
		used.TokenInterval = (time.Since(start) - first) / time.Duration(n-1)
	}
	switch {
	case err == nil:
		used.Whole = !paused
		d.release(p, used)
		if paused {
			d.Record.Add(a.req.ID, "paused at token %d for more urgent work", a.offset)
		}
		return final, paused, nil
	case ctx.Err() != nil:
		d.release(p, used)
		return backend.Frame{}, false, &outcome.Refusal{Code: outcome.CodeDeadline, Ran: outcome.Worse(a.ran, backendError(err).Ran), RetryAfter: minRetryAfter, Message: "the deadline passed or the caller went away while the answer was made"}
	}
	return d.failed(ctx, a, p, used, backendError(err))
}

// failed decides what follows a failed try.
func (d *Dispatcher) failed(ctx context.Context, a *answer, p *place, used wire.ReleaseArgs, err *backend.Error) (backend.Frame, bool, error) {
	used.Failed = err.Kind
	d.release(p, used)
	a.ran = outcome.Worse(a.ran, err.Ran)
	a.excluded = append(a.excluded, p.replica.ID)
	a.retries++
	d.Record.Add(a.req.ID, "replica %s failed: %s", p.replica.ID, err)
	if err.Retryable() && d.retry(ctx, &a.req.Request, a.retries) {
		return backend.Frame{}, true, nil
	}
	return backend.Frame{}, false, &outcome.Refusal{Code: outcome.CodeBackendFailed, Ran: a.ran, RetryAfter: jitter(minRetryAfter), Message: "the backend server failed and no retry was left: send the request again"}
}

// stream copies one try's tokens to the sink, in order and without repeats.
func (d *Dispatcher) stream(ctx context.Context, a *answer, p *place, first func()) (backend.Frame, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := NewID()
	s, err := d.Dialer.Engine(p.replica.Address).Generate(ctx, backend.GenerateRequest{
		Attempt: id, Target: a.target, Prompt: a.req.Prompt, MaxTokens: a.req.MaxTokens, Priority: a.req.Rank, Offset: a.offset, Seed: a.req.Fingerprint,
	})
	if err != nil {
		return backend.Frame{}, false, err
	}
	defer s.Close()
	for {
		select {
		case <-p.paused:
			return backend.Frame{}, true, nil
		default:
		}
		f, err := s.Next()
		if err != nil {
			return backend.Frame{}, false, err
		}
		switch {
		case f.Attempt != id || f.Offset < a.offset:
			continue
		case f.Offset > a.offset:
			return backend.Frame{}, false, &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanYes, Message: "a frame is missing"}
		case f.Final:
			return f, false, nil
		}
		if !a.started {
			first()
		}
		a.started = true
		a.offset++
		a.ran = outcome.RanYes
		if err := a.sink.Token(f.Text); err != nil {
			return backend.Frame{}, false, err
		}
	}
}

// settle bills a whole answer.
func (d *Dispatcher) settle(ctx context.Context, a *answer, final backend.Frame) *ChatResult {
	cost := int64(0)
	if v := d.Config.Current().Version(a.target); v != nil {
		cost = int64(a.offset) * v.CostPerMillionTokens / 1_000_000
	}
	d.Bills.Add(ctx, wire.Bill{
		Request: a.req.ID, Organisation: a.req.Organisation, Target: a.target,
		PromptTokens: final.PromptTokens, Tokens: a.offset, CostMicros: cost, At: time.Now(),
	})
	d.Record.Add(a.req.ID, "answered by %s with %d tokens, billed %d", a.target, a.offset, cost)
	return &ChatResult{Target: a.target, PromptTokens: final.PromptTokens, Tokens: a.offset, FinishReason: final.FinishReason}
}
