package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// StepsRequest describes a choice between several versions.
type StepsRequest struct {
	Organisation string
	Kind         string
	// Targets lists the versions that are allowed and in force, the preferred
	// one first.
	Targets []config.Target
	// VerdictBudget is the time available for a verdict after the time of two answers
	// is subtracted. At zero or less there is no time for a verdict.
	VerdictBudget time.Duration
}

// Cascade chooses between versions by their past ratings, and has answers rated
// while their callers wait.
type Cascade interface {
	// Steps returns the versions to try, in order.
	Steps(req StepsRequest) routing.Steps
	// Rate reports whether an answer passes its rating. ok is false if no
	// verdict arrived before ctx ended.
	Rate(ctx context.Context, a CompletedAnswer) (passed, ok bool)
}

const (
	// shortPrompt and mediumPrompt classify a request without a kind by the
	// length of its prompt, in bytes.
	shortPrompt  = 400
	mediumPrompt = 4000
	// maxVerdictWait bounds the wait for a verdict.
	maxVerdictWait = 5 * time.Second
)

// kindOf returns the kind that the caller named, or a class of prompt length.
func kindOf(req *ChatRequest) string {
	switch {
	case req.Kind != "":
		return req.Kind
	case len(req.Prompt) < shortPrompt:
		return "short"
	case len(req.Prompt) < mediumPrompt:
		return "medium"
	default:
		return "long"
	}
}

// answerBuffer holds an answer until it may be sent to the caller.
type answerBuffer struct{ text strings.Builder }

// Token implements Sink.
func (b *answerBuffer) Token(text string) error {
	b.text.WriteString(text)
	return nil
}

// activeSink returns where tokens go: the buffer if there is one, else the
// caller.
func (a *answer) activeSink() Sink {
	if a.buffer != nil {
		return a.buffer
	}
	return a.sink
}

// applyCascade moves the version chosen by the cascade to the front. The other
// versions remain as fallbacks. The choice is made once per answer.
func (d *Dispatcher) applyCascade(a *answer, targets []config.Target) []config.Target {
	targets = slices.DeleteFunc(targets, func(t config.Target) bool { return len(targets) > 1 && t == a.excludedTarget })
	if d.Cascade == nil || len(targets) < 2 {
		return targets
	}
	if !a.stepsChosen {
		a.stepsChosen = true
		a.steps = d.Cascade.Steps(StepsRequest{Organisation: a.req.Organisation, Kind: kindOf(a.req), Targets: targets, VerdictBudget: d.verdictBudget(a, targets)})
	}
	chosen := slices.Index(targets, a.steps.First)
	if chosen < 0 {
		return targets
	}
	if a.steps.NeedsVerdict() && !a.started {
		a.buffer = &answerBuffer{}
	}
	copy(targets[1:chosen+1], targets[:chosen])
	targets[0] = a.steps.First
	return targets
}

// overflow lets the next version that meets the quality target answer while the
// preferred one has no free slot in time. A session waits for its own version.
func (d *Dispatcher) overflow(a *answer, targets []config.Target) {
	if len(targets) < 2 || a.started || a.req.Session != "" {
		return
	}
	plan := d.Plan()
	qualityTarget := plan.QualityTarget(a.req.Organisation)
	suitable := targets[:1]
	for _, t := range targets[1:] {
		if v := plan.Version(a.req.Organisation, t); v == nil || v.Quality < qualityTarget {
			break
		}
		suitable = targets[:len(suitable)+1]
	}
	if routing.Overflow(d.waits(), suitable, a.req.Rank, d.firstTokenTarget(a.req.Rank)) {
		d.Record.Add(a.req.ID, "%s answers: %s has no free slot in time", suitable[0], suitable[1])
	}
}

// viewWaits holds the predicted waits computed from one view.
type viewWaits struct {
	view  *membership.Snapshot
	waits routing.Waits
}

