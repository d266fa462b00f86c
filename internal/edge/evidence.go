package edge

import (
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// slowFactor is how many times the usual latency of the old version counts
	// as a slow answer; a cold cache costs up to three times.
	slowFactor = 4
	// leastSlow keeps jitter of short answers from counting.
	leastSlow = 250 * time.Millisecond
	// evidenceShare is how often all nodes together tell their counts, and
	// evidenceLeast and evidenceMost bound the interval of one: the more nodes,
	// the more answers they see together.
	evidenceShare = 20 * time.Millisecond
	evidenceLeast = 300 * time.Millisecond
	evidenceMost  = 2 * time.Second
	// latencyStep is by how much one answer moves the usual latency towards it.
	latencyStep = 0.06
)

// counts are what one node saw of one roll-out.
type counts struct {
	// Order is the version of the order's row: the same version of a service may
	// be ordered again.
	Order uint64 `json:"order"`
	// ElapsedMS is how long the roll-out is under way, as far as this node
	// knows.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Bad is set once the node holds the new version for bad.
	Bad bool `json:"bad,omitempty"`
	// Routes holds what both versions did, by route.
	Routes map[string]comparison `json:"routes"`
}

// tally counts the answers of a node by service. Its caller holds the lock.
type tally struct {
	services map[string]*counts
	usual    map[string]time.Duration // median latency of the old version by service, model and route
}

func newTally() *tally {
	return &tally{services: map[string]*counts{}, usual: map[string]time.Duration{}}
}

func (t *tally) reset(service string) {
	t.services[service] = &counts{Routes: map[string]comparison{}}
}

func (t *tally) add(service string, isNew bool, o forward.Observation) {
	if t.services[service] == nil {
		t.reset(service)
	}
	var seen outcomes
	switch slow := t.slow(service, isNew, o); {
	case o.Bad:
		seen.Failed = 1
	case slow:
		seen.Slow = 1
	default:
		seen.Good = 1
	}
	c := t.services[service].Routes[o.Route]
	if isNew {
		c.New = c.New.plus(seen)
	} else {
		c.Old = c.Old.plus(seen)
	}
	t.services[service].Routes[o.Route] = c
}

// slow tells whether an answer took far longer than usual, and learns what is
// usual from the old version.
func (t *tally) slow(service string, isNew bool, o forward.Observation) bool {
	key := strings.Join([]string{service, o.Model, o.Route}, "/")
	usual, known := t.usual[key]
	slow := known && o.Latency > max(slowFactor*usual, leastSlow)
	switch {
	case isNew || o.Bad:
	case !known:
		t.usual[key] = o.Latency
	case o.Latency > usual:
		t.usual[key] += time.Duration(latencyStep * float64(usual))
	default:
		t.usual[key] -= time.Duration(latencyStep * float64(usual))
	}
	return slow
}

// evidence shares the counts of all nodes.
type evidence struct {
	self string
	rows *news.Map
	next func() uint64
	log  *zap.Logger
	told time.Time // used by publish alone
	mu   sync.Mutex
	seen map[string]counts // guarded by mu; by service and node
}

// evidenceInterval is how often a node among so many tells its counts.
func evidenceInterval(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*evidenceShare, evidenceLeast), evidenceMost)
}

// publish tells this node's counts of each roll-out under way, at intervals.
func (e *evidence) publish(r *rollouts, nodes int, now time.Time) {
	if now.Sub(e.told) < evidenceInterval(nodes) {
		return
	}
	e.told = now
	r.mu.Lock()
	list := map[string]counts{}
	for service, x := range r.releases {
		if c := r.local.services[service]; c != nil && !x.isDecided() {
			list[service] = counts{Order: x.row, ElapsedMS: now.Sub(x.began).Milliseconds(), Bad: x.bad, Routes: maps.Clone(c.Routes)}
		}
	}
	r.mu.Unlock()
	for service, c := range list {
		key := service + "/" + e.self
		raw, err := json.Marshal(c)
		if err != nil {
			e.log.Error("evidence is not published", telemetry.Cause(err))
			continue
		}
		e.rows.Apply([]news.Row{{Table: tableEvidence, Key: key, Version: e.next(), Data: raw}})
	}
}

// apply notes what nodes saw.
func (e *evidence) apply(rows []news.Row, r *rollouts, now time.Time) {
	for _, row := range rows {
		var c counts
		if err := json.Unmarshal(row.Data, &c); err != nil {
			e.log.Warn("evidence is unreadable", zap.String("key", row.Key), telemetry.Cause(err))
			continue
		}
		e.mu.Lock()
		e.seen[row.Key] = c
		e.mu.Unlock()
		service, _, _ := strings.Cut(row.Key, "/")
		r.adopt(service, c, now)
	}
}

// totals sums what all nodes saw of an order's roll-out, by route.
func (e *evidence) totals(service string, order uint64) map[string]comparison {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]comparison{}
	for key, c := range e.seen {
		if !strings.HasPrefix(key, service+"/") || c.Order != order {
			continue
		}
		for name, x := range c.Routes {
			out[name] = out[name].plus(x)
		}
	}
	return out
}
