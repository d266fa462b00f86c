package edge

import (
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// slowFactor is how many times the usual latency of the old version an answer must
	// take to count as slow. A cold cache costs up to three times.
	slowFactor = 4
	// minSlowLatency keeps the jitter of short answers from counting as slow.
	minSlowLatency = 250 * time.Millisecond
	// evidenceIntervalPerNode is how often all nodes together publish their counts, and
	// minEvidenceInterval and maxEvidenceInterval bound the interval of one node: the more
	// nodes, the more answers they see together.
	evidenceIntervalPerNode = 20 * time.Millisecond
	minEvidenceInterval     = 300 * time.Millisecond
	maxEvidenceInterval     = 2 * time.Second
	// latencyStep is the part of the usual latency by which one answer moves it.
	latencyStep = 0.06
)

// rolloutCounts holds what one node counted of one roll-out.
type rolloutCounts struct {
	// OrderVersion and OrderEra are the revision of the order's row: the same version of a
	// service may be ordered again.
	OrderVersion uint64 `json:"order"`
	OrderEra     uint64 `json:"era,omitempty"`
	// ElapsedMS is how long the roll-out has been in progress, as far as this node knows.
	ElapsedMS int64 `json:"elapsed_ms"`
	// HasFailedAnalysis is set once the new version failed the node's analysis.
	HasFailedAnalysis bool `json:"bad,omitempty"`
	// Routes holds the outcomes of both versions by route.
	Routes map[string]comparison `json:"routes"`
}

func (c rolloutCounts) orderRevision() gossip.Revision {
	return gossip.Revision{Era: c.OrderEra, Version: c.OrderVersion}
}

// tally counts the answers that a node saw, by service. Its caller holds the lock.
type tally struct {
	services     map[string]*rolloutCounts
	usualLatency map[string]time.Duration // estimated median latency of the old version by service, model and route
}

func newTally() *tally {
	return &tally{services: map[string]*rolloutCounts{}, usualLatency: map[string]time.Duration{}}
}

// reset starts new counts for a service.
func (t *tally) reset(service string) {
	t.services[service] = &rolloutCounts{Routes: map[string]comparison{}}
}

// add counts one answer of the old or the new version.
func (t *tally) add(service string, isNew bool, o forward.Observation) {
	if t.services[service] == nil {
		t.reset(service)
	}
	var outcome outcomes
	switch slow := t.recordLatency(service, isNew, o); {
	case o.Bad:
		outcome.Failed = 1
	case slow:
		outcome.Slow = 1
	default:
		outcome.Good = 1
	}
	c := t.services[service].Routes[o.Route]
	if isNew {
		c.New = c.New.plus(outcome)
	} else {
		c.Old = c.Old.plus(outcome)
	}
	t.services[service].Routes[o.Route] = c
}

// recordLatency reports whether an answer took far longer than usual. Successful
// answers of the old version update the usual latency.
func (t *tally) recordLatency(service string, isNew bool, o forward.Observation) bool {
	key := strings.Join([]string{service, o.Model, o.Route}, "/")
	baseline, hasBaseline := t.usualLatency[key]
	slow := hasBaseline && o.Latency > max(slowFactor*baseline, minSlowLatency)
	switch {
	case isNew || o.Bad:
	case !hasBaseline:
		t.usualLatency[key] = o.Latency
	case o.Latency > baseline:
		t.usualLatency[key] += time.Duration(latencyStep * float64(baseline))
	default:
		t.usualLatency[key] -= time.Duration(latencyStep * float64(baseline))
	}
	return slow
}

// evidence publishes this node's counts and collects those of all nodes.
type evidence struct {
	nodeKey     string
	rows        *gossip.Map
	nextVersion func() uint64
	log         *zap.Logger
	publishedAt time.Time // used by publish only
	mu          sync.Mutex
	countsByKey map[string]rolloutCounts // guarded by mu; key: service and node
}

// evidenceInterval returns how often each of a number of nodes publishes its counts.
func evidenceInterval(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*evidenceIntervalPerNode, minEvidenceInterval), maxEvidenceInterval)
}

// publish publishes this node's counts of each roll-out in progress, at intervals.
func (e *evidence) publish(r *rollouts, nodes int, now time.Time) {
	if now.Sub(e.publishedAt) < evidenceInterval(nodes) {
		return
	}
	e.publishedAt = now
	r.mu.Lock()
	unpublished := map[string]rolloutCounts{}
	for service, ro := range r.byService {
		if c := r.localTally.services[service]; c != nil && !ro.isDecided() {
			unpublished[service] = rolloutCounts{OrderVersion: ro.orderRevision.Version, OrderEra: ro.orderRevision.Era, ElapsedMS: now.Sub(ro.startedAt).Milliseconds(), HasFailedAnalysis: ro.hasFailedAnalysis, Routes: maps.Clone(c.Routes)}
		}
	}
	r.mu.Unlock()
	for service, c := range unpublished {
		key := service + "/" + e.nodeKey
		raw, err := json.Marshal(c)
		if err != nil {
			e.log.Error("cannot encode evidence, not published", telemetry.ErrorField(err))
			continue
		}
		e.rows.Apply([]gossip.Row{{Table: tableEvidence, Key: key, Version: e.nextVersion(), Data: raw}})
	}
}

// apply records the counts that nodes published.
func (e *evidence) apply(rows []gossip.Row, r *rollouts, now time.Time) {
	for _, row := range rows {
		var c rolloutCounts
		if err := json.Unmarshal(row.Data, &c); err != nil {
			e.log.Warn("cannot decode evidence", zap.String("key", row.Key), telemetry.ErrorField(err))
			continue
		}
		e.mu.Lock()
		e.countsByKey[row.Key] = c
		e.mu.Unlock()
		service, _, _ := strings.Cut(row.Key, "/")
		r.mergeRemote(service, c, now)
	}
}

// totals sums the counts of all nodes for an order's roll-out, by route.
func (e *evidence) totals(service string, order gossip.Revision) map[string]comparison {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]comparison{}
	for key, c := range e.countsByKey {
		if !strings.HasPrefix(key, service+"/") || c.orderRevision() != order {
			continue
		}
		for name, x := range c.Routes {
			out[name] = out[name].plus(x)
		}
	}
	return out
}
