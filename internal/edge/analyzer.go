package edge

import (
	"math"

	"github.com/cowslipfall/cowslipfall/internal/rollout"
)

const (
	// failedMargin and slowMargin are the additional shares of failed and slow answers
	// that are not held against a new version: its caches are cold.
	failedMargin = 0.02
	slowMargin   = 0.04
	// revertEvidence is the evidence at which a version fails the analysis. A good version
	// reaches it in one of 8 roll-outs at most. Ordering a good version again costs
	// callers nothing, but a bad version that stays harms them.
	revertEvidence = 8
	// promotionRevertEvidence applies in place of revertEvidence once the canary's time is
	// over: a version that looks more likely bad than good by then gets no larger share of
	// the sessions.
	promotionRevertEvidence = 2
	// promotionStart is the part of a roll-out's time from which promotionRevertEvidence
	// applies.
	promotionStart = 0.5
	// Weights of the tests in the evidence. They add up to 1, so that the bound on false
	// positives holds for the sum: failures and slow answers of all routes, and those of
	// single routes, which share their weights. Failures weigh more, as slow answers also
	// come from load.
	weightFailed      = 0.2
	weightSlow        = 0.15
	weightRouteFailed = 0.55
	weightRouteSlow   = 0.1
)

// outcomes counts the answers of one version.
type outcomes struct {
	Good   int `json:"g,omitempty"`
	Failed int `json:"f,omitempty"`
	// Slow counts the answers that took several times the usual latency.
	Slow int `json:"s,omitempty"`
}

func (o outcomes) plus(x outcomes) outcomes {
	return outcomes{o.Good + x.Good, o.Failed + x.Failed, o.Slow + x.Slow}
}

func (o outcomes) minus(x outcomes) outcomes {
	return outcomes{o.Good - x.Good, o.Failed - x.Failed, o.Slow - x.Slow}
}

func (o outcomes) halved() outcomes { return outcomes{o.Good / 2, o.Failed / 2, o.Slow / 2} }

// pairwiseMax returns the larger of each pair of counts.
func (o outcomes) pairwiseMax(x outcomes) outcomes {
	return outcomes{max(o.Good, x.Good), max(o.Failed, x.Failed), max(o.Slow, x.Slow)}
}

// failureCounts and slownessCounts return the input of each test. Failed answers are
// left out of slownessCounts: they say nothing about the latency of good ones.
func (o outcomes) failureCounts() rollout.Counts {
	return rollout.Counts{Good: o.Good + o.Slow, Bad: o.Failed}
}

func (o outcomes) slownessCounts() rollout.Counts { return rollout.Counts{Good: o.Good, Bad: o.Slow} }

// comparison holds the outcomes of both versions on a route.
type comparison struct {
	Old outcomes `json:"old"`
	New outcomes `json:"new"`
}

func (c comparison) plus(x comparison) comparison {
	return comparison{c.Old.plus(x.Old), c.New.plus(x.New)}
}

// comparisonTest holds the sequential tests of one comparison.
type comparisonTest struct {
	totals                    comparison
	failureTest, slownessTest rollout.SequentialTest
}

func newComparisonTest() *comparisonTest {
	return &comparisonTest{failureTest: rollout.SequentialTest{Margin: failedMargin}, slownessTest: rollout.SequentialTest{Margin: slowMargin}}
}

// update feeds the growth of the totals since the last update to the tests.
func (t *comparisonTest) update(c comparison) {
	// The counts of a node that left are no longer received, but totals must never fall.
	c = comparison{c.Old.pairwiseMax(t.totals.Old), c.New.pairwiseMax(t.totals.New)}
	if t.totals == (comparison{}) {
		// A node that starts in the middle of a roll-out gets the counts of all other nodes at
		// once. Without a baseline the test would not weigh them.
		t.totals.Old = c.Old.halved()
		t.failureTest.AddBaseline(t.totals.Old.failureCounts())
		t.slownessTest.AddBaseline(t.totals.Old.slownessCounts())
	}
	oldDelta, newDelta := c.Old.minus(t.totals.Old), c.New.minus(t.totals.New)
	t.failureTest.Add(oldDelta.failureCounts(), newDelta.failureCounts())
	t.slownessTest.Add(oldDelta.slownessCounts(), newDelta.slownessCounts())
	t.totals = c
}

// analyzer weighs the outcomes of a new version that all nodes counted. Failures and
// slow answers are tested separately, so that slow answers under load do not hide
// failures. Each route is also tested by itself, since a version may fail on one only.
type analyzer struct {
	overall *comparisonTest
	routes  map[string]*comparisonTest
}

func newAnalyzer() *analyzer {
	return &analyzer{overall: newComparisonTest(), routes: map[string]*comparisonTest{}}
}

// evaluate updates the tests with the totals so far, by route, and returns the
// evidence against the new version.
func (a *analyzer) evaluate(totals map[string]comparison) float64 {
	var sum comparison
	for name, c := range totals {
		if a.routes[name] == nil {
			a.routes[name] = newComparisonTest()
		}
		a.routes[name].update(c)
		sum = sum.plus(c)
	}
	a.overall.update(sum)
	evidence := weightFailed*a.overall.failureTest.Evidence() + weightSlow*a.overall.slownessTest.Evidence()
	share := 1 / math.Max(float64(len(a.routes)), 1)
	for _, t := range a.routes {
		evidence += share * (weightRouteFailed*t.failureTest.Evidence() + weightRouteSlow*t.slownessTest.Evidence())
	}
	return evidence
}

// failsAnalysis reports whether the evidence suffices to revert at a part of the
// roll-out's time, 0 to 1.
func failsAnalysis(evidence, elapsed float64) bool {
	if elapsed >= promotionStart {
		return evidence >= promotionRevertEvidence
	}
	return evidence >= revertEvidence
}
