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
	withdrawAt      = channelCount / FalseAlarmBound
	suspectAt       = withdrawAt / 5
	// HoldTime is how long a suspect version gets no new sessions.
	HoldTime = 2 * time.Minute
	// Probation is the number of new answers after a hold before the next.
	Probation = 20
	// holdGrowth is by how much evidence must grow for another hold.
	holdGrowth = 2
)

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
	tests [channelCount]Test
	held  float64
	hold  time.Time
	tried int // outcomes of the new version since the last hold began
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
	worst, most, tried := 0, 0.0, 0
	for i := range g.tests {
		tried = max(tried, b[i].Total())
		g.tests[i].Add(a[i], b[i])
		if e := g.tests[i].Evidence(); e > most {
			worst, most = i, e
		}
	}
	v := Verdict{Reason: fmt.Sprintf("%s: evidence %.3g that it is worse than the version in place, bound %.3g", channelNames[worst], most, float64(withdrawAt))}
	if most >= withdrawAt {
		v.Withdraw = true
		v.HoldUntil = now.Add(HoldTime)
		return v
	}
	if !now.Before(g.hold) {
		g.tried += tried
	}
	if g.suspect(most) && !now.Before(g.hold) {
		g.held = most
		g.tried = 0
		g.hold = now.Add(HoldTime)
	}
	if now.Before(g.hold) {
		v.HoldUntil = g.hold
	}
	return v
}

// suspect tells whether the evidence is worth a hold: the first time it
// reaches the bound, later once it has grown over a number of new outcomes.
func (g *Guard) suspect(evidence float64) bool {
	if evidence < suspectAt {
		return false
	}
	return g.held == 0 || (evidence >= g.held*holdGrowth && g.tried >= Probation)
}
