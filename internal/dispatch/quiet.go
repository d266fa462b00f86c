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

// errQuietHours ends work when quiet hours begin for it.
var errQuietHours = errors.New("quiet hours begin")

const (
	// defaultCallDuration is the estimate for a service's calls before any was
	// measured.
	defaultCallDuration = time.Second
	// onceReserve is the time before quiet hours in which no call that must not
	// be repeated is sent: such a call cannot be stopped with a known outcome.
	onceReserve = 30 * time.Second
	// durationGain is the weight of the newest measurement in the moving
	// average. durationMargin is the factor on estimates that allows for slower
	// work.
	durationGain   = 0.1
	durationMargin = 1.5
	// prefillPerByte estimates the time to process one byte of a prompt.
	prefillPerByte = 50 * time.Microsecond
)

// durationEstimator estimates how long work takes from moving averages. It is
// safe for concurrent use.
type durationEstimator struct {
	mu             sync.Mutex
	tokenIntervals map[config.Target]time.Duration // guarded by mu; between tokens
	callDurations  map[string]time.Duration        // guarded by mu; by service
}

func newDurationEstimator() *durationEstimator {
	return &durationEstimator{tokenIntervals: map[config.Target]time.Duration{}, callDurations: map[string]time.Duration{}}
}

// updateAverage adds a measurement to the moving average of key.
func updateAverage[K comparable](averages map[K]time.Duration, key K, measured time.Duration) {
	old, ok := averages[key]
	if !ok {
		old = measured
	}
	averages[key] = old + time.Duration(durationGain*float64(measured-old))
}

// recordAnswer records the mean time between tokens of one attempt.
func (e *durationEstimator) recordAnswer(t config.Target, interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	updateAverage(e.tokenIntervals, t, interval)
}

// recordCall records the duration of one call.
func (e *durationEstimator) recordCall(service string, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	updateAverage(e.callDurations, service, duration)
}

// answerDuration estimates how long an answer takes. prompt is the length of
// the prompt in bytes, tokens the length of the answer.
func (e *durationEstimator) answerDuration(t config.Target, prompt, tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	interval, ok := e.tokenIntervals[t]
	if !ok {
		interval = TokenIntervalTarget
	}
	return time.Duration(durationMargin * float64(time.Duration(tokens)*interval+time.Duration(prompt)*prefillPerByte))
}

