package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// errQuietHours ends work that quiet hours reach.
var errQuietHours = errors.New("quiet hours begin")

const (
	// firstCallTime is a call's assumed length before any was seen.
	firstCallTime = time.Second
	// onceReserve is how long before quiet hours the last call that may not
	// be repeated is sent: it cannot be stopped truthfully.
	onceReserve = 30 * time.Second
	// paceGain weighs the newest length, paceReserve allows for slower work.
	paceGain    = 0.1
	paceReserve = 1.5
	// prefillPerByte estimates the time for a prompt.
	prefillPerByte = 50 * time.Microsecond
)

// pace learns how long work takes. It is safe for concurrent use.
type pace struct {
	mu    sync.Mutex
	token map[config.Target]time.Duration // guarded by mu; between tokens
	call  map[string]time.Duration        // guarded by mu; by service
}

func newPace() *pace {
	return &pace{token: map[config.Target]time.Duration{}, call: map[string]time.Duration{}}
}

func learnPace[K comparable](m map[K]time.Duration, key K, seen time.Duration) {
	old, ok := m[key]
	if !ok {
		old = seen
	}
	m[key] = old + time.Duration(paceGain*float64(seen-old))
}

// answered takes the time between tokens of one attempt.
func (p *pace) answered(t config.Target, interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	learnPace(p.token, t, interval)
}

// called takes the length of one call.
func (p *pace) called(service string, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	learnPace(p.call, service, length)
}

// answer estimates how long an answer takes.
func (p *pace) answer(t config.Target, prompt, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval, ok := p.token[t]
	if !ok {
		interval = TokenIntervalTarget
	}
	return time.Duration(paceReserve * float64(time.Duration(tokens)*interval+time.Duration(prompt)*prefillPerByte))
}

// callLength estimates how long a call takes.
func (p *pace) callLength(service string, once bool, left time.Duration) time.Duration {
	if once {
		return min(onceReserve, left)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	length, ok := p.call[service]
	if !ok {
		length = firstCallTime
	}
	return time.Duration(paceReserve * float64(length))
}

// versionRules is what one revision says of versions and quiet hours.
type versionRules struct {
	plan  *routing.Plan
	quiet *rollout.QuietSchedule
	hours *rollout.QuietWindows
}

// rules returns what the revision in force says, worked out once.
func (d *Dispatcher) rules(now time.Time) (*versionRules, error) {
	rev := d.Config.Current()
	old := d.worked.Load()
	if old != nil && old.plan.Revision == rev && old.hours.Valid(now) {
		return old, nil
	}
	quiet, err := rollout.NewQuietSchedule(rev.Config)
	if err != nil {
		return nil, outcome.Refuse(outcome.CodeQuietHours, noBackendRetry, "the quiet hours in force cannot be read, so nothing runs (%s): mend them", err)
	}
	next := &versionRules{plan: routing.NewPlan(rev), quiet: quiet, hours: quiet.WindowsAround(now)}
	d.worked.Store(next)
	return next, nil
}

// Plan returns the choice of versions under the revision in force.
func (d *Dispatcher) Plan() *routing.Plan {
	rules, err := d.rules(time.Now())
	if err != nil {
		return routing.NewPlan(d.Config.Current())
	}
	return rules.plan
}

// QuietEdges returns the present or next window of every rule.
func (d *Dispatcher) QuietEdges() []rollout.Window {
	now := time.Now()
	rules, err := d.rules(now)
	if err != nil {
		return nil
	}
	return rules.hours.CurrentOrNext(now)
}

// refuseQuiet is the answer when quiet hours leave nothing to run on.
func refuseQuiet(now, until time.Time) *outcome.Refusal {
	return outcome.Refuse(outcome.CodeQuietHours, max(until.Sub(now), minRetryAfter), "quiet hours until %s leave no place for the request: come back then", until.UTC().Format(time.RFC3339))
}

// quietChecks answers, for one search of a place, which replicas quiet hours
// close. Answers are kept by data centre and pool.
type quietChecks struct {
	hours  *rollout.QuietWindows
	now    time.Time
	scope  rollout.Scope
	length time.Duration
	known  []knownWindow
	until  time.Time
}

type knownWindow struct {
	dataCentre string
	pool       string
	window     rollout.Window
	any        bool
}

// window returns the present or next window at a replica.
func (q *quietChecks) window(dataCentre, pool string) (rollout.Window, bool) {
	for i := range q.known {
		if k := &q.known[i]; k.dataCentre == dataCentre && k.pool == pool {
			return k.window, k.any
		}
	}
	q.scope.DataCentre, q.scope.Pool = dataCentre, pool
	w, ok := q.hours.Next(q.now, q.scope)
	q.known = append(q.known, knownWindow{dataCentre, pool, w, ok})
	return w, ok
}

// closed tells whether the work would run into quiet hours at a replica.
func (q *quietChecks) closed(dataCentre, pool string) bool {
	w, ok := q.window(dataCentre, pool)
	if !ok || !w.Overlaps(q.now, q.length) {
		return false
	}
	if q.until.IsZero() || w.To.Before(q.until) {
		q.until = w.To
	}
	return true
}

// longest is the time that work may still wait for a place at a replica.
func (q *quietChecks) longest(r routing.Replica, wait time.Duration) time.Duration {
	w, ok := q.window(r.DataCentre, r.Pool)
	if !ok {
		return wait
	}
	return min(wait, w.From.Sub(q.now)-q.length)
}

// quietAt tells whether work of the given length would now run into quiet
// hours, and when they end. Rules that cannot be read close everything.
func (d *Dispatcher) quietAt(s rollout.Scope, length time.Duration) (time.Time, bool) {
	now := time.Now()
	rules, err := d.rules(now)
	if err != nil {
		return now.Add(noBackendRetry), true
	}
	w, ok := rules.hours.Next(now, s)
	return w.To, ok && w.Overlaps(now, length)
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

// untilQuiet returns a context that ends with errQuietHours when quiet hours
// reach the scope, also by a new revision.
func (d *Dispatcher) untilQuiet(ctx context.Context, s rollout.Scope) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go d.watchQuiet(ctx, s, cancel)
	return ctx, func() { cancel(context.Canceled) }
}

func (d *Dispatcher) watchQuiet(ctx context.Context, s rollout.Scope, cancel context.CancelCauseFunc) {
	for {
		changed := d.Config.Changed()
		wait := hoursCheck
		now := time.Now()
		rules, err := d.rules(now)
		if err == nil {
			w, ok := rules.hours.Next(now, s)
			if ok && w.Overlaps(now, 0) {
				cancel(errQuietHours)
				return
			}
			if ok {
				wait = min(wait, w.From.Sub(now))
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// hoursCheck is how often running work looks at the hours anew.
const hoursCheck = time.Hour
