package dispatch

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// CompletedAnswer is a complete answer, reported for learning and rating.
type CompletedAnswer struct {
	// Request, Organisation and Kind identify the request that was answered.
	Request      string
	Organisation string
	Kind         string
	// Target is the version that answered. Text is its answer.
	Target config.Target
	Text   string
}

// Observer is notified of attempts and answers. Its methods must not block.
type Observer interface {
	// AttemptFinished reports the end of one attempt: whether it gave an answer, the time
	// to the first token, and the target for that time.
	AttemptFinished(t config.Target, ok bool, first, target time.Duration)
	// AnswerCompleted reports a complete answer.
	AnswerCompleted(a CompletedAnswer)
}

type noObserver struct{}

func (noObserver) AttemptFinished(config.Target, bool, time.Duration, time.Duration) {}
func (noObserver) AnswerCompleted(CompletedAnswer)                                   {}

// maxRatedBytes bounds the text of an answer that is kept for rating.
const maxRatedBytes = 64 << 10

// firstTokenTarget returns the first-token target of the rank at the given
// position.
func (d *Dispatcher) firstTokenTarget(rank int) time.Duration {
	for _, r := range d.Config.Current().Config.Ranks {
		if r.Order == rank {
			return r.FirstToken.Std()
		}
	}
	return config.DefaultFirstToken
}
