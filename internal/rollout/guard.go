package rollout

import (
	"fmt"
	"time"
)

// Evidence is what is known of a version's answers.
type Evidence struct {
	// Rated counts verdicts of the rating service.
	Rated Counts
	// Served counts attempts that gave an answer and those that failed.
	Served Counts
	// Timely counts answers whose first token came within the rank's target
	// and those that came later.
	Timely Counts
}

// Plus adds two evidences.
func (e Evidence) Plus(o Evidence) Evidence {
	return Evidence{e.Rated.Plus(o.Rated), e.Served.Plus(o.Served), e.Timely.Plus(o.Timely)}
}

// Minus subtracts evidence seen before.
func (e Evidence) Minus(o Evidence) Evidence {
	return Evidence{e.Rated.Minus(o.Rated), e.Served.Minus(o.Served), e.Timely.Minus(o.Timely)}
}

// channels returns the three kinds of outcomes in their order.
func (e Evidence) channels() [channelCount]Counts {
	return [channelCount]Counts{e.Rated, e.Served, e.Timely}
}

// The channels, in the order of channelNames.
const (
	ratings = iota
	_       // errors
	_       // latency
	channelCount
)

var channelNames = [channelCount]string{"ratings", "errors", "latency"}

// margins are the losses, by channel, that are no fault.
var margins = [channelCount]float64{0.0, 0.01, 0.05}

const (
	// FalseAlarmBound is the chance at most that a version which is not worse
	// is ever withdrawn by a roll-out's guard.
	FalseAlarmBound = 0.01
	// HoldTime is how long a suspect version gets no new sessions.
	HoldTime = 2 * time.Minute
	// suspectShare is the part of a bound at which a version is suspect, and
	// clearShare that below which it is no longer.
	suspectShare = 1.0 / 3
	clearShare   = 1.0 / 30
)

// bounds are the evidence, by channel, at which a version is withdrawn. Their
// inverses add up to FalseAlarmBound; errors and latency are known of every
// answer at once and need less of it.
var bounds = [channelCount]float64{125, 1000, 1000}

// Verdict is what a guard says of a version.
type Verdict struct {
	// HoldUntil is until when the version should get no new sessions; zero
	// means no hold.
	HoldUntil time.Time
	// Withdraw tells that the bound is crossed.
	Withdraw bool
	// Reason tells the channel and the evidence.
	Reason string
}

// Guard judges a new version against the one in place, sequentially.
type Guard struct {
	tests   [channelCount]Test
	suspect bool
	hold    time.Time
}

// NewGuard returns a guard that has seen nothing.
func NewGuard() *Guard {
	g := &Guard{}
	for i := range g.tests {
		g.tests[i].Margin = margins[i]
	}
	return g
}

// Baseline takes outcomes of the version in place from before the roll-out:
// they tell what to expect of it, and are no evidence.
func (g *Guard) Baseline(old Evidence) {
	for i, c := range old.channels() {
		g.tests[i].old = g.tests[i].old.Plus(c)
	}
}

// Observe takes what both versions did since the last call, and judges.
func (g *Guard) Observe(old, next Evidence, now time.Time) Verdict {
	a, b := old.channels(), next.channels()
	worst, share := 0, 0.0
	for i := range g.tests {
		g.tests[i].Add(a[i], b[i])
		if e := g.tests[i].Evidence() / bounds[i]; e > share {
			worst, share = i, e
		}
	}
	v := Verdict{Reason: fmt.Sprintf("%s: evidence %.3g that it is worse than the version in place, bound %g", channelNames[worst], share*bounds[worst], bounds[worst])}
	switch {
	case share >= 1:
		v.Withdraw = true
		g.hold = now.Add(HoldTime)
	case share >= suspectShare && !g.suspect:
		g.suspect = true
		g.hold = now.Add(HoldTime)
	case share < clearShare:
		g.suspect = false
	}
	if now.Before(g.hold) {
		v.HoldUntil = g.hold
	}
	return v
}
