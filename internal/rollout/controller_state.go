package rollout

import (
	"encoding/json"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// ControllerStateSchema is the schema version of the encoded ControllerState.
const ControllerStateSchema = 1

// ErrStateMismatch means that a stored state is damaged or belongs to another run of the
// roll-out.
var ErrStateMismatch = errors.New("stored roll-out evidence is damaged or belongs to another run: starting without it")

// ControllerState is the state of a controller for one roll-out, stored so that
// another process can continue from it. It holds the totals last received from
// each process beside the evidence, so that only what later totals add counts.
type ControllerState struct {
	From config.Target `json:"from"`
	To   config.Target `json:"to"`
	// Stage and Since are the roll-out's progress when the state was exported.
	Stage int       `json:"stage"`
	Since time.Time `json:"since"`
	// Guard holds the evidence; Old and Next are outcomes that the guard has not
	// yet analyzed.
	Guard GuardState `json:"guard"`
	Old   Evidence   `json:"old"`
	Next  Evidence   `json:"next"`
	// Processes holds the totals counted so far.
	Processes []ProcessState `json:"processes"`
}

// GuardState is the serialized state of a Guard.
type GuardState struct {
	Tests   [channelCount]SequentialTestState `json:"tests"`
	Suspect bool                              `json:"suspect"`
	Hold    time.Time                         `json:"hold"`
}

// SequentialTestState is the serialized state of a SequentialTest.
type SequentialTestState struct {
	Old    Counts                `json:"old"`
	Wealth [len(effects)]float64 `json:"wealth"`
	Open   block                 `json:"open"`
}

// ProcessState holds the totals counted from one process.
type ProcessState struct {
	Process
	Old  Evidence `json:"old"`
	Next Evidence `json:"next"`
}

// ExportState returns the state for a roll-out as JSON, or nil if there is none or
// the roll-out is not running.
func (c *Controller) ExportState(rev *config.Revision, name string) (json.RawMessage, error) {
	g := c.guarded[name]
	if g == nil || !IsRunning(rev, name) {
		return nil, nil
	}
	s := State(rev, name)
	state := ControllerState{From: g.from, To: g.to, Stage: s.Stage, Since: s.Since, Guard: g.guard.state(), Old: g.pendingOld, Next: g.pendingNext}
	for _, r := range g.tracker.List() {
		state.Processes = append(state.Processes, ProcessState{Process: r.Process, Old: r.Totals[g.from], Next: r.Totals[g.to]})
	}
	body, err := json.Marshal(state)
	return body, errors.Wrap(err, "encode the evidence of a roll-out")
}

// RestoreState replaces the state for a roll-out by one that another controller
// exported. Totals received here meanwhile count as far as they are newer. If the
// state is damaged or belongs to another run, it returns [ErrStateMismatch] and changes
// nothing.
func (c *Controller) RestoreState(rev *config.Revision, name string, body json.RawMessage, now time.Time) error {
	var state ControllerState
	if json.Unmarshal(body, &state) != nil || !IsRunning(rev, name) || !state.matches(rev, name) {
		return ErrStateMismatch
	}
	g := newGuardedRollout(rev.Config.Rollouts[name])
	g.guard.restore(state.Guard)
	g.pendingOld, g.pendingNext = state.Old, state.Next
	for _, p := range state.Processes {
		g.tracker.Update(p.Process, Totals{g.from: p.Old, g.to: p.Next}, now)
	}
	if current := c.guarded[name]; current != nil {
		for _, r := range current.tracker.List() {
			g.addReport(r, now)
		}
	}
	c.guarded[name] = g
	return nil
}

// matches reports whether the state belongs to the roll-out's present run and has
// valid numbers. Within a run the stage never decreases, and a run begins with the
// first stage.
func (state ControllerState) matches(rev *config.Revision, name string) bool {
	plan, s := rev.Config.Rollouts[name], State(rev, name)
	if state.From != InPlace(plan) || state.To != Target(plan) || state.Stage < 0 || state.Stage > s.Stage || state.Since.After(s.Since) {
		return false
	}
	if s.Stage == 0 && !state.Since.Equal(s.Since) {
		return false
	}
	for _, t := range state.Guard.Tests {
		for _, w := range t.Wealth {
			if math.IsNaN(w) || math.IsInf(w, 0) {
				return false
			}
		}
	}
	return state.hasValidCounts()
}

// hasValidCounts reports whether no count is negative.
func (state ControllerState) hasValidCounts() bool {
	evidence := []Evidence{state.Old, state.Next}
	for _, p := range state.Processes {
		evidence = append(evidence, p.Old, p.Next)
	}
	for _, t := range state.Guard.Tests {
		evidence = append(evidence, Evidence{Rated: t.Old, Served: t.Open.Old, Timely: t.Open.Next})
	}
	for _, e := range evidence {
		for _, c := range e.channels() {
			if c.Good < 0 || c.Bad < 0 {
				return false
			}
		}
	}
	return true
}

// state returns the serializable state of the guard.
func (g *Guard) state() GuardState {
	state := GuardState{Suspect: g.isSuspect, Hold: g.holdUntil}
	for i, t := range g.tests {
		state.Tests[i] = SequentialTestState{Old: t.baseline, Wealth: t.logWealth, Open: t.openBlock}
	}
	return state
}

// restore replaces the state of the guard.
func (g *Guard) restore(state GuardState) {
	g.isSuspect, g.holdUntil = state.Suspect, state.Hold
	for i, t := range state.Tests {
		g.tests[i].baseline, g.tests[i].logWealth, g.tests[i].openBlock = t.Old, t.Wealth, t.Open
	}
}
