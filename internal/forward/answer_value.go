package forward

import (
	"math"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

const (
	// largestPriceMultiple is how many times the price of the largest model's
	// answer a request's answer is worth at least: the operator lists that model
	// for the route. A trial with 4 raised the worth of all days of A.
	largestPriceMultiple = 4
	// rankChanceRatio is the ratio of the lowest chances of neighbouring ranks.
	// The middle of the ranks has minInadequacyProbability. With three ranks this
	// gives 0.2, 0.3 and 0.45, which were tried.
	rankChanceRatio = 1.5
	// minRankChance and maxRankChance bound the lowest chances of many ranks.
	minRankChance = 0.2
	maxRankChance = 0.45
	// rankLoadRatio is the ratio of the weights of the load for neighbouring
	// ranks, so that in a burst the least urgent requests give way first.
	rankLoadRatio = 2.0
	// maxBusyFactor bounds the factor for pools in which most engines have a
	// backlog.
	maxBusyFactor = 4
	// initialGain is the part of the dropped answers that a model between the
	// smallest and the largest is assumed to correct until enough of its answers
	// were seen. With the known shares of right answers it is 0.2 if the model is
	// right wherever the smallest is, and 0.65 if the two are independent.
	initialGain = 0.4
	// minGain bounds the learned part.
	minGain = 0.05
)

// poolLoad is the wait of prompts at the engines of a service.
type poolLoad struct {
	meanWait        time.Duration
	backloggedShare float64 // of the usable engines, 0 to 1
}

// answerValue is what the answer to one request is worth. It is a pure value.
type answerValue struct {
	// usual is the value of a usual answer of the service, value that of this
	// request's answer, in the unit of the models' costs.
	usual, value float64
	urgency      route.Urgency
}

// rankOffset returns the place of the request's rank relative to the middle of
// the ranks.
func (v answerValue) rankOffset() float64 {
	return float64(v.urgency.Position) - float64(max(v.urgency.Ranks-1, 0))/2
}

// lowestChance returns the probability of an inadequate answer below which no
// larger model is asked.
func (v answerValue) lowestChance() float64 {
	return min(max(minInadequacyProbability*math.Pow(rankChanceRatio, v.rankOffset()), minRankChance), maxRankChance)
}

// loadCost returns what a larger model's answer costs other requests: they wait
// for the time in which its engine reads the prompt. The wait at other engines
// counts by the probability that two of them have a backlog, since requests that
// would wait at one can go to another. The more likely that is, the longer a
// backlog lasts.
func (v answerValue) loadCost(step escalationCost, load poolLoad) float64 {
	crowding := load.backloggedShare * load.backloggedShare
	busy := 1 / max(1-crowding, 1.0/maxBusyFactor)
	wait := step.wait.Seconds() + crowding*load.meanWait.Seconds()
	weight := math.Pow(rankLoadRatio, v.rankOffset())
	return engineTimePrice * v.usual * wait * step.read.Seconds() * busy * weight
}

// bar returns the probability of an inadequate answer from which a model is
// asked, at least the lowest chance. That stands for the load of the largest
// model; of what a cheaper model must gain, it has a part.
func (v answerValue) bar(q *Request, step, largest escalationCost, load poolLoad) float64 {
	lowest := v.lowestChance() * step.model.Cost / largest.model.Cost
	return max(max(lowest, (step.price(q)+v.loadCost(step, load))/v.value)/step.gain, v.lowestChance())
}

// choose decides on an answer that is inadequate with the given probability.
// steps lists the larger models, the smallest first. The largest is asked if it
// is in time and worth its cost, else the next smaller one for which both holds.
func (v answerValue) choose(chance float64, q *Request, steps []escalationCost, load poolLoad) escalation {
	decision := escalation{chance: chance, bar: 1, model: noModel}
	for i := len(steps) - 1; i >= 0; i-- {
		if steps[i].isLate() {
			continue
		}
		bar := v.bar(q, steps[i], steps[len(steps)-1], load)
		decision.bar = min(decision.bar, bar)
		if chance >= bar {
			return escalation{chance: chance, bar: bar, model: steps[i].index}
		}
	}
	return decision
}
