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

// ChatRequest asks for an answer of a model.
type ChatRequest struct {
	Request
	// Asked is the model or version named by the caller.
	Asked config.Target
	// Prompt is the whole input text, MaxTokens bounds the answer.
	Prompt    string
	MaxTokens int
	// Kind is the kind of work that the caller names, or empty.
	Kind string
	// Whole tells that the caller takes the answer at once, not as a stream.
	Whole bool
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
	// began is the replica that holds what there is of a paused answer, paused
	// whether it had a place before.
	began   string
	paused  bool
	retries int
	ran     outcome.Ran
	text    strings.Builder
	// The choice of versions: made once, what follows the first step, and
	// which version is not to be tried again.
	decided bool
	steps   routing.Steps
	without config.Target
	// buffer keeps the answer until its verdict; judged tells that it was
	// asked for, spent what steps before this one cost.
	buffer *buffer
	judged bool
	spent  int64
}

// Chat serves one request for an answer.
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

// serve makes attempts until one ends the answer.
func (d *Dispatcher) serve(ctx context.Context, a *answer) (backend.Frame, error) {
	for {
		if err := d.refuseConvicted(a); err != nil {
			return backend.Frame{}, err
		}
		p, err := d.placeFor(ctx, a)
		if err != nil && d.awaitReplica(ctx, a, err) {
			continue
		}
		if err != nil {
			refusal := outcome.AsRefusal(err)
			refusal.Ran = outcome.Worse(refusal.Ran, a.ran)
			return backend.Frame{}, refusal
		}
		final, next, err := d.attempt(ctx, a, p)
		if err != nil || !next {
			return final, err
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
	var refusedBy string
	for i, t := range targets {
		var by string
		p, err := d.acquire(ctx, &a.req.Request, wish{
			returns: i == 0 && !a.started, refusedBy: &by,
			target: t, tokens: a.req.MaxTokens - a.offset, prompt: routing.PromptTokens(a.req.Prompt) + a.offset,
			resumed: a.started || a.paused, excluded: a.excluded, deadline: a.req.Deadline, length: d.answerLength(a, t),
			prefixes: routing.PrefixHashes(a.req.Prompt), began: a.began,
		})
		if err == nil {
			a.target = t
			return p, nil
		}
		if first == nil {
			first, refusedBy = err, by
		}
	}
	d.note(&a.req.Request, refusedBy, first)
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
	id, pinned := pinID(a.req)
	pin := config.Target{}
	if pinned {
		pin = d.Pins.Cached(id)
	}
	rules, err := d.rules(time.Now())
	if err != nil {
		return nil, err
	}
	choice := routing.VersionRequest{Organisation: a.req.Organisation, Asked: a.req.Asked, Session: cmp.Or(a.req.Session, a.req.ID), Pin: pin, Held: d.Held}
	targets := rules.plan.Versions(nil, choice)
	d.Record.Add(a.req.ID, "%s", rules.plan.Explain(choice, targets))
	if len(targets) == 0 {
		return nil, outcome.Refuse(outcome.CodeNotAllowed, 0, "no version of %q is allowed and in force for organisation %q: ask its operator", a.req.Asked, a.req.Organisation)
	}
	if targets, err = d.withoutQuiet(a, targets); err != nil {
		return nil, err
	}
	configured := targets[0]
	targets = d.prefer(a, targets)
	d.spill(a, targets)
	if pinned && pin != targets[0] {
		return d.pin(ctx, a, id, pin, configured, targets), nil
	}
	return targets, nil
}

// settle bills a whole answer.
func (d *Dispatcher) settle(ctx context.Context, a *answer, final backend.Frame) *ChatResult {
	cost := a.price(d)
	d.Bills.Add(ctx, wire.Bill{
		Request: a.req.ID, Organisation: a.req.Organisation, Target: a.target,
		PromptTokens: final.PromptTokens, Tokens: a.offset, CostMicros: cost, At: time.Now(),
	})
	if !a.judged {
		d.Observer.Answered(a.answered())
	}
	d.Record.Add(a.req.ID, "answered by %s with %d tokens, billed %d", a.target, a.offset, cost)
	return &ChatResult{Target: a.target, PromptTokens: final.PromptTokens, Tokens: a.offset, FinishReason: final.FinishReason}
}
