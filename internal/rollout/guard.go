package rollout

import (
	"fmt"
	"time"
)

// Evidence counts the outcomes of a version's answers in three channels.
type Evidence struct {
	// Rated counts the rating service's verdicts.
	Rated Counts
	// Served counts attempts: good if answered, bad if failed.
	Served Counts
	// Timely counts answers: good if the first token came within the rank's
	// target, bad if it came later.
	Timely Counts
}

// Plus returns the sum of two evidences.
func (e Evidence) Plus(o Evidence) Evidence {
	return Evidence{e.Rated.Plus(o.Rated), e.Served.Plus(o.Served), e.Timely.Plus(o.Timely)}
}

// Minus returns the evidence beyond an earlier total.
func (e Evidence) Minus(o Evidence) Evidence {
	return Evidence{e.Rated.Minus(o.Rated), e.Served.Minus(o.Served), e.Timely.Minus(o.Timely)}
}

// channels returns the counts in the order of channelNames.
func (e Evidence) channels() [channelCount]Counts {
	return [channelCount]Counts{e.Rated, e.Served, e.Timely}
}

// The channels, in the order of channelNames.
const (
	ratingsChannel = iota
	_              // errors
	_              // latency
	channelCount
)

var channelNames = [channelCount]string{"ratings", "errors", "latency"}

// lossMargins are the tolerated losses in the share of good outcomes, by
// channel.
var lossMargins = [channelCount]float64{0.0, 0.01, 0.05}

const (
	// FalseAlarmBound is the maximum probability that a roll-out's guard ever
	// withdraws a version that is not worse.
	FalseAlarmBound = 0.01
	// HoldTime is how long a suspect version gets no new sessions.
	HoldTime = 2 * time.Minute
	// suspectShare is the fraction of a bound at which a version becomes
	// suspect. Below clearShare it is no longer suspect.
	suspectShare = 1.0 / 3
	clearShare   = 1.0 / 30
)

// withdrawBounds are the evidence values, by channel, at which a version is
// withdrawn. Their inverses add up to FalseAlarmBound. Errors and latency get
// the smaller part of it, since every answer shows them at once.
var withdrawBounds = [channelCount]float64{125, 1000, 1000}

// AnalysisResult is the result of one analysis of a version.
type AnalysisResult struct {
	// HoldUntil is the end of the time in which the version should get no new
	// sessions. The zero value means no hold.
	HoldUntil time.Time
	// Withdraw is set if the evidence calls for a withdrawal.
	Withdraw bool
	// Reason names the channel and the evidence.
	Reason string
}

// Guard compares a new version with the one in place by one sequential test for
// each channel.
type Guard struct {
	tests     [channelCount]SequentialTest
	isSuspect bool
	holdUntil time.Time
}

// NewGuard returns a guard without outcomes.
func NewGuard() *Guard {
	g := &Guard{}
	for i := range g.tests {
		g.tests[i].Margin = lossMargins[i]
	}
	return g
}

// AddBaseline adds outcomes of the version in place from before the roll-out.
// They set its expected rates and are no evidence.
func (g *Guard) AddBaseline(old Evidence) {
	for i, c := range old.channels() {
		g.tests[i].baseline = g.tests[i].baseline.Plus(c)
	}
}

// Observe adds the outcomes of both versions since the last call and returns
// the analysis result at now.
func (g *Guard) Observe(old, next Evidence, now time.Time) AnalysisResult {
	oldCounts, nextCounts := old.channels(), next.channels()
	worst, share := 0, 0.0
	for i := range g.tests {
		g.tests[i].Add(oldCounts[i], nextCounts[i])
		if e := g.tests[i].Evidence() / withdrawBounds[i]; e > share {
			worst, share = i, e
		}
	}
	result := AnalysisResult{Reason: fmt.Sprintf("%s: evidence %.3g that it is worse than the version in place, bound %g", channelNames[worst], share*withdrawBounds[worst], withdrawBounds[worst])}
	switch {
	case share >= 1:
		result.Withdraw = true
		g.holdUntil = now.Add(HoldTime)
	case share >= suspectShare && !g.isSuspect:
		g.isSuspect = true
		g.holdUntil = now.Add(HoldTime)
	case share < clearShare:
		g.isSuspect = false
	}
	if now.Before(g.holdUntil) {
		result.HoldUntil = g.holdUntil
	}
	return result
}
