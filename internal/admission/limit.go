package admission

import (
	"math"
	"time"
)

const (
	minLimit = 1
	// fitDecay is the weight that old observations lose with each new one.
	fitDecay = 0.02
	// minBatchVariance is the least variance of the batch from which a slope
	// can be fitted.
	minBatchVariance = 0.5
	// targetMargin keeps the mean below the target, so that most streams meet
	// the target.
	targetMargin = 0.9
	// unreachableFactor is how many times the interval of a single stream is
	// allowed on a replica that cannot meet the target at all.
	unreachableFactor = 2.0
)

// Limit learns how many streams a replica may run. Implementations are not safe
// for concurrent use.
type Limit interface {
	// Limit returns how many streams may run, at least 1.
	Limit() int
	// SetHighest changes the upper bound.
	SetHighest(highest int)
	// Observe records one stream's mean time between tokens, measured at the
	// given mean batch.
	Observe(interval time.Duration, batch float64)
}

var _ Limit = (*Limiter)(nil)

// Limiter learns how the time between tokens grows with the batch, and sets the
// limit to the largest batch whose interval meets the target. It is not safe
// for concurrent use.
type Limiter struct {
	target  time.Duration
	highest int
	limit   int
	fit     fit
}

// NewLimiter returns a limiter that starts at highest and never exceeds it.
func NewLimiter(target time.Duration, highest int) *Limiter {
	highest = max(highest, minLimit)
	return &Limiter{target: target, highest: highest, limit: highest}
}

// Limit implements Limit.
func (l *Limiter) Limit() int { return l.limit }

// SetHighest implements Limit.
func (l *Limiter) SetHighest(highest int) {
	l.highest = max(highest, minLimit)
	l.refit()
}

// Observe implements Limit.
func (l *Limiter) Observe(interval time.Duration, batch float64) {
	if interval <= 0 || batch <= 0 {
		return
	}
	l.fit.add(batch, interval.Seconds())
	l.refit()
}

// refit sets the limit from the fitted line.
func (l *Limiter) refit() {
	base, slope, ok := l.fit.line()
	if !ok || slope <= 0 {
		l.limit = l.highest
		return
	}
	target := targetMargin * l.target.Seconds()
	if single := base + slope; single >= target {
		target = unreachableFactor * single
	}
	l.limit = min(max(int(math.Floor((target-base)/slope)), minLimit), l.highest)
}

// fit is a least-squares line with exponentially decaying weights.
type fit struct {
	weight, x, y, xx, xy float64
}

func (f *fit) add(x, y float64) {
	keep := 1 - fitDecay
	f.weight = f.weight*keep + 1
	f.x = f.x*keep + x
	f.y = f.y*keep + y
	f.xx = f.xx*keep + x*x
	f.xy = f.xy*keep + x*y
}

// line returns the value at zero and the slope; ok is false if the observations
// vary too little for a fit.
func (f *fit) line() (base, slope float64, ok bool) {
	if f.weight < 1 {
		return 0, 0, false
	}
	x, y := f.x/f.weight, f.y/f.weight
	spread := f.xx/f.weight - x*x
	if spread < minBatchVariance {
		return 0, 0, false
	}
	slope = (f.xy/f.weight - x*y) / spread
	return y - slope*x, slope, true
}
