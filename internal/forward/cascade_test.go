package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

var large = route.Model{Name: "large", Cost: 0.3}

func prompt(name string, tokens float64) *Request {
	return &Request{Route: &route.Route{Name: name}, PromptTokens: tokens, OutputTokens: 100, ExpectedTokens: 50}
}

// Background load of long prompts: asking the large model again costs more, so
// their answers are taken at a lower confidence than those of short ones.
func TestLongPromptsAreAskedAgainLess(t *testing.T) {
	is := is.New(t)
	c := NewCascade()
	step := largerStep{model: large, read: 300 * time.Millisecond, left: 5 * time.Second}
	long, short := prompt("long", 9000), prompt("short", 700)
	is.True(c.Accept(52, long, step))
	is.True(!c.Accept(52, short, step))
	is.True(!c.Accept(20, long, step))
	is.True(c.Accept(90, short, step))
}

// A flood that makes prompts wait for engines raises the price of their time:
// fewer answers are asked again, the doubtful ones last.
func TestFloodRaisesThePrice(t *testing.T) {
	is := is.New(t)
	c := NewCascade()
	accepted := 0
	for _, wait := range []time.Duration{0, 500 * time.Millisecond, time.Second, 3 * time.Second} {
		now := 0
		for confidence := 0.0; confidence <= 100; confidence += 5 {
			if c.Accept(confidence, prompt("r", 2000), largerStep{model: large, read: 400 * time.Millisecond, wait: wait, left: 10 * time.Second}) {
				now++
			}
		}
		is.True(now >= accepted)
		accepted = now
	}
	is.True(accepted > 15)
}

// An answer that the large model could not give in time is not dropped.
func TestNoTimeForTheLargeModel(t *testing.T) {
	is := is.New(t)
	c := NewCascade()
	is.True(c.Accept(0, prompt("r", 2000), largerStep{model: large, read: 400 * time.Millisecond, wait: 200 * time.Millisecond, left: 500 * time.Millisecond}))
}

// Large requests of a route are worth as much more as they cost more.
func TestLargeRequestsAreWorthMore(t *testing.T) {
	is := is.New(t)
	c := NewCascade()
	step := largerStep{model: large, read: 300 * time.Millisecond, left: 5 * time.Second}
	for range 100 {
		c.Accept(90, prompt("r", 9000), step)
	}
	is.True(!c.Accept(30, prompt("r", 30000), step))
}

// The speed of a model is learned from the first events of its answers, without
// the way and although some of them had to wait.
func TestSpeedIsLearned(t *testing.T) {
	is := is.New(t)
	s := newSpeeds()
	const tokens, each = 2000, 8 * time.Microsecond
	for i := range 400 {
		first := wayTime + tokens*each
		if i%2 == 0 {
			first += time.Duration(i) * time.Millisecond // waits
		}
		s.observe("m", tokens, first)
	}
	got := s.read("m", tokens)
	is.True(got > tokens*each*9/10 && got < tokens*each*12/10)
	s.observe("m", 10, time.Hour) // short prompts tell nothing
	is.Equal(s.read("m", tokens), got)
	is.Equal(s.weight("m", 1000), 1000*rereadPrice) // even a fast model reads at a price
}
