package forward

import (
	"math"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Cascade decides whether an answer of a small model is taken or a larger
// model asked, by the model's own confidence, the larger one's price, and the
// time of engines that it takes from other requests.
type Cascade struct{}

const (
	// answerValue is what a right answer is worth, in the unit in which models'
	// costs are given.
	answerValue = 1.5
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
	waitPrice = 3.0
)

// doubt is the chance that an answer with the given confidence, 0 to 100, is
// not good enough.
func doubt(confidence float64) float64 {
	return 1 / (1 + math.Exp((confidence-evenConfidence)/confidenceScale))
}

// largerStep is what the larger model would take.
type largerStep struct {
	model route.Model
	// read is the time of an engine for the prompt, wait the mean wait for one.
	read time.Duration
	wait time.Duration
	// left is the time left until the answer loses its full value.
	left time.Duration
}

// Accept tells whether an answer of a small model is passed on.
func (Cascade) Accept(confidence float64, q *Request, larger largerStep) bool {
	if larger.read+larger.wait > larger.left {
		return true
	}
	price := larger.model.Cost * (q.PromptTokens*readCost + q.ExpectedTokens) / 1000
	price += waitPrice * larger.wait.Seconds() * larger.read.Seconds()
	return doubt(confidence) < max(price/answerValue, leastDoubt)
}
