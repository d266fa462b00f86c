package measure

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
)

// additive raises the limit by one and lowers it by a tenth, for comparison.
type additive struct {
	target  time.Duration
	highest int
	limit   float64
	good    int
}

const (
	additiveMargin = 0.9
	additiveFactor = 0.9
	goodPerRaise   = 4
	nearlyFull     = 0.8
)

var _ admission.Limit = (*additive)(nil)

func newAdditive(target time.Duration, highest int) admission.Limit {
	return &additive{target: target, highest: highest, limit: float64(highest)}
}

// Limit implements admission.Limit.
func (l *additive) Limit() int { return max(int(l.limit), 1) }

// SetHighest implements admission.Limit.
func (l *additive) SetHighest(highest int) {
	l.highest = highest
	l.limit = min(l.limit, float64(highest))
}

// Observe implements admission.Limit.
func (l *additive) Observe(interval time.Duration, batch float64) {
	switch {
	case interval > l.target:
		l.limit = max(l.limit*additiveFactor, 1)
		l.good = 0
	case batch >= nearlyFull*l.limit && float64(interval) <= additiveMargin*float64(l.target):
		l.good++
		if l.good >= goodPerRaise {
			l.good = 0
			l.limit = min(l.limit+1, float64(l.highest))
		}
	}
}

// fixed keeps the configured limit.
type fixed struct {
	highest int
}

var _ admission.Limit = (*fixed)(nil)

func newFixed(_ time.Duration, highest int) admission.Limit { return &fixed{highest: highest} }

// Limit implements admission.Limit.
func (l *fixed) Limit() int { return l.highest }

// SetHighest implements admission.Limit.
func (l *fixed) SetHighest(highest int) { l.highest = highest }

// Observe implements admission.Limit.
func (l *fixed) Observe(time.Duration, float64) {}
