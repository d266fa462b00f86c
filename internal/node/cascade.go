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
	trustInterval = 10 * time.Second
	// verdictReserve is how many usual delays a verdict may take.
	verdictReserve = 2
)

// cascade chooses between versions by this node's own verdicts. It is safe for
// concurrent use. Lock order: none of its calls to versions is made under mu.
type cascade struct {
	versions *versions
	mu       sync.Mutex
	chances  *routing.PassProbabilities         // guarded by mu
	watch    *rollout.Watch                     // guarded by mu
	seen     map[config.Target]rollout.Evidence // guarded by mu
	trusted  bool                               // guarded by mu
}

var _ dispatch.Cascade = (*cascade)(nil)

func newCascade(v *versions) *cascade {
	return &cascade{versions: v, chances: routing.NewPassProbabilities(), watch: rollout.NewWatch(), seen: map[config.Target]rollout.Evidence{}, trusted: true}
}

// learn takes a verdict, unless the rating service is doubted.
func (c *cascade) learn(s infra.Sample, t config.Target, passed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.trusted {
		c.chances.Learn(s.Organisation, s.Kind, t, passed, time.Now())
	}
}

// watchRatings looks whether all versions' ratings shift together.
func (c *cascade) watchRatings(context.Context) {
	totals := c.versions.evidence()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, e := range totals {
		c.watch.Observe(t, rollout.Evidence{Rated: e.Rated.Minus(c.seen[t].Rated)}, now)
		c.seen[t] = e
	}
	c.trusted = c.watch.RatingsTrusted()
}

// ratingsTrusted is false while the rating service is doubted.
func (c *cascade) ratingsTrusted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trusted
}

// Steps implements dispatch.Cascade.
func (c *cascade) Steps(req dispatch.StepsRequest) routing.Steps {
	plan := c.versions.plan()
	delay, answers := c.versions.ratings.Delay(time.Now())
	held := make([]bool, len(req.Targets))
	free := 0
	for i, t := range req.Targets {
		if held[i] = c.versions.held(t); !held[i] {
			free++
		}
	}
	list := make([]routing.Candidate, 0, len(req.Targets))
	c.mu.Lock()
	trusted := c.trusted
	for i, t := range req.Targets {
		v := plan.Version(req.Organisation, t)
		if v == nil || (held[i] && free > 0) {
			continue
		}
		list = append(list, routing.Candidate{Target: t, Cost: float64(v.CostPerMillionTokens), Pass: c.chances.Estimate(req.Organisation, req.Kind, plan.VerdictVersion(t), v.Quality)})
	}
	c.mu.Unlock()
	steps := routing.ChooseSteps(routing.CascadeRequest{
		Candidates: list, QualityTarget: plan.QualityTarget(req.Organisation),
		CanVerify: trusted && answers && req.VerdictBudget > verdictReserve*delay, Draw: rand.Float64(),
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
	return c.versions.ratings.Rate(ctx, sample(a))
}
