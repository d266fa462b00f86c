package forward

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

// threeRanks are the ranks of a deployment with three.
const threeRanks = 3

// weigh returns the decision of a fresh node on an answer to a prompt, with the
// middle and the largest model to choose from (indices 1 and 2).
func weigh(confidence, tokens float64, position int, largestRead, wait, timeLeft time.Duration) escalation {
	steps := []escalationCost{
		{index: 1, model: route.Model{Name: "middle", Cost: 0.15}, read: largestRead / 4, wait: wait, timeLeft: timeLeft, gain: initialGain},
		{index: 2, model: route.Model{Name: "large", Cost: 0.29}, read: largestRead, wait: wait, timeLeft: timeLeft, gain: 1},
	}
	q := newPromptRequest("r", tokens)
	v := NewCascade().value(q, route.Urgency{Position: position, Ranks: threeRanks}, steps[1].price(q))
	return v.choose(inadequacyProbability(confidence), q, steps)
}

// Guards against the constant value, by which the longest and most urgent
// prompts got the small model's answer most often: the price of an answer grows
// with the prompt, and so must its value.
func TestUrgentLongPromptsEscalateMore(t *testing.T) {
	is := is.New(t)
	long := weigh(50, 20000, 0, time.Second, 0, 5*time.Second)
	short := weigh(50, 700, 2, 50*time.Millisecond, 0, 5*time.Second)
	is.Equal(long.model, 2)
	is.True(long.threshold < short.threshold)
	is.True(math.Abs(short.threshold-maxRankChance) < 1e-9)
	is.True(acceptsByConstants(NewCascade(), 50, newPromptRequest("r", 20000), escalationCost{model: largeModel, read: time.Second, timeLeft: 5 * time.Second}))
}

// Guards against a burst in which all ranks give way together: the least urgent
// must give way first, and the most urgent keep the larger model.
func TestBurstRaisesTheBarForTheLeastUrgentFirst(t *testing.T) {
	is := is.New(t)
	const burst, read, timeLeft = 300 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second
	threshold := func(position int, wait time.Duration) float64 {
		return weigh(0, 9000, position, read, wait, timeLeft).threshold
	}
	is.True(threshold(0, burst) > threshold(0, 0))
	is.True(threshold(1, burst)-threshold(0, burst) > threshold(1, 0)-threshold(0, 0))
	is.True(threshold(2, burst)-threshold(1, burst) > threshold(2, 0)-threshold(1, 0))
	is.Equal(weigh(44, 9000, 0, read, burst, timeLeft).model, 2)
	is.Equal(weigh(44, 9000, 2, read, burst, timeLeft).model, noModel)
}

// Guards against a small model's answer where the largest model would be late and
// the middle model is in time.
func TestMiddleModelIsAskedWhereTheLargestIsNot(t *testing.T) {
	is := is.New(t)
	is.Equal(weigh(5, 9000, 1, 800*time.Millisecond, 100*time.Millisecond, time.Second).model, 2)
	is.Equal(weigh(5, 9000, 1, 800*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond).model, 1)
	is.Equal(weigh(5, 9000, 1, 800*time.Millisecond, 100*time.Millisecond, 250*time.Millisecond).model, noModel)  // both late
	is.Equal(weigh(52, 9000, 1, 800*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond).model, noModel) // it corrects a part only
}

// Guards against decisions that swing at the start of a node: it uses the
// constant until it has seen enough requests, then prices in the operator's unit.
func TestValueIsLearned(t *testing.T) {
	is := is.New(t)
	c := NewCascade()
	const price = 50.0 // another unit than that of the constant
	q := newPromptRequest("r", 2000)
	size := c.sizeFactor(q)
	for range minSamples {
		is.Equal(c.usualValue(q, price), usualAnswerValue)
	}
	is.Equal(size, 1.0)
	is.True(math.Abs(c.usualValue(q, price)-largestPriceMultiple*price) < 1)
	q.Service = "other"
	is.Equal(c.usualValue(q, price), usualAnswerValue) // learned for each service
}

// Guards against requests for a middle model that hardly corrects an answer: its
// own confidences show that, and the largest or none is asked then.
func TestGainOfMiddleModelIsLearned(t *testing.T) {
	is := is.New(t)
	c := NewCascade()
	for range minSamples {
		is.Equal(c.gain("middle"), initialGain)
		c.observeGain("middle", 10)
	}
	is.Equal(c.gain("middle"), minGain)
	is.Equal(c.gain("other"), initialGain)
	for range 200 {
		c.observeGain("middle", 90)
	}
	is.True(c.gain("middle") > 0.9)
}

// Guards against a lowest chance that depends on the numbers of the ranks:
// only their order counts, and one rank alone has that of the constants.
func TestLowestChanceFollowsTheOrderOfRanks(t *testing.T) {
	is := is.New(t)
	for urgency, want := range map[route.Urgency]float64{
		{}: 0.3, {Ranks: 1}: 0.3, {Position: 0, Ranks: 3}: 0.2, {Position: 1, Ranks: 3}: 0.3, {Position: 2, Ranks: 3}: 0.45,
		{Position: 0, Ranks: 9}: 0.2, {Position: 8, Ranks: 9}: 0.45,
	} {
		is.True(math.Abs(answerValue{urgency: urgency}.lowestChance()-want) < 1e-9)
	}
}

// Guards against a change for earlier deployments: the figures are those of the
// rule before for a request of 2,000 prompt and 50 generated tokens.
func TestEarlierDeploymentsDecideAsBefore(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		confidence float64
		read, wait time.Duration
		timeLeft   time.Duration
		isAccepted bool
	}{
		{54, 300, 0, 5 * time.Second, false}, {55, 300, 0, 5 * time.Second, true},
		{44, 400, 200, 5 * time.Second, false}, {50, 400, 200, 5 * time.Second, true}, {0, 400, 200, 500 * time.Millisecond, true},
	} {
		step := escalationCost{model: largeModel, read: c.read * time.Millisecond, wait: c.wait * time.Millisecond, timeLeft: c.timeLeft}
		is.Equal(acceptsByConstants(NewCascade(), c.confidence, newPromptRequest("r", 2000), step), c.isAccepted)
	}
}
