package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

var largeModel = route.Model{Name: "large", Cost: 0.3}

func newPromptRequest(name string, tokens float64) *Request {
	return &Request{Route: &route.Route{Name: name}, PromptTokens: tokens, OutputTokens: 100, ExpectedTokens: 50}
}

// acceptsByConstants reports whether an answer is accepted in an earlier deployment.
func acceptsByConstants(c *Cascade, confidence float64, q *Request, step escalationCost) bool {
	return c.decideByConstants(confidence, q, step).model == noModel
}

// With a load of long prompts, asking the large model again costs more. Answers
// to long prompts must be accepted at a lower confidence than answers to short
// ones.
func TestLongPromptsEscalateLess(t *testing.T) {
	is := is.New(t)
	c := NewCascade()
	step := escalationCost{model: largeModel, read: 300 * time.Millisecond, timeLeft: 5 * time.Second}
	long, short := newPromptRequest("long", 9000), newPromptRequest("short", 700)
	is.True(acceptsByConstants(c, 52, long, step))
	is.True(!acceptsByConstants(c, 52, short, step))
	is.True(!acceptsByConstants(c, 20, long, step))
	is.True(acceptsByConstants(c, 90, short, step))
}

// A flood makes prompts wait for engines and raises the price of engine time.
// Fewer answers must be escalated, those with the lowest confidence last.
func TestFloodRaisesEscalationCost(t *testing.T) {
	is := is.New(t)
	c := NewCascade()
	accepted := 0
	for _, wait := range []time.Duration{0, 500 * time.Millisecond, time.Second, 3 * time.Second} {
		now := 0
		for confidence := 0.0; confidence <= 100; confidence += 5 {
			if acceptsByConstants(c, confidence, newPromptRequest("r", 2000), escalationCost{model: largeModel, read: 400 * time.Millisecond, wait: wait, timeLeft: 10 * time.Second}) {
				now++
			}
		}
		is.True(now >= accepted)
		accepted = now
	}
	is.True(accepted > 15)
}

// An answer must not be dropped if the large model cannot answer in time.
func TestNoEscalationWithoutTimeLeft(t *testing.T) {
	is := is.New(t)
	c := NewCascade()
	is.True(acceptsByConstants(c, 0, newPromptRequest("r", 2000), escalationCost{model: largeModel, read: 400 * time.Millisecond, wait: 200 * time.Millisecond, timeLeft: 500 * time.Millisecond}))
}

// Larger requests of a route must be valued higher in proportion to their cost.
func TestLargeRequestsAreWorthMore(t *testing.T) {
	is := is.New(t)
	c := NewCascade()
	step := escalationCost{model: largeModel, read: 300 * time.Millisecond, timeLeft: 5 * time.Second}
	for range 100 {
		acceptsByConstants(c, 90, newPromptRequest("r", 9000), step)
	}
	is.True(!acceptsByConstants(c, 30, newPromptRequest("r", 30000), step))
}

// The read speed of a model is learned from the first events of its answers.
// Fixed latency and waits must not distort it.
func TestSpeedIsLearned(t *testing.T) {
	is := is.New(t)
	s := newReadSpeeds()
	const tokens, each = 2000, 8 * time.Microsecond
	for i := range 400 {
		first := fixedLatency + tokens*each
		if i%2 == 0 {
			first += time.Duration(i) * time.Millisecond // some requests wait
		}
		s.observe("m", tokens, first)
	}
	got := s.readTime("m", tokens)
	is.True(got > tokens*each*9/10 && got < tokens*each*12/10)
	s.observe("m", 10, time.Hour) // short prompts are ignored
	is.Equal(s.readTime("m", tokens), got)
	is.Equal(s.comparisonCost("m", 1000), 1000*minRereadCost) // the minimum cost applies to fast models too
}
