package forward

import (
	"sync"
	"time"
)

const (
	// speedPrior is the time to read a prompt token that is assumed of a model
	// of which nothing was seen; it is that of a large model.
	speedPrior = 60 * time.Microsecond
	// speedQuantile of the times to the first event, by prompt token, is taken
	// for the time of reading alone: waits make the others longer, cached parts
	// some shorter.
	speedQuantile = 0.5
	// speedStep is by how much one sample moves the estimate.
	speedStep = 0.04
	// leastSample is the prompt below which the time to the first event is
	// mostly that of the way.
	leastSample = 400
)

// speeds learns how long each model takes to read a token of a prompt. It is
// safe for concurrent use.
type speeds struct {
	mu     sync.Mutex
	models map[string]time.Duration // guarded by mu
}

func newSpeeds() *speeds { return &speeds{models: map[string]time.Duration{}} }

// read returns the expected time to read some tokens.
func (s *speeds) read(model string, tokens float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	per, ok := s.models[model]
	if !ok {
		per = speedPrior
	}
	return time.Duration(tokens * float64(per))
}

// observe takes the time to the first event of an answer.
func (s *speeds) observe(model string, tokens float64, first time.Duration) {
	if tokens < leastSample {
		return
	}
	sample := time.Duration(float64(first) / tokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	per, ok := s.models[model]
	switch {
	case !ok:
		per = min(sample, speedPrior)
	case sample > per:
		per += time.Duration(speedStep * speedQuantile * float64(per))
	default:
		per -= time.Duration(speedStep * (1 - speedQuantile) * float64(per))
	}
	s.models[model] = max(per, time.Microsecond)
}
