package meter

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// Health tells how the platform answered of late.
type Health struct {
	// LastAnswer and LastFailure are zero if there was none yet.
	LastAnswer  time.Time `json:"last_answer,omitzero"`
	LastFailure time.Time `json:"last_failure,omitzero"`
	// FailuresInRow counts the calls that failed since the last answer.
	FailuresInRow int `json:"failures_in_row"`
	// Cause is the last failure's text.
	Cause string `json:"cause,omitempty"`
}

// AnswerAge returns the time since the last answer, zero before the first.
func (h Health) AnswerAge(now time.Time) time.Duration {
	if h.LastAnswer.IsZero() {
		return 0
	}
	return now.Sub(h.LastAnswer)
}

// HealthLog follows the platform's answers. It is safe for concurrent use.
type HealthLog struct {
	mu  sync.Mutex
	now Health // guarded by mu
}

// Now returns the present state.
func (l *HealthLog) Now() Health {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now
}

// note takes the result of one call. A refusal is an answer.
func (l *HealthLog) note(at time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(err, infra.ErrThrottled):
	case errors.Is(err, infra.ErrUnavailable):
		l.now.LastFailure = at
		l.now.FailuresInRow++
		l.now.Cause = err.Error()
	default:
		l.now.LastAnswer = at
		l.now.FailuresInRow = 0
	}
}
