package admission

import "time"

// Bounds and steps of the concurrency limit.
const (
	minLimit        = 1
	targetMargin    = 0.9
	decreaseFactor  = 0.9
	samplesPerRaise = 4
	fullShare       = 0.8
)

// Limit learns how many streams a replica may run. Implementations are not
// safe for concurrent use.
type Limit interface {
	// Limit returns how many streams may run, at least 1.
	Limit() int
	// SetHighest changes the upper bound.
	SetHighest(highest int)
	// Observe takes one stream's mean time between tokens, seen while running
	// streams were batched.
	Observe(interval time.Duration, running int)
}

var _ Limit = (*Limiter)(nil)

// Limiter learns how many streams a replica may run so that the time between
// tokens stays under the target. It is not safe for concurrent use.
type Limiter struct {
	target  time.Duration
	highest int
	limit   float64
	good    int
}

// NewLimiter returns a limiter that starts at highest and never goes above
// it.
func NewLimiter(target time.Duration, highest int) *Limiter {
	return &Limiter{target: target, highest: max(highest, minLimit), limit: float64(max(highest, minLimit))}
}

// Limit implements Limit.
func (l *Limiter) Limit() int { return max(int(l.limit), minLimit) }

// SetHighest implements Limit.
func (l *Limiter) SetHighest(highest int) {
	l.highest = max(highest, minLimit)
	l.limit = min(l.limit, float64(l.highest))
}

// Observe implements Limit.
func (l *Limiter) Observe(interval time.Duration, running int) {
	if interval <= 0 {
		return
	}
	if interval > l.target {
		l.limit = max(l.limit*decreaseFactor, minLimit)
		l.good = 0
		return
	}
	nearlyFull := float64(running) >= fullShare*l.limit
	if !nearlyFull || float64(interval) > targetMargin*float64(l.target) {
		return
	}
	l.good++
	if l.good >= samplesPerRaise {
		l.good = 0
		l.limit = min(l.limit+1, float64(l.highest))
	}
}
