package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// ActionKind names what a driver wants done to the configuration.
type ActionKind int

// The kinds of actions.
const (
	ActionAdvance ActionKind = iota
	ActionWithdraw
)

// Action is one change that a driver wants.
type Action struct {
	Kind ActionKind
	// Rollout is the plan to advance, Target the version to withdraw.
	Rollout string
	Target  config.Target
	// Reason is in plain words.
	Reason string
}

// Driver judges versions by what nodes report and says what should be done.
// It does nothing itself; its memory may be lost at any time. It is not safe
// for concurrent use.
type Driver struct {
	guards  map[string]*guarded
	reports *Reports // what the watch has seen
	watch   *Watch
	news    Totals
}

// reporterLifetime is how long a silent process is remembered.
const reporterLifetime = time.Hour

// NewDriver returns a driver that has heard nothing.
func NewDriver() *Driver {
	return &Driver{reports: NewReports(), guards: map[string]*guarded{}, watch: NewWatch(), news: Totals{}}
}

// Report takes a process's running totals.
func (d *Driver) Report(rev *config.Revision, r Report, now time.Time) {
	for name, plan := range rev.Config.Rollouts {
		if Running(rev, name) && r.covers(InPlace(plan), Target(plan)) {
			d.guardOf(rev, name).take(r, now)
		}
	}
	if r.Complete {
		d.watchReport(r, now)
	}
}

func (d *Driver) watchReport(r Report, now time.Time) {
	news, first := d.reports.Take(r.Process, r.Totals, now)
	for t, e := range news {
		if first {
			d.watch.Past(t, e)
			continue
		}
		d.news[t] = d.news[t].Plus(e)
	}
}

// guardOf returns the guard of a running roll-out, a new one if there is none
// for the plan as it stands.
func (d *Driver) guardOf(rev *config.Revision, name string) *guarded {
	plan := rev.Config.Rollouts[name]
	g := d.guards[name]
	if g == nil || g.from != InPlace(plan) || g.to != Target(plan) {
		g = newGuarded(plan)
		d.guards[name] = g
	}
	return g
}

// Judgement is what a driver says after a look.
type Judgement struct {
	// Holds are the versions that should get no new sessions, until when.
	Holds map[config.Target]time.Time
	// Actions are the changes to make, in their order.
	Actions []Action
}

// Judge looks at all that was reported since the last call. mine tells which
// roll-outs this driver drives; watches tells whether it also watches the
// versions in place.
func (d *Driver) Judge(rev *config.Revision, mine func(rollout string) bool, watches bool, now time.Time) Judgement {
	j := Judgement{Holds: map[config.Target]time.Time{}}
	for _, name := range slices.Sorted(maps.Keys(rev.Config.Rollouts)) {
		if !Running(rev, name) {
			delete(d.guards, name)
			continue
		}
		if !mine(name) {
			continue
		}
		d.guardOf(rev, name).reports.Forget(now, reporterLifetime)
		d.judgeRollout(rev, name, now, &j)
	}
	if watches {
		d.judgeInPlace(rev, now, &j)
	}
	clear(d.news)
	d.reports.Forget(now, reporterLifetime)
	return j
}

func (d *Driver) judgeRollout(rev *config.Revision, name string, now time.Time, j *Judgement) {
	g := d.guardOf(rev, name)
	t := Target(rev.Config.Rollouts[name])
	v := g.guard.Observe(g.old, g.next, now)
	g.old, g.next = Evidence{}, Evidence{}
	if !v.HoldUntil.IsZero() {
		j.Holds[t] = v.HoldUntil
	}
	switch {
	case v.Withdraw:
		j.Actions = append(j.Actions, Action{Kind: ActionWithdraw, Target: t, Reason: v.Reason})
	case v.HoldUntil.IsZero() && Due(rev, name, g.reports.Total(t).Rated.Total(), now):
		j.Actions = append(j.Actions, Action{Kind: ActionAdvance, Rollout: name, Target: t, Reason: "the stage has baked"})
	}
}

// judgeInPlace looks at the versions that no guard judges. A bad one is
// withdrawn only where the model keeps another version to fall back on.
func (d *Driver) judgeInPlace(rev *config.Revision, now time.Time, j *Judgement) {
	for model, m := range rev.Config.Models {
		for version := range m.Versions {
			t := config.Target{Model: model, Version: version}
			if rev.IsWithdrawn(t) {
				continue
			}
			if comingIn(rev, t) {
				d.watch.Past(t, d.news[t])
				continue
			}
			v := d.watch.Observe(t, d.news[t], now)
			if !v.HoldUntil.IsZero() {
				j.Holds[t] = v.HoldUntil
			}
			if v.Withdraw && hasFallback(rev, t) {
				j.Actions = append(j.Actions, Action{Kind: ActionWithdraw, Target: t, Reason: v.Reason})
			}
		}
	}
}

// comingIn tells whether a roll-out runs t beside the version in place; at a
// share of all sessions there is none beside it any more.
func comingIn(rev *config.Revision, t config.Target) bool {
	for name, plan := range rev.Config.Rollouts {
		if Target(plan) == t && Running(rev, name) && plan.Stages[State(rev, name).Stage].Percent < 100 {
			return true
		}
	}
	return false
}

// hasFallback tells whether requests fall to another version of the model once
// t is withdrawn: the one that a promoted roll-out replaced.
func hasFallback(rev *config.Revision, t config.Target) bool {
	in := config.Target{Model: t.Model, Version: rev.Config.Models[t.Model].Default}
	return in != t && !rev.IsWithdrawn(in)
}
