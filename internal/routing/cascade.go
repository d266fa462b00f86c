package routing

import (
	"math"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// Candidate is a version that a request may run on.
type Candidate struct {
	Target config.Target
	// Cost is the price of an answer, in any unit.
	Cost float64
	// Pass is what is known of its answers.
	Pass Estimate
}

// CascadeRequest is what the choice between versions needs to know.
type CascadeRequest struct {
	// Candidates are in the order of preference; the first is what runs when
	// nothing is better.
	Candidates []Candidate
	// QualityTarget is the least chance that the answer passes.
	QualityTarget float64
	// CanVerify tells that the first answer can be rated, and a second made,
	// before the deadline.
	CanVerify bool
	// Draw, 0 to 1, decides whether to explore.
	Draw float64
}

// Steps is the choice: the versions to try in turn. With one step its answer
// is final; with two, the second answers only if the first does not pass.
type Steps struct {
	First  config.Target
	Second config.Target
	// Explored tells that the choice was made to learn.
	Explored bool
}

// Verified tells whether the first answer is rated before it goes out.
func (s Steps) Verified() bool { return s.Second != (config.Target{}) }

const (
	// exploreShare is the share of requests that try what looks dearer.
	exploreShare = 0.02
	// caution is by how many standard errors an estimate is lowered before it
	// is held against the quality target.
	caution = 0.5
)

// lower is the estimate lowered by caution; without verdicts the configured
// quality stands.
func (e Estimate) lower() float64 {
	weight := e.Verdicts + priorWeight
	spread := math.Sqrt(e.Mean*(1-e.Mean)/weight) * e.Verdicts / weight
	return max(e.Mean-caution*spread, 0)
}

// option is one way to answer.
type option struct {
	steps Steps
	cost  float64
	pass  float64
}

// better tells whether o is to be chosen over other at the target: meeting it
// first, then by cost, or by quality where neither meets it.
func (o option) better(other option, target float64) bool {
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
// best there are. A small share of requests explores a cheaper first step.
func ChooseSteps(req CascadeRequest) Steps {
	if len(req.Candidates) == 0 {
		return Steps{}
	}
	best := single(&req.Candidates[0])
	for i := range req.Candidates {
		a := &req.Candidates[i]
		if o := single(a); o.better(best, req.QualityTarget) {
			best = o
		}
		for j := range req.Candidates {
			b := &req.Candidates[j]
			if !req.CanVerify || a.Cost >= b.Cost {
				continue
			}
			if o := double(a, b); o.better(best, req.QualityTarget) {
				best = o
			}
		}
	}
	if req.Draw < exploreShare {
		return explore(req, best)
	}
	return best.steps
}

func single(c *Candidate) option {
	return option{steps: Steps{First: c.Target}, cost: c.Cost, pass: c.Pass.lower()}
}

func double(a, b *Candidate) option {
	first, second := a.Pass.lower(), b.Pass.lower()
	return option{
		steps: Steps{First: a.Target, Second: b.Target},
		cost:  a.Cost + (1-a.Pass.Mean)*b.Cost,
		pass:  first + (1-first)*second,
	}
}

// explore tries the cheapest version first where the choice leaves it out. It
// is verified if that is possible, so that the quality target still holds.
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
