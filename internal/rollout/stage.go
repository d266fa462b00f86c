// Package rollout implements progressive delivery of model versions: the stages
// of a roll-out, the analysis that withdraws a bad version, and quiet hours. A
// guard compares a new version with the one in place by sequential tests, and a
// watch compares versions in place with their own history. The package reads no
// clock and does no I/O.
package rollout

import (
	"fmt"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// NotStarted is the stage of a roll-out that has not begun.
const NotStarted = -1

// TransitionError means that a step is not allowed in the roll-out's state.
type TransitionError struct {
	// Rollout is the name of the plan or version.
	Rollout string
	// Message says what is wrong and what to do.
	Message string
}

// Error implements error.
func (e *TransitionError) Error() string { return fmt.Sprintf("%s: %s", e.Rollout, e.Message) }

func newTransitionError(name, format string, args ...any) error {
	return &TransitionError{Rollout: name, Message: fmt.Sprintf(format, args...)}
}

// Target returns the version that a plan rolls out.
func Target(plan *config.Rollout) config.Target {
	return config.Target{Model: plan.Model, Version: plan.To}
}

// InPlace returns the version that a plan replaces.
func InPlace(plan *config.Rollout) config.Target {
	return config.Target{Model: plan.Model, Version: plan.From}
}

// State returns a roll-out's progress. Its stage is NotStarted if there is none.
func State(rev *config.Revision, name string) config.RolloutState {
	if s, ok := rev.Stages[name]; ok {
		return s
	}
	return config.RolloutState{Stage: NotStarted}
}

// IsRunning reports whether a roll-out has begun and is neither promoted nor
// withdrawn.
func IsRunning(rev *config.Revision, name string) bool {
	plan := rev.Config.Rollouts[name]
	s := State(rev, name)
	return plan != nil && s.Stage >= 0 && s.Stage < len(plan.Stages) && !rev.IsWithdrawn(Target(plan))
}

// activePlan returns the named plan. It returns a TransitionError if there is no
// such plan or its version is withdrawn.
func activePlan(rev *config.Revision, name string) (*config.Rollout, error) {
	p := rev.Config.Rollouts[name]
	if p == nil {
		return nil, newTransitionError(name, "there is no such roll-out: \"config show\" lists them")
	}
	if rev.IsWithdrawn(Target(p)) {
		return nil, newTransitionError(name, "version %s is withdrawn: roll out a mended version under a new name, or lift the withdrawal with \"rollout restore %s\"", Target(p), Target(p))
	}
	return p, nil
}

// Start begins a roll-out at its first stage.
func Start(rev *config.Revision, name string, now time.Time) error {
	if _, err := activePlan(rev, name); err != nil {
		return err
	}
	if s := State(rev, name); s.Stage != NotStarted {
		return newTransitionError(name, "it is at stage %d already: use \"rollout continue\" if it is paused", s.Stage+1)
	}
	rev.Stages[name] = config.RolloutState{Stage: 0, Since: now}
	return nil
}

// Pause keeps a running roll-out at its present stage.
func Pause(rev *config.Revision, name string) error {
	if _, err := activePlan(rev, name); err != nil {
		return err
	}
	s := State(rev, name)
	if !IsRunning(rev, name) || s.Paused {
		return newTransitionError(name, "it is not moving, so there is nothing to pause: see \"status\"")
	}
	s.Paused = true
	rev.Stages[name] = s
	return nil
}

// Continue resumes a paused roll-out. The bake time of its stage starts again.
func Continue(rev *config.Revision, name string, now time.Time) error {
	if _, err := activePlan(rev, name); err != nil {
		return err
	}
	s := State(rev, name)
	if !IsRunning(rev, name) || !s.Paused {
		return newTransitionError(name, "it is not paused: use \"rollout start\" to begin it or \"rollout advance\" to go to the next stage now")
	}
	s.Paused = false
	s.Since = now
	rev.Stages[name] = s
	return nil
}

// Advance moves a roll-out to its next stage. After the last stage the new version
// is promoted.
func Advance(rev *config.Revision, name string, now time.Time) error {
	if _, err := activePlan(rev, name); err != nil {
		return err
	}
	s := State(rev, name)
	if !IsRunning(rev, name) || s.Paused {
		return newTransitionError(name, "it is not moving: use \"rollout start\" or \"rollout continue\" first")
	}
	rev.Stages[name] = config.RolloutState{Stage: s.Stage + 1, Since: now}
	return nil
}

// Promote skips the remaining stages: the new version gets all new sessions.
func Promote(rev *config.Revision, name string, now time.Time) error {
	p, err := activePlan(rev, name)
	if err != nil {
		return err
	}
	if !IsRunning(rev, name) {
		return newTransitionError(name, "it is not running: use \"rollout start\" first")
	}
	rev.Stages[name] = config.RolloutState{Stage: len(p.Stages), Since: now}
	return nil
}

// Withdraw stops all new work on a version.
func Withdraw(rev *config.Revision, t config.Target, reason string, now time.Time) error {
	if rev.Version(t) == nil {
		return newTransitionError(t.String(), "there is no such version: write model@version as \"config show\" lists it")
	}
	if _, ok := rev.Withdrawn[t]; ok {
		return newTransitionError(t.String(), "it is withdrawn already")
	}
	rev.Withdrawn[t] = config.Withdrawal{Reason: reason, At: now}
	return nil
}

// Restore lifts a withdrawal. Roll-outs of the version go back to NotStarted.
func Restore(rev *config.Revision, t config.Target) error {
	if _, ok := rev.Withdrawn[t]; !ok {
		return newTransitionError(t.String(), "it is not withdrawn by command: if the folder withdraws it, edit the folder")
	}
	delete(rev.Withdrawn, t)
	for name, p := range rev.Config.Rollouts {
		if Target(p) == t {
			delete(rev.Stages, name)
		}
	}
	return nil
}

// MinVerdicts is the minimum number of rated answers of the new version before a
// roll-out advances automatically.
const MinVerdicts = 30

// IsDue reports whether a roll-out may advance automatically: it is not paused, the
// bake time of its stage has passed, and enough answers of the new version were
// rated.
func IsDue(rev *config.Revision, name string, verdicts int, now time.Time) bool {
	if !IsRunning(rev, name) {
		return false
	}
	p, s := rev.Config.Rollouts[name], State(rev, name)
	if p.Paused || s.Paused || verdicts < MinVerdicts {
		return false
	}
	return !now.Before(s.Since.Add(p.Stages[s.Stage].Bake.Std()))
}
