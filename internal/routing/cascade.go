package routing

import (
	"math"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// Candidate is a version that may answer a request.
type Candidate struct {
	Target config.Target
	// Cost is the price of an answer. All candidates use the same unit.
	Cost float64
	// Pass estimates the probability that its answer passes its rating.
	Pass Estimate
}

// CascadeRequest describes a choice between candidate versions.
type CascadeRequest struct {
	// Candidates are in order of preference. The first one runs if no other
	// choice is better.
	Candidates []Candidate
	// QualityTarget is the minimum probability that the answer passes.
	QualityTarget float64
	// CanVerify reports that the first answer can be rated, and a second one
	// generated, before the deadline.
	CanVerify bool
	// Draw is a random number from 0 to 1 that decides whether to explore.
	Draw float64
}

// Steps lists the versions to try in order. With one step, its answer is final.
// With two, the second version answers only if the first answer does not pass
// its rating.
type Steps struct {
	First  config.Target
	Second config.Target
	// Explored reports that the first step was chosen to learn about its
	// version.
	Explored bool
}

// NeedsVerdict reports whether the first answer must be rated before it is sent.
func (s Steps) NeedsVerdict() bool { return s.Second != (config.Target{}) }

const (
	// exploreShare is the fraction of requests that try a choice with a higher
	// estimated cost, in order to learn.
	exploreShare = 0.02
	// cautionStdErrors is the number of standard errors by which an estimate is
	// lowered before it is compared with the quality target.
	cautionStdErrors = 0.5
)

// lowerBound returns the mean lowered by cautionStdErrors standard errors.
// Without verdicts the result is the configured quality.
func (e Estimate) lowerBound() float64 {
	weight := e.Verdicts + priorWeight
	spread := math.Sqrt(e.Mean*(1-e.Mean)/weight) * e.Verdicts / weight
	return max(e.Mean-cautionStdErrors*spread, 0)
}

// option is one possible choice of steps with its expected cost and pass
// probability.
type option struct {
	steps Steps
	cost  float64
	pass  float64
}

// isBetter reports whether o is preferred to other. An option that meets the
// target wins. If both meet it, the cheaper one wins; if neither does, the one
// with the higher pass probability wins.
func (o option) isBetter(other option, target float64) bool {
	meets, otherMeets := o.pass >= target, other.pass >= target
	switch {
	case meets != otherMeets:
		return meets
	case meets:
		return o.cost < other.cost
	default:
		return o.pass > other.pass
	}
}

// ChooseSteps returns the cheapest steps that meet the quality target, or the
// best steps if none meet it. A small fraction of requests explores a cheaper
// first step.
func ChooseSteps(req CascadeRequest) Steps {
	if len(req.Candidates) == 0 {
		return Steps{}
	}
	best := oneStep(&req.Candidates[0])
	for i := range req.Candidates {
		first := &req.Candidates[i]
		if o := oneStep(first); o.isBetter(best, req.QualityTarget) {
			best = o
		}
		for j := range req.Candidates {
			second := &req.Candidates[j]
			if !req.CanVerify || first.Cost >= second.Cost {
				continue
			}
			if o := twoSteps(first, second); o.isBetter(best, req.QualityTarget) {
				best = o
			}
		}
	}
	if req.Draw < exploreShare {
		return explore(req, best)
	}
	return best.steps
}

// oneStep returns the option in which c answers alone.
func oneStep(c *Candidate) option {
	return option{steps: Steps{First: c.Target}, cost: c.Cost, pass: c.Pass.lowerBound()}
}

// twoSteps returns the option in which the second candidate answers if the
// first answer fails its rating.
func twoSteps(firstCandidate, secondCandidate *Candidate) option {
	firstPass, secondPass := firstCandidate.Pass.lowerBound(), secondCandidate.Pass.lowerBound()
	return option{
		steps: Steps{First: firstCandidate.Target, Second: secondCandidate.Target},
		cost:  firstCandidate.Cost + (1-firstCandidate.Pass.Mean)*secondCandidate.Cost,
		pass:  firstPass + (1-firstPass)*secondPass,
	}
}

// explore puts the cheapest version first if the choice does not. Its answer is
// verified if possible, so that the quality target still holds.
func explore(req CascadeRequest, best option) Steps {
	cheapest := &req.Candidates[0]
	for i := range req.Candidates {
		if req.Candidates[i].Cost < cheapest.Cost {
			cheapest = &req.Candidates[i]
		}
	}
	if best.steps.First == cheapest.Target {
		return best.steps
	}
	steps := Steps{First: cheapest.Target, Explored: true}
	if req.CanVerify {
		steps.Second = best.steps.First
	}
	return steps
}