// callDuration estimates how long a call takes. For a call that must not be
// repeated it returns onceReserve, or the remaining time if that is shorter.
func (e *durationEstimator) callDuration(service string, once bool, remaining time.Duration) time.Duration {
	if once {
		return min(onceReserve, remaining)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	duration, ok := e.callDurations[service]
	if !ok {
		duration = defaultCallDuration
	}
	return time.Duration(durationMargin * float64(duration))
}

// revisionRules holds the version plan and the quiet hours of one revision.
type revisionRules struct {
	plan  *routing.Plan
	quiet *rollout.QuietSchedule
	hours *rollout.QuietWindows
}

// rules returns the rules of the revision in force. They are computed once and
// cached while valid.
func (d *Dispatcher) rules(now time.Time) (*revisionRules, error) {
	rev := d.Config.Current()
	old := d.currentRules.Load()
	if old != nil && old.plan.Revision == rev && old.hours.IsValid(now) {
		return old, nil
	}
	quiet, err := rollout.NewQuietSchedule(rev.Config)
	if err != nil {
		return nil, outcome.Refuse(outcome.CodeQuietHours, noBackendRetryAfter, "the quiet hours in force cannot be read, so nothing runs (%s): mend them", err)
	}
	next := &revisionRules{plan: routing.NewPlan(rev), quiet: quiet, hours: quiet.WindowsAround(now)}
	d.currentRules.Store(next)
	return next, nil
}

// Plan returns the version plan of the revision in force.
func (d *Dispatcher) Plan() *routing.Plan {
	rules, err := d.rules(time.Now())
	if err != nil {
		return routing.NewPlan(d.Config.Current())
	}
	return rules.plan
}

// QuietWindows returns the present or next window of every quiet-hours rule.
func (d *Dispatcher) QuietWindows() []rollout.Window {
	now := time.Now()
	rules, err := d.rules(now)
	if err != nil {
		return nil
	}
	return rules.hours.CurrentOrNext(now)
}

// refuseQuiet returns the refusal for a request for which quiet hours leave no
// replica.
func refuseQuiet(now, until time.Time) *outcome.Refusal {
	return outcome.Refuse(outcome.CodeQuietHours, max(until.Sub(now), minRetryAfter), "quiet hours until %s leave no place for the request: come back then", until.UTC().Format(time.RFC3339))
}

// quietChecks checks, for one search for a slot, which replicas are closed by
// quiet hours. Windows are cached by data centre and pool.
type quietChecks struct {
	hours    *rollout.QuietWindows
	now      time.Time
	scope    rollout.Scope
	duration time.Duration
	windows  []cachedWindow
	until    time.Time
}

// cachedWindow is the window of one data centre and pool; any is false if there
// is none.
type cachedWindow struct {
	dataCentre string
	pool       string
	window     rollout.Window
	any        bool
}

// window returns the present or next window at a replica.
func (q *quietChecks) window(dataCentre, pool string) (rollout.Window, bool) {
	for i := range q.windows {
		if k := &q.windows[i]; k.dataCentre == dataCentre && k.pool == pool {
			return k.window, k.any
		}
	}
	q.scope.DataCentre, q.scope.Pool = dataCentre, pool
	w, ok := q.hours.Next(q.now, q.scope)
	q.windows = append(q.windows, cachedWindow{dataCentre, pool, w, ok})
	return w, ok
}

// isClosed reports whether the work would overlap quiet hours at a replica.
func (q *quietChecks) isClosed(dataCentre, pool string) bool {
	w, ok := q.window(dataCentre, pool)
	if !ok || !w.Overlaps(q.now, q.duration) {
		return false
	}
	if q.until.IsZero() || w.To.Before(q.until) {
		q.until = w.To
	}
	return true
}

// maxWait returns how long the work may wait for a slot at a replica.
func (q *quietChecks) maxWait(r routing.Replica, wait time.Duration) time.Duration {
	w, ok := q.window(r.DataCentre, r.Pool)
	if !ok {
		return wait
	}
	return min(wait, w.From.Sub(q.now)-q.duration)
}

// quietAt reports whether work of the given duration that starts now would
// overlap quiet hours, and when they end. Rules that cannot be read close
// everything.
func (d *Dispatcher) quietAt(s rollout.Scope, duration time.Duration) (time.Time, bool) {
	now := time.Now()
	rules, err := d.rules(now)
	if err != nil {
		return now.Add(noBackendRetryAfter), true
	}
	w, ok := rules.hours.Next(now, s)
	return w.To, ok && w.Overlaps(now, duration)
}

// withoutQuiet removes the versions that quiet hours close everywhere. It
// returns a refusal if none is left.
func (d *Dispatcher) withoutQuiet(a *answer, targets []config.Target) ([]config.Target, error) {
	var until time.Time
	open := targets[:0]
	for _, t := range targets {
		to, closed := d.quietAt(rollout.Scope{Model: t.Model, Organisation: a.req.Organisation}, d.answerDuration(a, t))
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

// answerDuration estimates how long the rest of the answer takes.
func (d *Dispatcher) answerDuration(a *answer, t config.Target) time.Duration {
	return d.durations.answerDuration(t, len(a.req.Prompt), a.req.MaxTokens-a.offset)
}

// answerScope returns the quiet-hours scope of an answer on a granted slot.
func answerScope(a *answer, sl *slot) rollout.Scope {
	return rollout.Scope{DataCentre: sl.replica.DataCentre, Pool: sl.replica.Pool, Model: a.target.Model, Organisation: a.req.Organisation}
}

// untilQuiet returns a context that is cancelled with errQuietHours when quiet
// hours begin for the scope, also if a new revision introduces them.
func (d *Dispatcher) untilQuiet(ctx context.Context, s rollout.Scope) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go d.watchQuiet(ctx, s, cancel)
	return ctx, func() { cancel(context.Canceled) }
}

// watchQuiet cancels a context with errQuietHours when quiet hours begin for
// the scope.
func (d *Dispatcher) watchQuiet(ctx context.Context, s rollout.Scope, cancel context.CancelCauseFunc) {
	for {
		changed := d.Config.Changed()
		wait := quietCheckInterval
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

// quietCheckInterval is the longest time after which running work checks the
// quiet hours again.
const quietCheckInterval = time.Hour
