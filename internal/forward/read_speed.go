package forward

import (
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

const (
	// initialPerToken is the time to read a prompt token that is assumed for a
	// model without samples. It is that of a large model.
	initialPerToken = 60 * time.Microsecond
	// sampleQuantile is the quantile of the times to the first event per token
	// that is taken as the read time alone. Waiting makes the other samples
	// longer.
	sampleQuantile = 0.25
	// estimateStep is the relative change of the estimate by one sample. The
	// first samples change it by up to firstEstimateStep.
	estimateStep      = 0.04
	firstEstimateStep = 0.5
	// minRereadCost is the least time counted per token for reading again what
	// another engine has cached. Even a fast model has this cost in the
	// comparison of engines.
	minRereadCost = 50 * time.Microsecond
	// minSampleTokens is the number of tokens below which the time to the first
	// event is mostly fixed latency.
	minSampleTokens = 1200
	// fixedLatency is the part of the time to the first event that does not
	// depend on the prompt: the links between data centres and one step of the
	// engine.
	fixedLatency = 15 * time.Millisecond
)

// readSpeeds learns how long each model takes to read a prompt token. It is
// safe for concurrent use.
type readSpeeds struct {
	mu     sync.Mutex
	models map[string]readSpeed // guarded by mu
}

// readSpeed is the estimated read time per token and the number of samples.
type readSpeed struct {
	perToken time.Duration
	samples  int
}

func newReadSpeeds() *readSpeeds { return &readSpeeds{models: map[string]readSpeed{}} }

// readTime returns the expected time to read some tokens.
func (s *readSpeeds) readTime(model string, tokens float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.models[model]
	if !ok {
		m.perToken = initialPerToken
	}
	return time.Duration(tokens * float64(m.perToken))
}

// readTimeOf returns the expected time to read some tokens. For a model without
// samples it is that of the largest model, reduced in proportion to the price.
func (s *readSpeeds) readTimeOf(m, largest route.Model, tokens float64) time.Duration {
	s.mu.Lock()
	hasSamples := s.models[m.Name].samples > 0
	s.mu.Unlock()
	if hasSamples {
		return s.readTime(m.Name, tokens)
	}
	return time.Duration(float64(s.readTime(largest.Name, tokens)) * min(m.Cost/largest.Cost, 1))
}

// comparisonCost returns the cost of reading some tokens when engines are
// compared.
func (s *readSpeeds) comparisonCost(model string, tokens float64) time.Duration {
	return max(s.readTime(model, tokens), time.Duration(tokens*float64(minRereadCost)))
}

// observe adds a sample from the time to the first event of an answer.
func (s *readSpeeds) observe(model string, tokens float64, timeToFirst time.Duration) {
	if tokens < minSampleTokens {
		return
	}
	sample := time.Duration(float64(max(timeToFirst-fixedLatency, 0)) / tokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[model]
	if m.samples == 0 {
		m.perToken = min(sample, initialPerToken)
	}
	m.samples++
	step := max(estimateStep, firstEstimateStep/float64(m.samples))
	if sample > m.perToken {
		m.perToken += time.Duration(step * sampleQuantile * float64(m.perToken))
	} else {
		m.perToken -= time.Duration(step * (1 - sampleQuantile) * float64(m.perToken))
	}
	m.perToken = max(m.perToken, time.Microsecond)
	s.models[model] = m
}
