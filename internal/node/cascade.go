package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

const (
	ratingsTrustInterval = 10 * time.Second
	// verdictDelayFactor is how many times the usual delay of a verdict must
	// fit into the remaining time of a request that waits for one.
	verdictDelayFactor = 2
)

// cascade chooses between versions by the verdicts that this node received. It
// is safe for concurrent use. Lock order: it never calls versions while holding
// mu.
type cascade struct {
	versions          *versions
	mu                sync.Mutex
	passProbabilities *routing.PassProbabilities         // guarded by mu
	ratingsWatch      *rollout.Watch                     // guarded by mu
	observedTotals    map[config.Target]rollout.Evidence // guarded by mu
	isTrusted         bool                               // guarded by mu
}

var _ dispatch.Cascade = (*cascade)(nil)

func newCascade(v *versions) *cascade {
	return &cascade{versions: v, passProbabilities: routing.NewPassProbabilities(), ratingsWatch: rollout.NewWatch(), observedTotals: map[config.Target]rollout.Evidence{}, isTrusted: true}
}

// recordVerdict records a verdict, unless the rating service is not trusted.
func (c *cascade) recordVerdict(s infra.Sample, t config.Target, passed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isTrusted {
		c.passProbabilities.Learn(s.Organisation, s.Kind, t, passed, time.Now())
	}
}

// updateRatingsTrust checks whether the ratings of all versions shift together.
// If they do, the rating service is not trusted.
func (c *cascade) updateRatingsTrust(context.Context) {
	totals := c.versions.evidence()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, e := range totals {
		c.ratingsWatch.Observe(t, rollout.Evidence{Rated: e.Rated.Minus(c.observedTotals[t].Rated)}, now)
		c.observedTotals[t] = e
	}
	c.isTrusted = c.ratingsWatch.RatingsTrusted()
}

// ratingsTrusted reports whether this node trusts the rating service.
func (c *cascade) ratingsTrusted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isTrusted
}

// Steps implements dispatch.Cascade.
func (c *cascade) Steps(req dispatch.StepsRequest) routing.Steps {
	plan := c.versions.plan()
	delay, isAnswering := c.versions.ratings.Delay(time.Now())
	onHold := make([]bool, len(req.Targets))
	notHeld := 0
	for i, t := range req.Targets {
		if onHold[i] = c.versions.isOnHold(t); !onHold[i] {
			notHeld++
		}
	}
	candidates := make([]routing.Candidate, 0, len(req.Targets))
	c.mu.Lock()
	trusted := c.isTrusted
	for i, t := range req.Targets {
		v := plan.Version(req.Organisation, t)
		if v == nil || (onHold[i] && notHeld > 0) {
			continue
		}
		candidates = append(candidates, routing.Candidate{Target: t, Cost: float64(v.CostPerMillionTokens), Pass: c.passProbabilities.Estimate(req.Organisation, req.Kind, plan.VerdictVersion(t), v.Quality)})
	}
	c.mu.Unlock()
	steps := routing.ChooseSteps(routing.CascadeRequest{
		Candidates: candidates, QualityTarget: plan.QualityTarget(req.Organisation),
		CanVerify: trusted && isAnswering && req.VerdictBudget > verdictDelayFactor*delay, Draw: rand.Float64(),
	})
	c.versions.metrics.Choices.WithLabelValues(stepsName(steps)).Inc()
	return steps
}

func stepsName(s routing.Steps) string {
	switch {
	case s.Explored:
		return "explored"
	case s.NeedsVerdict():
		return "two"
	default:
		return "one"
	}
}

// Rate implements dispatch.Cascade.
func (c *cascade) Rate(ctx context.Context, a dispatch.CompletedAnswer) (passed, ok bool) {
	return c.versions.ratings.Rate(ctx, newSample(a))
}
