package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// ActionKind is the kind of configuration change that an Action requests.
type ActionKind int

// The kinds of actions.
const (
	ActionAdvance ActionKind = iota
	ActionWithdraw
)

// Action is one configuration change that a controller requests.
type Action struct {
	Kind ActionKind
	// Rollout is the plan to advance, Target the version to withdraw.
	Rollout string
	Target  config.Target
	// Reason is a human-readable explanation.
	Reason string
}

// Controller analyzes versions from the outcomes that nodes report and decides
// which holds and configuration changes are needed. It applies no change
// itself, and its state may be lost at any time. It is not safe for concurrent
// use.
type Controller struct {
	guarded     map[string]*guardedRollout
	tracker     *DeltaTracker // totals that the watch has counted
	watch       *Watch
	newOutcomes Totals
}

// reporterTTL is how long the totals of a process are kept after its last
// report.
const reporterTTL = time.Hour

// NewController returns a controller that has received no report.
func NewController() *Controller {
	return &Controller{tracker: NewDeltaTracker(), guarded: map[string]*guardedRollout{}, watch: NewWatch(), newOutcomes: Totals{}}
}

// Report records a process's running totals.
func (c *Controller) Report(rev *config.Revision, r Report, now time.Time) {
	for name, plan := range rev.Config.Rollouts {
		if IsRunning(rev, name) && r.covers(InPlace(plan), Target(plan)) {
			c.guardedFor(rev, name).addReport(r, now)
		}
	}
	if r.IsComplete {
		c.recordForWatch(r, now)
	}
}

// recordForWatch adds the new outcomes in a complete report to those that the
// watch analyzes next. The first totals of a process may cover any past time and
// are only history.
func (c *Controller) recordForWatch(r Report, now time.Time) {
	deltas, first := c.tracker.Update(r.Process, r.Totals, now)
	for t, e := range deltas {
		if first {
			c.watch.AddHistory(t, e)
			continue
		}
		c.newOutcomes[t] = c.newOutcomes[t].Plus(e)
	}
}

// guardedFor returns the guard state of a running roll-out. It creates one if
// none exists for the plan's present pair of versions.
func (c *Controller) guardedFor(rev *config.Revision, name string) *guardedRollout {
	plan := rev.Config.Rollouts[name]
	g := c.guarded[name]
	if g == nil || g.from != InPlace(plan) || g.to != Target(plan) {
		g = newGuardedRollout(plan)
		c.guarded[name] = g
	}
	return g
}

// Decisions holds what one analysis by a controller decided.
type Decisions struct {
	// Holds maps each version that should get no new sessions to the end of its
	// hold.
	Holds map[config.Target]time.Time
	// Actions are the configuration changes to make, in order.
	Actions []Action
}

// Analyze evaluates everything reported since the last call. owns reports whether
// this controller is responsible for a roll-out; watches is set if it also
// watches the versions in place.
func (c *Controller) Analyze(rev *config.Revision, owns func(rollout string) bool, watches bool, now time.Time) Decisions {
	decisions := Decisions{Holds: map[config.Target]time.Time{}}
	for _, name := range slices.Sorted(maps.Keys(rev.Config.Rollouts)) {
		if !IsRunning(rev, name) {
			delete(c.guarded, name)
			continue
		}
		if !owns(name) {
			continue
		}
		c.guardedFor(rev, name).tracker.Forget(now, reporterTTL)
		c.analyzeRollout(rev, name, now, &decisions)
	}
	if watches {
		c.analyzeInPlace(rev, now, &decisions)
	}
	clear(c.newOutcomes)
	c.tracker.Forget(now, reporterTTL)
	return decisions
}

// analyzeRollout analyzes a roll-out's pending outcomes and adds to decisions.
func (c *Controller) analyzeRollout(rev *config.Revision, name string, now time.Time, decisions *Decisions) {
	g := c.guardedFor(rev, name)
	t := Target(rev.Config.Rollouts[name])
	result := g.guard.Observe(g.pendingOld, g.pendingNext, now)
	g.pendingOld, g.pendingNext = Evidence{}, Evidence{}
	if !result.HoldUntil.IsZero() {
		decisions.Holds[t] = result.HoldUntil
	}
	switch {
	case result.Withdraw:
		decisions.Actions = append(decisions.Actions, Action{Kind: ActionWithdraw, Target: t, Reason: result.Reason})
	case result.HoldUntil.IsZero() && IsDue(rev, name, g.tracker.Total(t).Rated.Total(), now):
		decisions.Actions = append(decisions.Actions, Action{Kind: ActionAdvance, Rollout: name, Target: t, Reason: "the stage has baked"})
	}
}

// analyzeInPlace analyzes the versions that no guard compares with another one.
// A version whose analysis failed is withdrawn only if the model has another
// version to fall back to.
func (c *Controller) analyzeInPlace(rev *config.Revision, now time.Time, decisions *Decisions) {
	for model, m := range rev.Config.Models {
		for version := range m.Versions {
			t := config.Target{Model: model, Version: version}
			if rev.IsWithdrawn(t) {
				continue
			}
			if isPartlyRolledOut(rev, t) {
				c.watch.AddHistory(t, c.newOutcomes[t])
				continue
			}
			result := c.watch.Observe(t, c.newOutcomes[t], now)
			if !result.HoldUntil.IsZero() {
				decisions.Holds[t] = result.HoldUntil
			}
			if result.Withdraw && hasFallback(rev, t) {
				decisions.Actions = append(decisions.Actions, Action{Kind: ActionWithdraw, Target: t, Reason: result.Reason})
			}
		}
	}
}

// isPartlyRolledOut reports whether a roll-out runs t beside the version in
// place. At 100 percent of the sessions no other version runs beside t.
func isPartlyRolledOut(rev *config.Revision, t config.Target) bool {
	for name, plan := range rev.Config.Rollouts {
		if Target(plan) == t && IsRunning(rev, name) && plan.Stages[State(rev, name).Stage].Percent < 100 {
			return true
		}
	}
	return false
}

// hasFallback reports whether requests go to another version of the model once
// t is withdrawn. That is the version that a promoted roll-out replaced.
func hasFallback(rev *config.Revision, t config.Target) bool {
	inPlace := config.Target{Model: t.Model, Version: rev.Config.Models[t.Model].Default}
	return inPlace != t && !rev.IsWithdrawn(inPlace)
}
