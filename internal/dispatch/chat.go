package dispatch

import (
	"cmp"
	"context"
	"strings"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// ChatRequest is one request for a model's answer.
type ChatRequest struct {
	Request
	// Asked is the model or version that the caller named.
	Asked config.Target
	// Prompt is the whole input text. MaxTokens bounds the length of the
	// answer.
	Prompt    string
	MaxTokens int
	// Kind is the kind of work that the caller named, or empty.
	Kind string
	// NonStreaming reports that the caller receives the answer in one piece, not as a
	// stream.
	NonStreaming bool
}

// ChatResult describes a complete answer.
type ChatResult struct {
	// Target is the version that answered.
	Target config.Target
	// PromptTokens and Tokens count the input and the output.
	PromptTokens int
	Tokens       int
	// FinishReason is the engine's reason for ending the answer.
	FinishReason string
}

// Sink receives the tokens of an answer.
type Sink interface {
	// Token receives the next piece of text. An error means that the caller has
	// disconnected.
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
	// startedOn is the replica that holds the partial text of a paused answer.
	// wasPaused reports that the answer held a slot before.
	startedOn string
	wasPaused bool
	retries   int
	ran       outcome.Ran
	text      strings.Builder
	// The choice of versions is made once per answer: steps holds it.
	// excludedTarget is a version that must not be tried again.
	stepsChosen    bool
	steps          routing.Steps
	excludedTarget config.Target
	// buffer holds the answer until its verdict arrives. isRated reports that a
	// verdict was requested. priorCost is the cost of the steps before this
	// one.
	buffer    *answerBuffer
	isRated   bool
	priorCost int64
}

// Chat runs one request for an answer and writes the tokens to sink.
func (d *Dispatcher) Chat(ctx context.Context, req *ChatRequest, sink Sink) (*ChatResult, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if err := d.admit(&req.Request); err != nil {
		return nil, err
	}
	a := &answer{req: req, sink: sink, ran: outcome.RanNo}
	final, err := d.serve(ctx, a)
	if err != nil {
		return nil, err
	}
	return d.finish(ctx, a, final)
}

// serve makes attempts until the answer is complete or no further attempt is
// possible.
func (d *Dispatcher) serve(ctx context.Context, a *answer) (backend.Frame, error) {
	for {
		d.awaitTrial(ctx, a)
		if err := d.refuseQuarantined(a); err != nil {
			return backend.Frame{}, err
		}
		sl, err := d.slotFor(ctx, a)
		if err != nil && d.awaitReplica(ctx, a, err) {
			continue
		}
		if err != nil {
			refusal := outcome.AsRefusal(err)
			refusal.Ran = outcome.Worse(refusal.Ran, a.ran)
			return backend.Frame{}, refusal
		}
		final, next, err := d.attempt(ctx, a, sl)
		if err != nil || !next {
			return final, err
		}
	}
}

// slotFor chooses a version and finds a slot for the next attempt.
func (d *Dispatcher) slotFor(ctx context.Context, a *answer) (*slot, error) {
	targets, err := d.versions(ctx, a)
	if err != nil {
		return nil, err
	}
	var firstErr error
	var refusedBy string
	for i, t := range targets {
		var refuser string
		sl, err := d.acquire(ctx, &a.req.Request, slotRequest{
			checkRetry: i == 0 && !a.started, refusedBy: &refuser,
			target: t, tokens: a.req.MaxTokens - a.offset, promptTokens: routing.PromptTokens(a.req.Prompt) + a.offset,
			resumed: a.started || a.wasPaused, excluded: a.excluded, deadline: a.req.Deadline, duration: d.answerDuration(a, t),
			prefixes: routing.PrefixHashes(a.req.Prompt), startedOn: a.startedOn,
		})
		if err == nil {
			a.target = t
			return sl, nil
		}
		if firstErr == nil {
			firstErr, refusedBy = err, refuser
		}
	}
	d.recordRefusal(&a.req.Request, refusedBy, firstErr)
	return nil, firstErr
}

// versions returns the candidate versions for the next attempt. An answer that
// has started stays on its version.
func (d *Dispatcher) versions(ctx context.Context, a *answer) ([]config.Target, error) {
	rev := d.Config.Current()
	if a.started {
		if !routing.IsAllowed(rev, a.req.Organisation, a.target) {
			return nil, &outcome.Refusal{Code: outcome.CodeNotAllowed, Ran: outcome.RanYes, RetryAfter: minRetryAfter, Message: "the version was withdrawn while it answered: send the request again"}
		}
		return []config.Target{a.target}, nil
	}
	id, pinned := pinID(a.req)
	pin := config.Target{}
	if pinned {
		pin = d.Pins.Cached(id)
	}
	rules, err := d.rules(time.Now())
	if err != nil {
		return nil, err
	}
	choice := routing.VersionRequest{Organisation: a.req.Organisation, Asked: a.req.Asked, Session: cmp.Or(a.req.Session, a.req.ID), Pin: pin, IsOnHold: d.IsOnHold}
	targets := rules.plan.Versions(nil, choice)
	d.Record.Add(a.req.ID, "%s", rules.plan.Explain(choice, targets))
	if len(targets) == 0 {
		return nil, outcome.Refuse(outcome.CodeNotAllowed, 0, "no version of %q is allowed and in force for organisation %q: ask its operator", a.req.Asked, a.req.Organisation)
	}
	if targets, err = d.withoutQuiet(a, targets); err != nil {
		return nil, err
	}
	configured := targets[0]
	targets = d.applyCascade(a, targets)
	d.overflow(a, targets)
	if pinned && pin != targets[0] {
		return d.pinSession(ctx, a, id, pin, configured, targets), nil
	}
	return targets, nil
}

// billAnswer bills a complete answer and reports it to the observer.
func (d *Dispatcher) billAnswer(ctx context.Context, a *answer, final backend.Frame) *ChatResult {
	cost := a.cost(d)
	d.Bills.Add(ctx, wire.Bill{
		Request: a.req.ID, Organisation: a.req.Organisation, Target: a.target,
		PromptTokens: final.PromptTokens, Tokens: a.offset, CostMicros: cost, At: time.Now(),
	})
	if !a.isRated {
		d.Observer.AnswerCompleted(a.completed())
	}
	d.Record.Add(a.req.ID, "answered by %s with %d tokens, billed %d", a.target, a.offset, cost)
	return &ChatResult{Target: a.target, PromptTokens: final.PromptTokens, Tokens: a.offset, FinishReason: final.FinishReason}
}
