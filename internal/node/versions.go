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

// Shares of answers that are sent to be rated. All answers of a version in a
// roll-out are.
const (
	inPlaceSampleShare  = 0.2
	baselineSampleShare = 1.0 // while a roll-out of the same model is in progress
)

// versions collects evidence about versions and tracks which of them are on
// hold, that is get no new sessions. It is safe for concurrent use.
type versions struct {
	plan    func() *routing.Plan
	metrics *telemetry.Metrics
	ratings *rating.Sampler
	holds   atomic.Pointer[map[config.Target]time.Time]
	mu      sync.Mutex
	totals  rollout.Totals // guarded by mu; since the start of the process
	cascade *cascade
}

var _ dispatch.Observer = (*versions)(nil)

func newVersions(service infra.Ratings, metrics *telemetry.Metrics, plan func() *routing.Plan) *versions {
	v := &versions{plan: plan, metrics: metrics, totals: rollout.Totals{}}
	v.ratings = rating.NewSampler(service, v.handleVerdict)
	v.cascade = newCascade(v)
	v.holds.Store(&map[config.Target]time.Time{})
	return v
}

func (v *versions) add(t config.Target, e rollout.Evidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.totals[t] = v.totals[t].Plus(e)
}

// countOne returns the counts of a single event.
func countOne(good bool) rollout.Counts {
	if good {
		return rollout.Counts{Good: 1}
	}
	return rollout.Counts{Bad: 1}
}

// AttemptFinished implements dispatch.Observer.
func (v *versions) AttemptFinished(t config.Target, ok bool, first, target time.Duration) {
	e := rollout.Evidence{Served: countOne(ok)}
	if ok {
		e.Timely = countOne(first <= target)
	}
	v.add(t, e)
}

// AnswerCompleted implements dispatch.Observer.
func (v *versions) AnswerCompleted(a dispatch.CompletedAnswer) {
	if rand.Float64() < v.sampleShare(a.Target) {
		v.ratings.Add(newSample(a))
	}
}

// sampleShare returns the share of a version's answers that is sent to be
// rated.
func (v *versions) sampleShare(t config.Target) float64 {
	switch plan := v.plan(); {
	case plan.IsRollingOut(t):
		return 1
	case plan.HasRollout(t.Model):
		return baselineSampleShare
	default:
		return inPlaceSampleShare
	}
}

func newSample(a dispatch.CompletedAnswer) infra.Sample {
	return infra.Sample{Request: a.Request, Organisation: a.Organisation, Kind: a.Kind, Target: a.Target.String(), Answer: a.Text}
}

// handleVerdict records a verdict. Answers rated while their callers waited are
// of the harder kinds, so only the usual share of them counts as evidence.
func (v *versions) handleVerdict(s infra.Sample, passed, whileWaiting bool) {
	t := config.ParseTarget(s.Target)
	if !whileWaiting || rand.Float64() < v.sampleShare(t) {
		v.add(t, rollout.Evidence{Rated: countOne(passed)})
	}
	v.cascade.recordVerdict(s, t, passed)
	v.metrics.Verdicts.WithLabelValues(s.Target, verdictName(passed)).Inc()
}

func verdictName(passed bool) string {
	if passed {
		return "passed"
	}
	return "failed"
}

// evidence returns the totals of the given versions, or of all versions if none
// is given.
func (v *versions) evidence(targets ...config.Target) rollout.Totals {
	v.mu.Lock()
	defer v.mu.Unlock()
	if targets == nil {
		return maps.Clone(v.totals)
	}
	out := rollout.Totals{}
	for _, t := range targets {
		out[t] = v.totals[t]
	}
	return out
}

// isOnHold reports whether a version should get no new sessions.
func (v *versions) isOnHold(t config.Target) bool {
	until, ok := (*v.holds.Load())[t]
	return ok && time.Now().Before(until)
}

// mergeHolds merges the holds of all live nodes.
func (n *Node) mergeHolds(context.Context) {
	now := time.Now()
	merged := map[config.Target]time.Time{}
	for _, m := range n.members.Snapshot().Nodes {
		if !m.IsLive {
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
