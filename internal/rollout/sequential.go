package rollout

import "math"

// Counts are outcomes of one kind.
type Counts struct {
	Good int
	Bad  int
}

// Total returns the number of outcomes.
func (c Counts) Total() int { return c.Good + c.Bad }

// Plus adds two counts.
func (c Counts) Plus(o Counts) Counts { return Counts{c.Good + o.Good, c.Bad + o.Bad} }

// Minus subtracts counts seen before.
func (c Counts) Minus(o Counts) Counts { return Counts{c.Good - o.Good, c.Bad - o.Bad} }

// rate is the share of good outcomes, drawn towards prior.
func (c Counts) rate(prior float64) float64 {
	const priorWeight = 4
	return clampRate((float64(c.Good) + prior*priorWeight) / (float64(c.Total()) + priorWeight))
}

const (
	priorRate    = 0.9
	rateMargin   = 0.005
	minBaseline  = 20
	projectSteps = 40
)

func clampRate(p float64) float64 { return min(max(p, rateMargin), 1-rateMargin) }

// effects are the losses beyond the margin that the test looks for at once,
// effectShares the weights of their evidence, which add up to 1.
var (
	effects      = [...]float64{0.08, 0.15, 0.30}
	effectShares = [len(effects)]float64{0.15, 0.7, 0.15}
)

// Test is a sequential test of "the new version is worse than the version in
// place by more than a margin". It takes blocks of outcomes that both versions
// gave over the same time; its evidence is an e-process (Turner, Ly and
// Grünwald, 2024): if the new version is not worse, the chance that the
// evidence ever reaches x is at most 1/x, however often one looks.
type Test struct {
	// Margin is the loss in good outcomes, 0 to 1, that is no fault.
	Margin float64

	old    Counts
	wealth [len(effects)]float64 // logarithms
	open   block
}

// block is what both versions did over the same time.
type block struct {
	Old  Counts `json:"old"`
	Next Counts `json:"next"`
}

// minBlockOld is the number of outcomes of the version in place without which
// a block stays open.
const minBlockOld = 4

// Baseline takes outcomes of the version in place that are compared with none of
// the new version's.
func (t *Test) Baseline(old Counts) { t.old = t.old.Plus(old) }

// Add takes what both versions did since the last call. A block stays open
// until both have answered, as answers of one alone are no evidence; the
// outcomes do not decide it, so that the bound holds.
func (t *Test) Add(old, next Counts) {
	t.open = block{t.open.Old.Plus(old), t.open.Next.Plus(next)}
	if t.open.Next.Total() == 0 || t.open.Old.Total() < minBlockOld {
		return
	}
	t.close(t.open.Old, t.open.Next)
	t.open = block{}
}

// close counts a block. Blocks before there is a baseline only count towards
// it.
func (t *Test) close(old, next Counts) {
	if t.old.Total() >= minBaseline && next.Total() > 0 {
		base := clampRate(max(t.old.rate(priorRate), t.Margin+2*rateMargin))
		for i, effect := range effects {
			t.wealth[i] += blockEvidence(old, next, base, clampRate(base-t.Margin-effect), t.Margin)
		}
	}
	t.old = t.old.Plus(old)
}

// blockEvidence is the log likelihood ratio of the alternative (a, b) against
// the closest rates at which the new version is just not worse.
func blockEvidence(old, next Counts, a, b, margin float64) float64 {
	x := project(a, b, float64(old.Total()), float64(next.Total()), margin)
	y := x - margin
	return logRatio(old, a, x) + logRatio(next, b, y)
}

func logRatio(c Counts, alternative, null float64) float64 {
	return float64(c.Good)*math.Log(alternative/null) + float64(c.Bad)*math.Log((1-alternative)/(1-null))
}

// project returns the rate x such that (x, x-margin) is closest to (a, b) in
// relative entropy, weighted by the block's counts.
func project(a, b, oldN, newN, margin float64) float64 {
	low, high := margin+rateMargin/2, 1-rateMargin/2
	for range projectSteps {
		x := (low + high) / 2
		y := x - margin
		slope := oldN*(x-a)/(x*(1-x)) + newN*(y-b)/(y*(1-y))
		if slope > 0 {
			high = x
		} else {
			low = x
		}
	}
	return (low + high) / 2
}

// Evidence returns the evidence so far; 1 means none.
func (t *Test) Evidence() float64 {
	sum := 0.0
	for i, w := range t.wealth {
		sum += effectShares[i] * math.Exp(min(w, maxLogEvidence))
	}
	return sum
}

const maxLogEvidence = 50
