package meter

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// Health describes how the platform's services recently answered.
type Health struct {
	// LastAnswer and LastFailure are zero before the first answer or failure.
	LastAnswer  time.Time `json:"last_answer,omitzero"`
	LastFailure time.Time `json:"last_failure,omitzero"`
	// FailuresInRow counts the failed calls since the last answer.
	FailuresInRow int `json:"failures_in_row"`
	// Cause is the error text of the last failure.
	Cause string `json:"cause,omitempty"`
}

// AnswerAge returns the time since the last answer, zero before the first.
func (h Health) AnswerAge(now time.Time) time.Duration {
	if h.LastAnswer.IsZero() {
		return 0
	}
	return now.Sub(h.LastAnswer)
}

// HealthLog tracks the health of the platform's services. It is safe for
// concurrent use.
type HealthLog struct {
	mu    sync.Mutex
	state Health // guarded by mu
}

// Current returns the present health.
func (l *HealthLog) Current() Health {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// record records the result of one call. A refusal counts as an answer; a
// throttled call counts as neither answer nor failure.
func (l *HealthLog) record(at time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(err, infra.ErrThrottled):
	case errors.Is(err, infra.ErrUnavailable):
		l.state.LastFailure = at
		l.state.FailuresInRow++
		l.state.Cause = err.Error()
	default:
		l.state.LastAnswer = at
		l.state.FailuresInRow = 0
	}
}
