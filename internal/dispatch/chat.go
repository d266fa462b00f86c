package dispatch

import (
	"cmp"
	"context"
	"strings"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
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
	text     strings.Builder
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
			target: t, tokens: a.req.MaxTokens - a.offset, excluded: a.excluded,
			deadline: a.req.Deadline, length: d.answerLength(a, t), prefixes: routing.PrefixHashes(a.req.Prompt),
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
	if a.req.Session != "" && pin != targets[0] {
		return d.pin(ctx, a, pin, targets)
	}
	return targets, nil
}

// withoutQuiet drops the versions that quiet hours close everywhere.
func (d *Dispatcher) withoutQuiet(a *answer, targets []config.Target) ([]config.Target, error) {
	var until time.Time
	open := targets[:0]
	for _, t := range targets {
		to, closed := d.quietAt(rollout.Scope{Model: t.Model, Organisation: a.req.Organisation}, d.answerLength(a, t))
		switch {
		case !closed:
			open = append(open, t)
		case until.IsZero() || to.Before(until):
			until = to
		}
	}
	if len(open) == 0 {
		return nil, refuseQuiet(time.Now(), until)
	}
	return open, nil
}

// answerLength estimates how long the rest of the answer takes.
func (d *Dispatcher) answerLength(a *answer, t config.Target) time.Duration {
	return d.pace.answer(t, len(a.req.Prompt), a.req.MaxTokens-a.offset)
}

func answerScope(a *answer, p *place) rollout.Scope {
	return rollout.Scope{DataCentre: p.replica.DataCentre, Pool: p.replica.Pool, Model: a.target.Model, Organisation: a.req.Organisation}
}

// keep notes the text for rating, within bounds.
func (a *answer) keep(text string) {
	if a.text.Len()+len(text) <= maxRatedBytes {
		a.text.WriteString(text)
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
	d.Observer.Answered(Answered{Request: a.req.ID, Organisation: a.req.Organisation, Kind: a.req.Kind, Target: a.target, Text: a.text.String()})
	d.Record.Add(a.req.ID, "answered by %s with %d tokens, billed %d", a.target, a.offset, cost)
	return &ChatResult{Target: a.target, PromptTokens: final.PromptTokens, Tokens: a.offset, FinishReason: final.FinishReason}
}
