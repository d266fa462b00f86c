package rollout

import "math"

// Counts holds the good and bad outcomes of one channel.
type Counts struct {
	Good int
	Bad  int
}

// Total returns the number of outcomes.
func (c Counts) Total() int { return c.Good + c.Bad }

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts { return Counts{c.Good + o.Good, c.Bad + o.Bad} }

// Minus returns the outcomes beyond an earlier total.
func (c Counts) Minus(o Counts) Counts { return Counts{c.Good - o.Good, c.Bad - o.Bad} }

// smoothedRate returns the share of good outcomes, shrunk towards prior.
func (c Counts) smoothedRate(prior float64) float64 {
	const priorWeight = 4
	return clampRate((float64(c.Good) + prior*priorWeight) / (float64(c.Total()) + priorWeight))
}

const (
	priorRate       = 0.9
	rateMargin      = 0.005
	minBaseline     = 20
	projectionSteps = 40
)

func clampRate(p float64) float64 { return min(max(p, rateMargin), 1-rateMargin) }

// effects are the losses beyond the margin that the test looks for at the same
// time. effectWeights are the weights of their evidence and add up to 1.
var (
	effects       = [...]float64{0.08, 0.15, 0.30}
	effectWeights = [len(effects)]float64{0.15, 0.7, 0.15}
)

// SequentialTest tests sequentially whether the new version is worse than the version
// in place by more than a margin. It compares blocks of outcomes that both versions
// gave over the same time. Its evidence is an e-process (Turner, Ly and Grünwald,
// 2024): if the new version is not worse, the probability that the evidence ever
// reaches x is at most 1/x, however often it is evaluated.
type SequentialTest struct {
	// Margin is the tolerated loss in the share of good outcomes, 0 to 1.
	Margin float64

	baseline  Counts
	logWealth [len(effects)]float64 // natural logarithms, one for each of effects
	openBlock block
}

// block holds the outcomes of both versions over the same time.
type block struct {
	Old  Counts `json:"old"`
	Next Counts `json:"next"`
}

// minBlockOld is the minimum number of outcomes of the version in place before a
// block is closed.
const minBlockOld = 4

// AddBaseline adds outcomes of the version in place to the baseline only. They are
// not compared with outcomes of the new version.
func (t *SequentialTest) AddBaseline(old Counts) { t.baseline = t.baseline.Plus(old) }

// Add adds the outcomes of both versions since the last call. Outcomes of the version in
// place fill the baseline first; those of the new version wait for it. A block stays open
// until both versions have answered, since answers of one alone are no evidence. Only the
// number of outcomes decides where they count, never whether they are good: this keeps the
// bound valid.
func (t *SequentialTest) Add(old, next Counts) {
	if t.baseline.Total() < minBaseline {
		t.AddBaseline(old)
		old = Counts{}
	}
	t.openBlock = block{t.openBlock.Old.Plus(old), t.openBlock.Next.Plus(next)}
	if t.openBlock.Next.Total() == 0 || t.openBlock.Old.Total() < minBlockOld {
		return
	}
	t.close(t.openBlock.Old, t.openBlock.Next)
	t.openBlock = block{}
}

// close adds a block's evidence and adds its old outcomes to the baseline.
func (t *SequentialTest) close(old, next Counts) {
	base := clampRate(max(t.baseline.smoothedRate(priorRate), t.Margin+2*rateMargin))
	for i, effect := range effects {
		t.logWealth[i] += blockEvidence(old, next, base, clampRate(base-t.Margin-effect), t.Margin)
	}
	t.baseline = t.baseline.Plus(old)
}

// blockEvidence returns the log likelihood ratio of the alternative rates (a, b)
// against the closest rates at which the new version is just not worse.
func blockEvidence(old, next Counts, a, b, margin float64) float64 {
	nullOld := project(a, b, float64(old.Total()), float64(next.Total()), margin)
	nullNext := nullOld - margin
	return logLikelihoodRatio(old, a, nullOld) + logLikelihoodRatio(next, b, nullNext)
}

func logLikelihoodRatio(c Counts, alternative, null float64) float64 {
	return float64(c.Good)*math.Log(alternative/null) + float64(c.Bad)*math.Log((1-alternative)/(1-null))
}

// project returns the rate x such that (x, x-margin) is closest to (a, b) in
// relative entropy, weighted by the block's counts.
func project(a, b, oldTotal, nextTotal, margin float64) float64 {
	low, high := margin+rateMargin/2, 1-rateMargin/2
	for range projectionSteps {
		x := (low + high) / 2
		y := x - margin
		slope := oldTotal*(x-a)/(x*(1-x)) + nextTotal*(y-b)/(y*(1-y))
		if slope > 0 {
			high = x
		} else {
			low = x
		}
	}
	return (low + high) / 2
}

// Evidence returns the evidence that the new version is worse; 1 means none.
func (t *SequentialTest) Evidence() float64 {
	sum := 0.0
	for i, w := range t.logWealth {
		sum += effectWeights[i] * math.Exp(min(w, maxLogEvidence))
	}
	return sum
}

const maxLogEvidence = 50
