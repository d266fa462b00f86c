package forward

import (
	"sync"
	"time"
)

const (
	// speedPrior is the time to read a prompt token that is assumed of a model
	// of which nothing was seen; it is that of a large model.
	speedPrior = 60 * time.Microsecond
	// speedQuantile of the times to the first event, by token to read, is taken
	// for the time of reading alone: waits make the others longer.
	speedQuantile = 0.25
	// speedStep is by how much one sample moves the estimate, the first ones
	// move it by more.
	speedStep = 0.04
	firstStep = 0.5
	// rereadPrice is the time that reading a token again, which another engine
	// has cached, counts for at least when engines are compared: it costs even
	// where the model is fast.
	rereadPrice = 50 * time.Microsecond
	// leastSample is the number of tokens to read below which the time to the
	// first event is mostly that of the way.
	leastSample = 1200
	// wayTime is the part of it that does not depend on the prompt: the links
	// between data centres and one step of the engine.
	wayTime = 15 * time.Millisecond
)

// speeds learns how long each model takes to read a token of a prompt. It is
// safe for concurrent use.
type speeds struct {
	mu     sync.Mutex
	models map[string]speed // guarded by mu
}

// speed is the time to read a token, and of how many samples.
type speed struct {
	per     time.Duration
	samples int
}

func newSpeeds() *speeds { return &speeds{models: map[string]speed{}} }

// read returns the expected time to read some tokens.
func (s *speeds) read(model string, tokens float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.models[model]
	if !ok {
		m.per = speedPrior
	}
	return time.Duration(tokens * float64(m.per))
}

// weight returns what reading some tokens counts for when engines are compared.
func (s *speeds) weight(model string, tokens float64) time.Duration {
	return max(s.read(model, tokens), time.Duration(tokens*float64(rereadPrice)))
}

// observe takes the time to the first event of an answer.
func (s *speeds) observe(model string, tokens float64, first time.Duration) {
	if tokens < leastSample {
		return
	}
	sample := time.Duration(float64(max(first-wayTime, 0)) / tokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[model]
	if m.samples == 0 {
		m.per = min(sample, speedPrior)
	}
	m.samples++
	step := max(speedStep, firstStep/float64(m.samples))
	if sample > m.per {
		m.per += time.Duration(step * speedQuantile * float64(m.per))
	} else {
		m.per -= time.Duration(step * (1 - speedQuantile) * float64(m.per))
	}
	m.per = max(m.per, time.Microsecond)
	s.models[model] = m
}
