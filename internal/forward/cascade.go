package forward

import (
	"math"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Cascade decides whether the answer of a small model is accepted or a larger
// model is asked. It considers the confidence of the small model, the price of
// the larger one, and the engine time that the larger one takes from other
// requests.
type Cascade struct {
	mu       sync.Mutex
	routes   map[string]movingAverage // guarded by mu; sizes of requests by route
	services map[string]movingAverage // guarded by mu; prices of the largest model's answers by service
	gains    map[string]movingAverage // guarded by mu; adequate parts of answers after a dropped one by model
}

// NewCascade returns a cascade without request history.
func NewCascade() *Cascade {
	return &Cascade{routes: map[string]movingAverage{}, services: map[string]movingAverage{}, gains: map[string]movingAverage{}}
}

// movingAverage is an average in which older samples lose weight, with the
// number of samples.
type movingAverage struct {
	mean    float64
	samples int
}

// add returns the average with one more sample of a given weight.
func (a movingAverage) add(sample, weight float64) movingAverage {
	if a.samples == 0 || a.mean <= 0 {
		a.mean = sample
	}
	return movingAverage{a.mean + weight*(sample-a.mean), a.samples + 1}
}

// addEven returns the average with one more sample. The first samples have equal
// weights, so that one of them alone does not set the average.
func (a movingAverage) addEven(sample float64) movingAverage {
	return a.add(sample, max(averageWeight, 1/float64(a.samples+1)))
}

// sizeFactor returns the value of an answer relative to one of the route's usual
// size, and adds the request to the average size of its route. Large requests
// are rarer and more valuable than small ones of the same route.
func (c *Cascade) sizeFactor(q *Request) float64 {
	size := q.PromptTokens + outputTokenWeight*q.OutputTokens
	c.mu.Lock()
	defer c.mu.Unlock()
	average := c.routes[q.Route.Name]
	c.routes[q.Route.Name] = average.add(size, averageWeight)
	if average.mean <= 0 {
		average.mean = size
	}
	return min(1-sizeShare+sizeShare*size/max(average.mean, 1), maxValueFactor)
}

// usualValue returns the value of a usual answer of the request's service, and
// adds the price of the largest model's answer to the average of the service.
// Until enough requests were seen it is a constant.
func (c *Cascade) usualValue(q *Request, largestPrice float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	average := c.services[q.Service]
	c.services[q.Service] = average.addEven(largestPrice)
	if average.samples < minSamples || average.mean <= 0 {
		return usualAnswerValue
	}
	return largestPriceMultiple * average.mean
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
	// averageWeight is the weight of a new request in the average size of a route
	// and the average price of a service.
	averageWeight = 0.02
	// minSamples is the number of samples from which an average replaces a
	// constant.
	minSamples = 20
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

// gain returns the part of the dropped answers that a model corrects.
func (c *Cascade) gain(model string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if average := c.gains[model]; average.samples >= minSamples {
		return max(average.mean, minGain)
	}
	return initialGain
}

// observeGain adds the answer of a model that was asked after a dropped answer.
func (c *Cascade) observeGain(model string, confidence float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gains[model] = c.gains[model].addEven(1 - inadequacyProbability(confidence))
}

// inadequacyProbability returns the probability that an answer with the given
// confidence, 0 to 100, is not good enough.
func inadequacyProbability(confidence float64) float64 {
	return 1 / (1 + math.Exp((confidence-evenConfidence)/confidenceScale))
}

// escalationCost is the cost of asking the larger model.
type escalationCost struct {
	// index is that of the model in the route's models.
	index int
	model route.Model
	// member is the server that would be asked, nil if there is none.
	member *pool.Member
	// read is the engine time to read the prompt, wait the time until the
	// engine begins.
	read time.Duration
	wait time.Duration
	// timeLeft is the time left until the answer loses its full value.
	timeLeft time.Duration
	// gain is the part of the inadequate answers that the model corrects: 1 for
	// the largest.
	gain float64
}

// price returns the price of the larger model's answer.
func (e escalationCost) price(q *Request) float64 {
	return e.model.Cost * (q.PromptTokens*readTokenCost + q.ExpectedTokens) / 1000
}

// isLate reports whether the larger model would answer too late.
func (e escalationCost) isLate() bool { return e.read+e.wait > e.timeLeft }

// noModel is the model of a decision that accepts the answer at hand.
const noModel = -1

// escalation is the decision on an answer.
type escalation struct {
	// chance is the probability that the answer is inadequate, threshold that from
	// which a larger model would be asked.
	chance, threshold float64
	// model is the index of the larger model in the route's models, or noModel.
	model int
}

// value returns what the answer to a request is worth, and adds the request to
// the averages of its route and its service. It is called once for a request.
func (c *Cascade) value(q *Request, urgency route.Urgency, largestPrice float64) *answerValue {
	return &answerValue{value: max(c.usualValue(q, largestPrice)*c.sizeFactor(q), largestPriceMultiple*largestPrice), urgency: urgency}
}

// decideByConstants decides on an answer by the constant value of a usual one.
// It adds the request to the average size of its route.
func (c *Cascade) decideByConstants(confidence float64, q *Request, largest escalationCost) escalation {
	value := usualAnswerValue * c.sizeFactor(q)
	cost := largest.price(q) + engineTimePrice*largest.wait.Seconds()*largest.read.Seconds()
	d := escalation{chance: inadequacyProbability(confidence), threshold: max(cost/value, minInadequacyProbability), model: noModel}
	if !largest.isLate() && d.chance >= d.threshold {
		d.model = largest.index
	}
	return d
}
