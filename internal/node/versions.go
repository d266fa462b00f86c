package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/rating"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Shares of answers that are rated; of a version that is coming in, all are.
const (
	inPlaceSample  = 0.2
	baselineSample = 1.0 // while a roll-out of the same model is under way
)

// versions gathers what this node learns of versions, and which of them should
// get no new sessions. It is safe for concurrent use.
type versions struct {
	plan    func() *routing.Plan
	metrics *telemetry.Metrics
	ratings *rating.Sampler
	holds   atomic.Pointer[map[config.Target]time.Time]
	mu      sync.Mutex
	totals  rollout.Totals // guarded by mu; since the start
	cascade *cascade
}

var _ dispatch.Observer = (*versions)(nil)

func newVersions(service infra.Ratings, metrics *telemetry.Metrics, plan func() *routing.Plan) *versions {
	v := &versions{plan: plan, metrics: metrics, totals: rollout.Totals{}}
	v.ratings = rating.NewSampler(service, v.rated)
	v.cascade = newCascade(v)
	v.holds.Store(&map[config.Target]time.Time{})
	return v
}

func (v *versions) add(t config.Target, e rollout.Evidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.totals[t] = v.totals[t].Plus(e)
}

// one counts one event.
func one(good bool) rollout.Counts {
	if good {
		return rollout.Counts{Good: 1}
	}
	return rollout.Counts{Bad: 1}
}

// AttemptFinished implements dispatch.Observer.
func (v *versions) AttemptFinished(t config.Target, ok bool, first, target time.Duration) {
	e := rollout.Evidence{Served: one(ok)}
	if ok {
		e.Timely = one(first <= target)
	}
	v.add(t, e)
}

// AnswerCompleted implements dispatch.Observer.
func (v *versions) AnswerCompleted(a dispatch.CompletedAnswer) {
	if rand.Float64() < v.share(a.Target) {
		v.ratings.Add(sample(a))
	}
}

// share is the part of a version's answers that is rated.
func (v *versions) share(t config.Target) float64 {
	switch plan := v.plan(); {
	case plan.IsRollingOut(t):
		return 1
	case plan.HasRollout(t.Model):
		return baselineSample
	default:
		return inPlaceSample
	}
}

func sample(a dispatch.CompletedAnswer) infra.Sample {
	return infra.Sample{Request: a.Request, Organisation: a.Organisation, Kind: a.Kind, Target: a.Target.String(), Answer: a.Text}
}

// rated takes a verdict. Of answers that were judged while their callers
// waited, only a sample counts as evidence, as of all others: they are of the
// harder kinds.
func (v *versions) rated(s infra.Sample, passed, judged bool) {
	t := config.ParseTarget(s.Target)
	if !judged || rand.Float64() < v.share(t) {
		v.add(t, rollout.Evidence{Rated: one(passed)})
	}
	v.cascade.learn(s, t, passed)
	v.metrics.Verdicts.WithLabelValues(s.Target, verdictName(passed)).Inc()
}

func verdictName(passed bool) string {
	if passed {
		return "passed"
	}
	return "failed"
}

// evidence returns the totals of the given versions, of all if none is given.
func (v *versions) evidence(of ...config.Target) rollout.Totals {
	v.mu.Lock()
	defer v.mu.Unlock()
	if of == nil {
		return maps.Clone(v.totals)
	}
	out := rollout.Totals{}
	for _, t := range of {
		out[t] = v.totals[t]
	}
	return out
}

// held tells whether a version should get no new sessions.
func (v *versions) held(t config.Target) bool {
	until, ok := (*v.holds.Load())[t]
	return ok && time.Now().Before(until)
}

// gatherHolds merges what all live nodes hold.
func (n *Node) gatherHolds(context.Context) {
	now := time.Now()
	merged := map[config.Target]time.Time{}
	for _, m := range n.members.Snapshot().Nodes {
		if !m.Live {
			continue
		}
		for _, h := range m.State.Holds {
			if now.Before(h.Until) && h.Until.After(merged[h.Target]) {
				merged[h.Target] = h.Until
			}
		}
	}
	n.versions.holds.Store(&merged)
	n.metrics.HeldVersions.Set(float64(len(merged)))
}
