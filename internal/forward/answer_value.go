package forward

import (
	"math"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

const (
	// largestPriceMultiple is how many times the price of the largest model's
	// answer a request's answer is worth at least: the operator lists that model
	// for the route, so its answers are worth more than they cost.
	largestPriceMultiple = 4
	// rankRatio is the ratio of the lowest chances, and of the weights of the load,
	// of neighbouring ranks: the least urgent requests give way first. The middle
	// of the ranks has minInadequacyProbability; three ranks have 0.2, 0.3 and 0.45.
	rankRatio = 1.5
	// minRankChance and maxRankChance bound the lowest chances of many ranks.
	minRankChance = 0.2
	maxRankChance = 0.45
	// initialGain is the part of the dropped answers that a model between the
	// smallest and the largest is assumed to correct until enough of its answers
	// were seen. A model that is right only where the smallest is corrects few, one
	// that is independent of it most.
	initialGain = 0.4
	// minGain bounds the learned part.
	minGain = 0.05
)

// answerValue is what the answer to one request is worth. It is a pure value.
type answerValue struct {
	// value is in the unit of the models' costs.
	value   float64
	urgency route.Urgency
}

// rankOffset returns the place of the request's rank relative to the middle of
// the ranks.
func (v answerValue) rankOffset() float64 {
	return float64(v.urgency.Position) - float64(max(v.urgency.Ranks-1, 0))/2
}

// lowestChance returns the probability of an inadequate answer below which no
// larger model is asked.
func (v answerValue) lowestChance() float64 {
	return min(max(minInadequacyProbability*v.rankWeight(), minRankChance), maxRankChance)
}

// rankWeight returns the factor by which less urgent ranks give way to the load.
func (v answerValue) rankWeight() float64 { return math.Pow(rankRatio, v.rankOffset()) }

// loadCost returns what a larger model's answer costs the requests that wait at
// its engine while that reads the prompt. The backlog of the other engines does
// not count: requests that would wait at one engine can go to another.
func (v answerValue) loadCost(step escalationCost) float64 {
	return engineTimePrice * step.wait.Seconds() * step.read.Seconds() * v.rankWeight()
}

// threshold returns the probability of an inadequate answer from which a model is
// asked, at least the lowest chance. That stands for the load of the largest
// model; of what a cheaper model must gain, it has a part.
func (v answerValue) threshold(q *Request, step, largest escalationCost) float64 {
	lowest := v.lowestChance() * step.model.Cost / largest.model.Cost
	return max(max(lowest, (step.price(q)+v.loadCost(step))/v.value)/step.gain, v.lowestChance())
}

// choose decides on an answer that is inadequate with the given probability.
// steps lists the larger models, the smallest first. The largest of those that
// are in time is asked if it is worth its cost.
func (v answerValue) choose(chance float64, q *Request, steps []escalationCost) escalation {
	for i := len(steps) - 1; i >= 0; i-- {
		if steps[i].isLate() {
			continue
		}
		decision := escalation{chance: chance, threshold: v.threshold(q, steps[i], steps[len(steps)-1]), model: noModel}
		if chance >= decision.threshold {
			decision.model = steps[i].index
		}
		return decision
	}
	return escalation{chance: chance, threshold: 1, model: noModel}
}