// waits returns the predicted waits of the current view. They are computed once
// per view.
func (d *Dispatcher) waits() routing.Waits {
	view := d.View()
	if cached := d.currentWaits.Load(); cached != nil && cached.view == view {
		return cached.waits
	}
	next := &viewWaits{view: view, waits: routing.NewWaits(view.Replicas)}
	d.currentWaits.Store(next)
	return next.waits
}

// verdictBudget returns the time available for a verdict after the time of two
// answers is subtracted. It is capped at the rank's first-token target, so that
// urgent callers do not wait long for a verdict. It is 0 for streamed answers
// and for sessions.
func (d *Dispatcher) verdictBudget(a *answer, targets []config.Target) time.Duration {
	if !a.req.NonStreaming || a.req.Session != "" {
		return 0
	}
	longest := time.Duration(0)
	for _, t := range targets {
		longest = max(longest, d.answerDuration(a, t))
	}
	return min(time.Until(a.req.Deadline)-2*longest, d.firstTokenTarget(a.req.Rank))
}

// finish bills and delivers a complete answer, after its verdict if one is
// required.
func (d *Dispatcher) finish(ctx context.Context, a *answer, final backend.Frame) (*ChatResult, error) {
	if a.buffer == nil {
		return d.billAnswer(ctx, a, final), nil
	}
	if !a.steps.NeedsVerdict() || a.target != a.steps.First {
		return d.deliver(ctx, a, final)
	}
	if d.passesRating(ctx, a) {
		a.isRated = true
		return d.deliver(ctx, a, final)
	}
	second := &answer{
		req: a.req, sink: a.sink, buffer: &answerBuffer{}, ran: a.ran, priorCost: a.cost(d), excludedTarget: a.target,
		stepsChosen: true, steps: routing.Steps{First: a.steps.Second},
	}
	secondFinal, err := d.serve(ctx, second)
	if err != nil {
		d.Record.Add(a.req.ID, "the second step gave no answer (%s): sending the first step's answer", err)
		a.isRated = true
		return d.deliver(context.WithoutCancel(ctx), a, final)
	}
	return d.deliver(ctx, second, secondFinal)
}

// passesRating waits for the verdict on the first step's answer. The wait
// leaves time for the second step and does not exceed the rank's first-token
// target.
func (d *Dispatcher) passesRating(ctx context.Context, a *answer) bool {
	wait := min(maxVerdictWait, d.firstTokenTarget(a.req.Rank), time.Until(a.req.Deadline)-d.durations.answerDuration(a.steps.Second, len(a.req.Prompt), a.req.MaxTokens))
	ctx, cancel := context.WithTimeout(ctx, max(wait, 0))
	defer cancel()
	passed, ok := d.Cascade.Rate(ctx, a.completed())
	switch {
	case !ok:
		d.Record.Add(a.req.ID, "no verdict on the answer of %s within %s", a.target, wait.Round(time.Millisecond))
	case passed:
		d.Record.Add(a.req.ID, "the answer of %s passed its rating", a.target)
	default:
		d.Record.Add(a.req.ID, "the answer of %s did not pass its rating: trying %s", a.target, a.steps.Second)
	}
	return ok && passed
}

// deliver sends a buffered answer to the caller and bills it.
func (d *Dispatcher) deliver(ctx context.Context, a *answer, final backend.Frame) (*ChatResult, error) {
	if err := a.sink.Token(a.buffer.text.String()); err != nil {
		d.Record.Add(a.req.ID, "the caller had disconnected: %s", err)
	}
	return d.billAnswer(ctx, a, final), nil
}

// cost returns the price of the tokens so far, including earlier steps.
func (a *answer) cost(d *Dispatcher) int64 {
	if v := d.Config.Current().Version(a.target); v != nil {
		return a.priorCost + int64(a.offset)*v.CostPerMillionTokens/tokensPerPriceUnit
	}
	return a.priorCost
}

// tokensPerPriceUnit is the number of tokens that a configured price covers.
const tokensPerPriceUnit = 1_000_000

func (a *answer) completed() CompletedAnswer {
	return CompletedAnswer{Request: a.req.ID, Organisation: a.req.Organisation, Kind: kindOf(a.req), Target: a.target, Text: a.text.String()}
}
