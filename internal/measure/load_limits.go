package measure

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
)

// aimdLimit raises the limit by one and lowers it by a tenth (additive
// increase, multiplicative decrease). It is a baseline for the router's
// limiter.
type aimdLimit struct {
	targetInterval time.Duration
	highest        int
	limit          float64
	goodIntervals  int
}

const (
	aimdRaiseMargin       = 0.9
	aimdDecreaseFactor    = 0.9
	aimdIntervalsPerRaise = 4
	aimdMinOccupancy      = 0.8
)

var _ admission.Limit = (*aimdLimit)(nil)

func newAIMDLimit(target time.Duration, highest int) admission.Limit {
	return &aimdLimit{targetInterval: target, highest: highest, limit: float64(highest)}
}

// Limit implements admission.Limit.
func (l *aimdLimit) Limit() int { return max(int(l.limit), 1) }

// SetHighest implements admission.Limit.
func (l *aimdLimit) SetHighest(highest int) {
	l.highest = highest
	l.limit = min(l.limit, float64(highest))
}

// Observe implements admission.Limit.
func (l *aimdLimit) Observe(interval time.Duration, batch float64) {
	switch {
	case interval > l.targetInterval:
		l.limit = max(l.limit*aimdDecreaseFactor, 1)
		l.goodIntervals = 0
	case batch >= aimdMinOccupancy*l.limit && float64(interval) <= aimdRaiseMargin*float64(l.targetInterval):
		l.goodIntervals++
		if l.goodIntervals >= aimdIntervalsPerRaise {
			l.goodIntervals = 0
			l.limit = min(l.limit+1, float64(l.highest))
		}
	}
}

// fixedLimit always keeps the configured limit.
type fixedLimit struct {
	highest int
}

var _ admission.Limit = (*fixedLimit)(nil)

func newFixedLimit(_ time.Duration, highest int) admission.Limit {
	return &fixedLimit{highest: highest}
}

// Limit implements admission.Limit.
func (l *fixedLimit) Limit() int { return l.highest }

// SetHighest implements admission.Limit.
func (l *fixedLimit) SetHighest(highest int) { l.highest = highest }

// Observe implements admission.Limit.
func (l *fixedLimit) Observe(time.Duration, float64) {}
