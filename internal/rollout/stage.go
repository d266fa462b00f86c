// Package rollout decides how versions come and go: the stages of a roll-out,
// the guard that judges a new version against the one in place, the watch over
// versions in place, and quiet hours. It is pure: it reads no clock and does
// no I/O.
package rollout

import (
	"fmt"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// NotStarted is the stage of a roll-out that has not begun.
const NotStarted = -1

// TransitionError means that a step does not fit the roll-out's state.
type TransitionError struct {
	// Rollout is the plan's or version's name.
	Rollout string
	// Message tells what is wrong and what to do.
	Message string
}

// Error implements error.
func (e *TransitionError) Error() string { return fmt.Sprintf("%s: %s", e.Rollout, e.Message) }

func refuse(name, format string, args ...any) error {
	return &TransitionError{Rollout: name, Message: fmt.Sprintf(format, args...)}
}

// Target returns the version that a plan brings in.
func Target(plan *config.Rollout) config.Target {
	return config.Target{Model: plan.Model, Version: plan.To}
}

// InPlace returns the version that a plan replaces.
func InPlace(plan *config.Rollout) config.Target {
	return config.Target{Model: plan.Model, Version: plan.From}
}

// State returns a roll-out's progress.
func State(rev *config.Revision, name string) config.RolloutState {
	if s, ok := rev.Stages[name]; ok {
		return s
	}
	return config.RolloutState{Stage: NotStarted}
}

// Running tells whether a roll-out has begun and is neither promoted nor
// withdrawn.
func Running(rev *config.Revision, name string) bool {
	plan := rev.Config.Rollouts[name]
	s := State(rev, name)
	return plan != nil && s.Stage >= 0 && s.Stage < len(plan.Stages) && !rev.IsWithdrawn(Target(plan))
}

// plan returns the plan if its version may still come in.
func plan(rev *config.Revision, name string) (*config.Rollout, error) {
	p := rev.Config.Rollouts[name]
	if p == nil {
		return nil, refuse(name, "there is no such roll-out: \"config show\" lists them")
	}
	if rev.IsWithdrawn(Target(p)) {
		return nil, refuse(name, "version %s is withdrawn: roll out a mended version under a new name, or lift the withdrawal with \"rollout restore %s\"", Target(p), Target(p))
	}
	return p, nil
}

// Start takes a roll-out to its first stage.
func Start(rev *config.Revision, name string, now time.Time) error {
	if _, err := plan(rev, name); err != nil {
		return err
	}
	if s := State(rev, name); s.Stage != NotStarted {
		return refuse(name, "it is at stage %d already: use \"rollout continue\" if it is paused", s.Stage+1)
	}
	rev.Stages[name] = config.RolloutState{Stage: 0, Since: now}
	return nil
}

// Pause keeps a running roll-out at its stage.
func Pause(rev *config.Revision, name string) error {
	if _, err := plan(rev, name); err != nil {
		return err
	}
	s := State(rev, name)
	if !Running(rev, name) || s.Paused {
		return refuse(name, "it is not moving, so there is nothing to pause: see \"status\"")
	}
	s.Paused = true
	rev.Stages[name] = s
	return nil
}

// Continue lets a paused roll-out move again; its stage bakes anew.
func Continue(rev *config.Revision, name string, now time.Time) error {
	if _, err := plan(rev, name); err != nil {
		return err
	}
	s := State(rev, name)
	if !Running(rev, name) || !s.Paused {
		return refuse(name, "it is not paused: use \"rollout start\" to begin it or \"rollout advance\" to go to the next stage now")
	}
	s.Paused = false
	s.Since = now
	rev.Stages[name] = s
	return nil
}

// Advance takes a roll-out to its next stage; after the last stage the new
// version is promoted.
func Advance(rev *config.Revision, name string, now time.Time) error {
	if _, err := plan(rev, name); err != nil {
		return err
	}
	s := State(rev, name)
	if !Running(rev, name) || s.Paused {
		return refuse(name, "it is not moving: use \"rollout start\" or \"rollout continue\" first")
	}
	rev.Stages[name] = config.RolloutState{Stage: s.Stage + 1, Since: now}
	return nil
}

// Promote gives a running roll-out's version all new sessions at once.
func Promote(rev *config.Revision, name string, now time.Time) error {
	p, err := plan(rev, name)
	if err != nil {
		return err
	}
	if !Running(rev, name) {
		return refuse(name, "it is not running: use \"rollout start\" first")
	}
	rev.Stages[name] = config.RolloutState{Stage: len(p.Stages), Since: now}
	return nil
}

// Withdraw stops all new work on a version.
func Withdraw(rev *config.Revision, t config.Target, reason string, now time.Time) error {
	if rev.Version(t) == nil {
		return refuse(t.String(), "there is no such version: write model@version as \"config show\" lists it")
	}
	if _, ok := rev.Withdrawn[t]; ok {
		return refuse(t.String(), "it is withdrawn already")
	}
	rev.Withdrawn[t] = config.Withdrawal{Reason: reason, At: now}
	return nil
}

// Restore lifts a withdrawal; roll-outs of the version begin again from the
// start.
func Restore(rev *config.Revision, t config.Target) error {
	if _, ok := rev.Withdrawn[t]; !ok {
		return refuse(t.String(), "it is not withdrawn by command: if the folder withdraws it, edit the folder")
	}
	delete(rev.Withdrawn, t)
	for name, p := range rev.Config.Rollouts {
		if Target(p) == t {
			delete(rev.Stages, name)
		}
	}
	return nil
}

// MinVerdicts is the number of rated answers of the new version without which
// no roll-out leaves a stage by itself.
const MinVerdicts = 30

// Due tells whether a roll-out may leave its stage: it moves, its stage has
// baked, and enough answers of the new version were rated.
func Due(rev *config.Revision, name string, verdicts int, now time.Time) bool {
	if !Running(rev, name) {
		return false
	}
	p, s := rev.Config.Rollouts[name], State(rev, name)
	if p.Paused || s.Paused || verdicts < MinVerdicts {
		return false
	}
	return !now.Before(s.Since.Add(p.Stages[s.Stage].Bake.Std()))
}
