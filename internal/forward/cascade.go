package forward

import (
	"math"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Cascade decides whether an answer of a small model is taken or a larger
// model asked, by the model's own confidence, the larger one's price, and the
// time of engines that it takes from other requests.
type Cascade struct {
	mu    sync.Mutex
	sizes map[string]float64 // guarded by mu; usual size by route
}

// NewCascade returns a cascade that has seen no request.
func NewCascade() *Cascade { return &Cascade{sizes: map[string]float64{}} }

// value is what a right answer is worth: large requests are rarer and dearer
// than small ones of their route.
func (c *Cascade) value(q *Request) float64 {
	size := q.PromptTokens + outputSize*q.OutputTokens
	c.mu.Lock()
	defer c.mu.Unlock()
	usual, ok := c.sizes[q.Route.Name]
	if !ok || usual <= 0 {
		usual = size
	}
	c.sizes[q.Route.Name] = usual + sizeWeight*(size-usual)
	return answerValue * min(1-sizeShare+sizeShare*size/max(usual, 1), mostValue)
}

const (
	// answerValue is what a right answer of a route's usual size is worth, in the
	// unit in which models' costs are given.
	answerValue = 1.5
	// sizeShare is the part of that which grows with the size, mostValue bounds
	// the whole.
	sizeShare = 0.7
	mostValue = 4
	// outputSize is the size of a generated token against one read.
	outputSize = 10
	// sizeWeight is the weight of a new request in a route's usual size.
	sizeWeight = 0.02
	// readCost is the cost of a token read against that of one generated.
	readCost = 0.25
	// evenConfidence is the confidence at which an answer is as often right as
	// wrong, confidenceScale how fast that changes around it.
	evenConfidence  = 48
	confidenceScale = 8
	// leastDoubt is the doubt below which no larger model is worth its load.
	leastDoubt = 0.3
	// waitPrice is the price of a second of an engine's time for each second
	// that prompts wait for engines on average: what runs longer makes all that
	// waits later.
	waitPrice = 8.0
)

// doubt is the chance that an answer with the given confidence, 0 to 100, is
// not good enough.
func doubt(confidence float64) float64 {
	return 1 / (1 + math.Exp((confidence-evenConfidence)/confidenceScale))
}

// largerStep is what the larger model would take.
type largerStep struct {
	model route.Model
	// read is the time of an engine for the prompt, wait that for the engine.
	read time.Duration
	wait time.Duration
	// left is the time left until the answer loses its full value.
	left time.Duration
}

// Accept tells whether an answer of a small model is passed on.
func (c *Cascade) Accept(confidence float64, q *Request, larger largerStep) bool {
	value := c.value(q)
	if larger.read+larger.wait > larger.left {
		return true
	}
	price := larger.model.Cost * (q.PromptTokens*readCost + q.ExpectedTokens) / 1000
	price += waitPrice * larger.wait.Seconds() * larger.read.Seconds()
	return doubt(confidence) < max(price/value, leastDoubt)
}
