package dispatch

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// Answered is a whole answer, for learning and rating.
type Answered struct {
	// Request, Organisation and Kind tell whose answer it is.
	Request      string
	Organisation string
	Kind         string
	// Target is the version that made it, Text the answer.
	Target config.Target
	Text   string
}

// Observer learns from attempts and answers. Its methods return at once.
type Observer interface {
	// Tried takes the end of one attempt: whether it gave an answer, and how
	// long the first token took beside its target.
	Tried(t config.Target, ok bool, first, target time.Duration)
	// Answered takes a whole answer.
	Answered(a Answered)
}

type noObserver struct{}

func (noObserver) Tried(config.Target, bool, time.Duration, time.Duration) {}
func (noObserver) Answered(Answered)                                       {}

// maxRatedBytes bounds the answers that are kept for rating.
const maxRatedBytes = 64 << 10

// firstTokenTarget returns the target of a rank's order.
func (d *Dispatcher) firstTokenTarget(rank int) time.Duration {
	for _, r := range d.Config.Current().Config.Ranks {
		if r.Order == rank {
			return r.FirstToken.Std()
		}
	}
	return config.DefaultFirstToken
}
