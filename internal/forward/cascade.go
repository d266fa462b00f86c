package forward

import "github.com/cowslipfall/cowslipfall/internal/route"

// Cascade decides whether an answer of a small model is taken or a larger
// model asked, by the model's own confidence and the price of the larger one.
type Cascade struct{}

const (
	// answerValue is what a right answer is worth, in the unit in which models'
	// costs are given.
	answerValue = 1.5
	// readCost is the cost of a token read against that of one generated.
	readCost = 0.25
	// leastDoubt is the doubt below which no larger model is worth its load.
	leastDoubt = 0.35
)

// doubt is the chance that an answer with the given confidence, 0 to 100, is
// not good enough.
func doubt(confidence float64) float64 { return 1 - min(max(confidence, 0), 100)/100 }

// Accept tells whether an answer of a small model is passed on. load is the
// pressure on the engines.
func (Cascade) Accept(confidence float64, larger route.Model, q *Request, load float64) bool {
	price := larger.Cost * (q.PromptTokens*readCost + q.ExpectedTokens) / 1000
	return doubt(confidence) < max(price/answerValue, leastDoubt)+load
}
