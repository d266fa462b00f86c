package edge

import (
	"math"

	"github.com/cowslipfall/cowslipfall/internal/rollout"
)

const (
	// failedMargin and slowMargin are the additional shares of answers that fail
	// or are slow which are no fault of a version: a new one's caches are cold.
	failedMargin = 0.02
	slowMargin   = 0.04
	// convictEvidence is the evidence at which a version counts as bad; a good
	// one reaches it in one of 8 roll-outs at most. Bringing a good version in
	// once more costs callers nothing, a bad one that stays does.
	convictEvidence = 8
	// promoteEvidence is the same once the canary's time is over: a version that
	// looks rather bad than good by then does not get more of the sessions.
	promoteEvidence = 2
	// promoteFrom is the part of a roll-out's time from which that holds.
	promoteFrom = 0.5
	// Weights of the tests in the evidence. They add up to 1, so that the bound
	// on false verdicts holds for the sum: failures and slow answers of all
	// routes, and those of single routes, which share theirs. Failures weigh
	// more, as slow answers also come from load.
	weightFailed      = 0.2
	weightSlow        = 0.15
	weightRouteFailed = 0.55
	weightRouteSlow   = 0.1
)

// outcomes counts the answers of one version.
type outcomes struct {
	Good   int `json:"g,omitempty"`
	Failed int `json:"f,omitempty"`
	// Slow answers took several times the usual time.
	Slow int `json:"s,omitempty"`
}

func (o outcomes) plus(x outcomes) outcomes {
	return outcomes{o.Good + x.Good, o.Failed + x.Failed, o.Slow + x.Slow}
}

func (o outcomes) minus(x outcomes) outcomes {
	return outcomes{o.Good - x.Good, o.Failed - x.Failed, o.Slow - x.Slow}
}

func (o outcomes) half() outcomes { return outcomes{o.Good / 2, o.Failed / 2, o.Slow / 2} }

func (o outcomes) atLeast(x outcomes) outcomes {
	return outcomes{max(o.Good, x.Good), max(o.Failed, x.Failed), max(o.Slow, x.Slow)}
}

// failures and slowness are what each test looks at: an answer that failed says
// nothing of how long a good one takes.
func (o outcomes) failures() rollout.Counts {
	return rollout.Counts{Good: o.Good + o.Slow, Bad: o.Failed}
}

func (o outcomes) slowness() rollout.Counts { return rollout.Counts{Good: o.Good, Bad: o.Slow} }

// comparison is what both versions did on a route.
type comparison struct {
	Old outcomes `json:"old"`
	New outcomes `json:"new"`
}

func (c comparison) plus(x comparison) comparison {
	return comparison{c.Old.plus(x.Old), c.New.plus(x.New)}
}

// trial holds the sequential tests of one comparison.
type trial struct {
	seen         comparison
	failed, slow rollout.Test
}

func newTrial() *trial {
	return &trial{failed: rollout.Test{Margin: failedMargin}, slow: rollout.Test{Margin: slowMargin}}
}

// add takes totals so far.
func (t *trial) add(c comparison) {
	// A node that left takes its counts along: totals never fall.
	c = comparison{c.Old.atLeast(t.seen.Old), c.New.atLeast(t.seen.New)}
	if t.seen == (comparison{}) {
		// A node that starts in the middle of a roll-out gets all that the others
		// saw at once; without a baseline the test would not weigh it.
		t.seen.Old = c.Old.half()
		t.failed.Baseline(t.seen.Old.failures())
		t.slow.Baseline(t.seen.Old.slowness())
	}
	old, next := c.Old.minus(t.seen.Old), c.New.minus(t.seen.New)
	t.failed.Add(old.failures(), next.failures())
	t.slow.Add(old.slowness(), next.slowness())
	t.seen = c
}

// judge weighs what all nodes saw of a new version. Failures and slow answers
// are tested apart, so that slow answers under load do not hide failures, and
// each route by itself too, since a version may be bad on one alone.
type judge struct {
	all    *trial
	routes map[string]*trial
}

func newJudge() *judge { return &judge{all: newTrial(), routes: map[string]*trial{}} }

// evaluate takes totals so far, by route, and returns the evidence against the
// new version.
func (j *judge) evaluate(totals map[string]comparison) float64 {
	var sum comparison
	for name, c := range totals {
		if j.routes[name] == nil {
			j.routes[name] = newTrial()
		}
		j.routes[name].add(c)
		sum = sum.plus(c)
	}
	j.all.add(sum)
	evidence := weightFailed*j.all.failed.Evidence() + weightSlow*j.all.slow.Evidence()
	share := 1 / math.Max(float64(len(j.routes)), 1)
	for _, t := range j.routes {
		evidence += share * (weightRouteFailed*t.failed.Evidence() + weightRouteSlow*t.slow.Evidence())
	}
	return evidence
}

// convicts tells whether the evidence suffices at a part of the roll-out's time.
func convicts(evidence, elapsed float64) bool {
	if elapsed >= promoteFrom {
		return evidence >= promoteEvidence
	}
	return evidence >= convictEvidence
}
