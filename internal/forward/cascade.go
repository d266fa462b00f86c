package forward

import (
	"math"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Cascade decides whether the answer of a small model is accepted or a larger
// model is asked. It considers the confidence of the small model, the price of
// the larger one, and the engine time that the larger one takes from other
// requests.
type Cascade struct {
	mu         sync.Mutex
	usualSizes map[string]float64 // guarded by mu; moving average of request sizes by route
}

// NewCascade returns a cascade without request history.
func NewCascade() *Cascade { return &Cascade{usualSizes: map[string]float64{}} }

// answerValue returns the value of a correct answer, and adds the request to
// the average size of its route. Large requests are rarer and more valuable
// than small ones of the same route.
func (c *Cascade) answerValue(q *Request) float64 {
	size := q.PromptTokens + outputTokenWeight*q.OutputTokens
	c.mu.Lock()
	defer c.mu.Unlock()
	average, ok := c.usualSizes[q.Route.Name]
	if !ok || average <= 0 {
		average = size
	}
	c.usualSizes[q.Route.Name] = average + sizeWeight*(size-average)
	return usualAnswerValue * min(1-sizeShare+sizeShare*size/max(average, 1), maxValueFactor)
}

const (
	// usualAnswerValue is the value of a correct answer of a route's usual
	// size, in the unit of the models' costs.
	usualAnswerValue = 1.5
	// sizeShare is the part of the value that grows with the size.
	// maxValueFactor limits the whole.
	sizeShare      = 0.7
	maxValueFactor = 4
	// outputTokenWeight is the weight of a generated token in the size of a
	// request; a prompt token has weight 1.
	outputTokenWeight = 10
	// sizeWeight is the weight of a new request in the average size of a route.
	sizeWeight = 0.02
	// readTokenCost is the cost of a prompt token relative to a generated
	// token.
	readTokenCost = 0.25
	// evenConfidence is the confidence at which an answer is as often right as
	// wrong. confidenceScale sets how fast this changes around it.
	evenConfidence  = 48
	confidenceScale = 8
	// minInadequacyProbability is the probability below which a larger model is
	// not worth its load.
	minInadequacyProbability = 0.3
	// engineTimePrice is the price of a second of engine time for each second
	// that prompts wait for engines on average: a longer run delays all waiting
	// prompts.
	engineTimePrice = 8.0
)

// inadequacyProbability returns the probability that an answer with the given
// confidence, 0 to 100, is not good enough.
func inadequacyProbability(confidence float64) float64 {
	return 1 / (1 + math.Exp((confidence-evenConfidence)/confidenceScale))
}

// escalationCost is the cost of asking the larger model.
type escalationCost struct {
	model route.Model
	// read is the engine time to read the prompt, wait the time until the
	// engine begins.
	read time.Duration
	wait time.Duration
	// timeLeft is the time left until the answer loses its full value.
	timeLeft time.Duration
}

// Accept reports whether the answer of a small model is forwarded. It also adds
// the request to the average size of its route.
func (c *Cascade) Accept(confidence float64, q *Request, larger escalationCost) bool {
	value := c.answerValue(q)
	if larger.read+larger.wait > larger.timeLeft {
		return true
	}
	price := larger.model.Cost * (q.PromptTokens*readTokenCost + q.ExpectedTokens) / 1000
	price += engineTimePrice * larger.wait.Seconds() * larger.read.Seconds()
	return inadequacyProbability(confidence) < max(price/value, minInadequacyProbability)
}
