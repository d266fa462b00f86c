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
	reports *Reports
	guards  map[string]*guarded
	watch   *Watch
	news    map[config.Target]Evidence
}

// guarded is one roll-out's guard with what it has not yet seen. It is kept
// while another node takes itself for the driver, since views differ for a
// while when nodes come and go.
type guarded struct {
	guard *Guard
	old   Evidence
	next  Evidence
}

// NewDriver returns a driver that has heard nothing.
func NewDriver() *Driver {
	return &Driver{reports: NewReports(), guards: map[string]*guarded{}, watch: NewWatch(), news: map[config.Target]Evidence{}}
}

// Report takes a node's running totals of one version.
func (d *Driver) Report(rev *config.Revision, node string, incarnation uint64, t config.Target, total Evidence) {
	news, first := d.reports.Take(node, incarnation, t, total)
	if first {
		d.watch.Past(t, news)
	} else {
		d.news[t] = d.news[t].Plus(news)
	}
	for name, plan := range rev.Config.Rollouts {
		g := d.guards[name]
		if g == nil {
			continue
		}
		switch {
		case t == InPlace(plan) && first:
			g.guard.Baseline(news)
		case t == InPlace(plan):
			g.old = g.old.Plus(news)
		case t == Target(plan) && !first:
			g.next = g.next.Plus(news)
		}
	}
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
		d.judgeRollout(rev, name, now, &j)
	}
	if watches {
		d.judgeInPlace(rev, now, &j)
	}
	clear(d.news)
	return j
}

func (d *Driver) judgeRollout(rev *config.Revision, name string, now time.Time, j *Judgement) {
	g := d.guards[name]
	if g == nil {
		g = &guarded{guard: NewGuard()}
		g.guard.Baseline(d.reports.Total(InPlace(rev.Config.Rollouts[name])))
		d.guards[name] = g
	}
	t := Target(rev.Config.Rollouts[name])
	v := g.guard.Observe(g.old, g.next, now)
	g.old, g.next = Evidence{}, Evidence{}
	if !v.HoldUntil.IsZero() {
		j.Holds[t] = v.HoldUntil
	}
	switch {
	case v.Withdraw:
		j.Actions = append(j.Actions, Action{Kind: ActionWithdraw, Target: t, Reason: v.Reason})
	case v.HoldUntil.IsZero() && Due(rev, name, d.reports.Total(t).Rated.Total(), now):
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
