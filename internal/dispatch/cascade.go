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

// StepsRequest asks which of several versions to try.
type StepsRequest struct {
	Organisation string
	Kind         string
	// Targets are allowed and in force, the preferred one first.
	Targets []config.Target
	// Spare is the time left beside two answers for a verdict; zero or less
	// means that none can be waited for.
	Spare time.Duration
}

// Cascade chooses between versions by what it has learned, and has answers
// judged while their callers wait.
type Cascade interface {
	// Steps returns the versions to try in turn.
	Steps(req StepsRequest) routing.Steps
	// Judge returns whether an answer passes; ok is false if no verdict came
	// before ctx ended.
	Judge(ctx context.Context, a Answered) (passed, ok bool)
}

// Lengths of prompts, in bytes, that class a request without a kind.
const (
	shortPrompt  = 400
	mediumPrompt = 4000
	// judgeLimit is how long a verdict is waited for at most.
	judgeLimit = 5 * time.Second
)

// kindOf returns the kind that the caller named, or a class of the prompt.
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

// buffer keeps an answer until it may go out.
type buffer struct{ text strings.Builder }

// Token implements Sink.
func (b *buffer) Token(text string) error {
	b.text.WriteString(text)
	return nil
}

// out is where the tokens go.
func (a *answer) out() Sink {
	if a.buffer != nil {
		return a.buffer
	}
	return a.sink
}

// prefer puts the learned choice in front; the other versions stay to fall
// back on. The choice is made once for each answer.
func (d *Dispatcher) prefer(a *answer, targets []config.Target) []config.Target {
	targets = slices.DeleteFunc(targets, func(t config.Target) bool { return len(targets) > 1 && t == a.without })
	if d.Cascade == nil || len(targets) < 2 {
		return targets
	}
	if !a.decided {
		a.decided = true
		a.steps = d.Cascade.Steps(StepsRequest{Organisation: a.req.Organisation, Kind: kindOf(a.req), Targets: targets, Spare: d.spare(a, targets)})
	}
	at := slices.Index(targets, a.steps.First)
	if at < 0 {
		return targets
	}
	if a.steps.Verified() && !a.started {
		a.buffer = &buffer{}
	}
	copy(targets[1:at+1], targets[:at])
	targets[0] = a.steps.First
	return targets
}

// spill lets the next version that meets the quality target answer while the
// preferred one has no place in time. Sessions wait for their own.
func (d *Dispatcher) spill(a *answer, targets []config.Target) {
	if len(targets) < 2 || a.started || a.req.Session != "" {
		return
	}
	plan := d.Plan()
	target := plan.QualityTarget(a.req.Organisation)
	good := targets[:1]
	for _, t := range targets[1:] {
		if v := plan.Version(a.req.Organisation, t); v == nil || v.Quality < target {
			break
		}
		good = targets[:len(good)+1]
	}
	if routing.Spill(d.waits(), good, a.req.Rank, d.firstTokenTarget(a.req.Rank)) {
		d.Record.Add(a.req.ID, "%s answers, as %s has no place in time", good[0], good[1])
	}
}

// viewWaits are the waits of one view.
type viewWaits struct {
	view  *membership.Snapshot
	waits routing.Waits
}

// waits returns the waits of the present view, worked out once.
func (d *Dispatcher) waits() routing.Waits {
	view := d.View()
	if known := d.viewed.Load(); known != nil && known.view == view {
		return known.waits
	}
	next := &viewWaits{view: view, waits: routing.NewWaits(view.Replicas)}
	d.viewed.Store(next)
	return next.waits
}

// spare is the time for a verdict beside two answers, and no more than the
// rank's target for the first token, so that urgent callers do not wait long
// for it. Streamed answers and sessions have none.
func (d *Dispatcher) spare(a *answer, targets []config.Target) time.Duration {
	if !a.req.Whole || a.req.Session != "" {
		return 0
	}
	longest := time.Duration(0)
	for _, t := range targets {
		longest = max(longest, d.answerLength(a, t))
	}
	return min(time.Until(a.req.Deadline)-2*longest, d.firstTokenTarget(a.req.Rank))
}

// finish settles a whole answer, after a verdict where one was asked for.
func (d *Dispatcher) finish(ctx context.Context, a *answer, final backend.Frame) (*ChatResult, error) {
	if a.buffer == nil {
		return d.settle(ctx, a, final), nil
	}
	if !a.steps.Verified() || a.target != a.steps.First {
		return d.deliver(ctx, a, final)
	}
	if d.verified(ctx, a) {
		a.judged = true
		return d.deliver(ctx, a, final)
	}
	second := &answer{
		req: a.req, sink: a.sink, buffer: &buffer{}, ran: a.ran, spent: a.price(d), without: a.target,
		decided: true, steps: routing.Steps{First: a.steps.Second},
	}
	lastFrame, err := d.serve(ctx, second)
	if err != nil {
		d.Record.Add(a.req.ID, "the second step gave no answer (%s): the first step's goes out", err)
		a.judged = true
		return d.deliver(context.WithoutCancel(ctx), a, final)
	}
	return d.deliver(ctx, second, lastFrame)
}

// verified waits for a verdict on the first step's answer, no longer than the
// second step and the rank's target for the first token allow.
func (d *Dispatcher) verified(ctx context.Context, a *answer) bool {
	wait := min(judgeLimit, d.firstTokenTarget(a.req.Rank), time.Until(a.req.Deadline)-d.pace.answer(a.steps.Second, len(a.req.Prompt), a.req.MaxTokens))
	ctx, cancel := context.WithTimeout(ctx, max(wait, 0))
	defer cancel()
	passed, ok := d.Cascade.Judge(ctx, a.answered())
	switch {
	case !ok:
		d.Record.Add(a.req.ID, "no verdict on the answer of %s in %s", a.target, wait.Round(time.Millisecond))
	case passed:
		d.Record.Add(a.req.ID, "the answer of %s passed its rating", a.target)
	default:
		d.Record.Add(a.req.ID, "the answer of %s did not pass its rating: %s answers", a.target, a.steps.Second)
	}
	return ok && passed
}

// deliver hands a kept answer out and settles it.
func (d *Dispatcher) deliver(ctx context.Context, a *answer, final backend.Frame) (*ChatResult, error) {
	if err := a.sink.Token(a.buffer.text.String()); err != nil {
		d.Record.Add(a.req.ID, "the caller had gone: %s", err)
	}
	return d.settle(ctx, a, final), nil
}

// price is what the answer's tokens cost so far, steps before it included.
func (a *answer) price(d *Dispatcher) int64 {
	if v := d.Config.Current().Version(a.target); v != nil {
		return a.spent + int64(a.offset)*v.CostPerMillionTokens/tokensPerPrice
	}
	return a.spent
}

// tokensPerPrice is the number of tokens that a price is for.
const tokensPerPrice = 1_000_000

func (a *answer) answered() Answered {
	return Answered{Request: a.req.ID, Organisation: a.req.Organisation, Kind: kindOf(a.req), Target: a.target, Text: a.text.String()}
}
