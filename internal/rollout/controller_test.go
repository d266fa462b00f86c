package rollout

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// reporters simulates nodes that report their running totals to a controller.
type reporters struct {
	rng    *rand.Rand
	totals [4]Totals
}

func newReporters() *reporters {
	r := &reporters{rng: rand.New(rand.NewPCG(20261204, 3))}
	for i := range r.totals {
		r.totals[i] = Totals{}
	}
	return r
}

// report has every node serve some answers and report its totals. Every second
// node reports twice.
func (r *reporters) report(controller *Controller, rev *config.Revision, quality map[config.Target]float64, answers int, now time.Time) {
	for i, totals := range r.totals {
		for t, q := range quality {
			totals[t] = totals[t].Plus(Evidence{Rated: counts(r.rng, answers, q)})
		}
		for range 1 + i%2 {
			controller.Report(rev, Report{Process{string(rune('a' + i)), 1}, maps.Clone(totals), true}, now)
		}
	}
}

var (
	oldVersion = config.Target{Model: "kuski", Version: "v1"}
	newVersion = config.Target{Model: "kuski", Version: "v2"}
	otherModel = config.Target{Model: "emanta", Version: "v3"}
)

func runningRevision(stage int) *config.Revision {
	rev := revision()
	rev.Config.Models["emanta"] = &config.Model{Default: "v3", Versions: map[string]*config.Version{"v3": {}}}
	rev.Stages["r"] = config.RolloutState{Stage: stage, Since: time.Unix(0, 0)}
	return rev
}

func ownsAll(string) bool { return true }

// firstAction runs the analysis block by block and returns the first action.
func firstAction(controller *Controller, rev *config.Revision, r *reporters, quality map[config.Target]float64, blocks int, from time.Time) (Action, bool) {
	for block := range blocks {
		now := from.Add(time.Duration(block) * 10 * time.Second)
		r.report(controller, rev, quality, 3, now)
		decisions := controller.Analyze(rev, ownsAll, true, now)
		if len(decisions.Actions) > 0 {
			return decisions.Actions[0], true
		}
	}
	return Action{}, false
}

// A good version advances once the bake time has passed and enough answers were
// rated, and a bad version is withdrawn. Some nodes report the same totals twice,
// which must count once.
func TestControllerAdvancesAndWithdraws(t *testing.T) {
	is := is.New(t)
	rev, good := runningRevision(0), map[config.Target]float64{oldVersion: 0.82, newVersion: 0.82, otherModel: 0.95}
	a, ok := firstAction(NewController(), rev, newReporters(), good, 100, time.Unix(0, 0))
	is.True(ok)
	is.Equal(a.Kind, ActionAdvance)
	controller := NewController()
	_, ok = firstAction(controller, rev, newReporters(), map[config.Target]float64{oldVersion: 0.82}, 100, time.Unix(0, 0))
	is.True(!ok) // no answer of the new version was rated
	bad := map[config.Target]float64{oldVersion: 0.82, newVersion: 0.5, otherModel: 0.95}
	rev.Config.Rollouts["r"].Stages[0].Bake = config.Duration(time.Hour)
	a, ok = firstAction(NewController(), rev, newReporters(), bad, 100, time.Unix(0, 0))
	is.True(ok)
	is.Equal(a.Kind, ActionWithdraw)
	is.Equal(a.Target, newVersion)
}

// A promoted version that turns bad is withdrawn, since the model has another
// version to fall back to. The only version of a model is held, not withdrawn.
func TestControllerWatchesVersionsInPlace(t *testing.T) {
	for _, c := range []struct {
		name          string
		bad           config.Target
		wantWithdrawn bool
	}{{"promoted", newVersion, true}, {"without another", otherModel, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rev, controller, r := runningRevision(3), NewController(), newReporters()
			quality := map[config.Target]float64{newVersion: 0.82, otherModel: 0.95}
			_, ok := firstAction(controller, rev, r, quality, 400, time.Unix(0, 0))
			is.True(!ok)
			quality[c.bad] -= 0.3
			isHeld, isWithdrawn := false, false
			for block := range 120 {
				now := time.Unix(int64(4000+block*10), 0)
				r.report(controller, rev, quality, 3, now)
				decisions := controller.Analyze(rev, ownsAll, true, now)
				_, inHolds := decisions.Holds[c.bad]
				isHeld = isHeld || inHolds
				for _, a := range decisions.Actions {
					is.Equal(a.Target, c.bad)
					isWithdrawn = isWithdrawn || a.Kind == ActionWithdraw
				}
			}
			is.True(isHeld)
			is.Equal(isWithdrawn, c.wantWithdrawn)
		})
	}
}

// The totals of a restarted node begin at zero. Late reports of the earlier
// process must change nothing, and the first totals of a version from a process
// that has reported before are all new.
func TestDeltaTracker(t *testing.T) {
	is := is.New(t)
	tracker, now := NewDeltaTracker(), time.Unix(0, 0)
	ten := Evidence{Rated: Counts{Good: 10}}
	twelve := Evidence{Rated: Counts{Good: 11, Bad: 1}}
	_, first := tracker.Update(Process{"a", 1}, Totals{oldVersion: ten}, now)
	is.True(first)
	deltas, first := tracker.Update(Process{"a", 1}, Totals{oldVersion: twelve}, now)
	is.True(!first)
	is.Equal(deltas[oldVersion].Rated, Counts{Good: 1, Bad: 1})
	deltas, _ = tracker.Update(Process{"a", 1}, Totals{oldVersion: ten}, now)
	is.Equal(deltas[oldVersion], Evidence{})
	deltas, first = tracker.Update(Process{"a", 1}, Totals{oldVersion: ten, newVersion: ten}, now)
	is.True(!first)
	is.Equal(deltas, Totals{newVersion: ten})
	_, first = tracker.Update(Process{"a", 2}, Totals{oldVersion: ten}, now)
	is.True(first)
	deltas, first = tracker.Update(Process{"a", 1}, Totals{oldVersion: twelve}, now)
	is.True(!first)
	is.Equal(deltas[oldVersion], Evidence{})
	is.Equal(tracker.Total(oldVersion), ten)
}

// A node's first answers of a new version are evidence if the node has reported
// before. At the design size each node serves few of them, so dropping them would
// hide a bad version.
func TestFirstAnswersOfNewVersionCount(t *testing.T) {
	is := is.New(t)
	rev, controller, now := runningRevision(0), NewController(), time.Unix(0, 0)
	rev.Config.Rollouts["r"].Stages[0].Bake = config.Duration(time.Hour)
	isWithdrawn := false
	for i := range 200 {
		p := Process{fmt.Sprint("node-", i), 1}
		controller.Report(rev, Report{Process: p, Totals: Totals{oldVersion: {Rated: Counts{Good: 100}}, newVersion: {}}}, now)
		controller.Report(rev, Report{Process: p, Totals: Totals{oldVersion: {Rated: Counts{Good: 104}}, newVersion: {Rated: Counts{Bad: 1}}}}, now)
		now = now.Add(time.Second)
		for _, a := range controller.Analyze(rev, ownsAll, false, now).Actions {
			isWithdrawn = isWithdrawn || a.Kind == ActionWithdraw
		}
	}
	is.True(isWithdrawn)
}
