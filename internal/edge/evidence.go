package edge

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// badMargin is the loss in good answers that is no fault of a version.
	badMargin = 0.05
	// convictEvidence is the evidence at which a version counts as bad: a good
	// one reaches it in one of 50 roll-outs at most.
	convictEvidence = 50
	// slowFactor is how many times the usual latency of the old version counts
	// as a bad answer; a cold cache costs up to three times.
	slowFactor = 5
	// leastSlow keeps jitter of short answers from counting.
	leastSlow = 250 * time.Millisecond
	// latencyWeight is the weight of a new answer in the usual latency.
	latencyWeight = 0.1
)

// judge weighs what all nodes saw of a new version.
type judge struct {
	test      rollout.Test
	old, next rollout.Counts
}

func newJudge() *judge { return &judge{test: rollout.Test{Margin: badMargin}} }

// evaluate takes totals so far and returns the evidence against the new version.
func (j *judge) evaluate(old, next rollout.Counts) float64 {
	// A node that left takes its counts along: totals never fall.
	old, next = atLeast(old, j.old), atLeast(next, j.next)
	j.test.Add(old.Minus(j.old), next.Minus(j.next))
	j.old, j.next = old, next
	return j.test.Evidence()
}

func (j *judge) convicts(evidence float64) bool { return evidence >= convictEvidence }

func atLeast(a, b rollout.Counts) rollout.Counts {
	return rollout.Counts{Good: max(a.Good, b.Good), Bad: max(a.Bad, b.Bad)}
}

// counts are what one node saw of one roll-out.
type counts struct {
	To string `json:"to"`
	// ElapsedMS is how long the roll-out is under way, as far as this node
	// knows.
	ElapsedMS int64          `json:"elapsed_ms"`
	Old       rollout.Counts `json:"old"`
	New       rollout.Counts `json:"new"`
}

// tally counts the answers of a node by service. Its caller holds the lock.
type tally struct {
	services map[string]*counts
	usual    map[string]time.Duration // latency of the old version by service, model and route
}

func newTally() *tally {
	return &tally{services: map[string]*counts{}, usual: map[string]time.Duration{}}
}

func (t *tally) reset(service string) { t.services[service] = &counts{} }

func (t *tally) add(service string, isNew bool, o forward.Observation) {
	c := t.services[service]
	if c == nil {
		c = &counts{}
		t.services[service] = c
	}
	bad := o.Bad || t.slow(service, isNew, o)
	which := &c.Old
	if isNew {
		which = &c.New
	}
	if bad {
		which.Bad++
	} else {
		which.Good++
	}
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
	default:
		t.usual[key] += time.Duration(latencyWeight * float64(min(o.Latency, slowFactor*usual)-usual))
	}
	return slow
}

// evidence shares the counts of all nodes.
type evidence struct {
	self string
	rows *news.Map
	next func() uint64
	log  *zap.Logger
	mu   sync.Mutex
	seen map[string]counts // guarded by mu; by service and node
}

// publish tells this node's counts of each roll-out under way.
func (e *evidence) publish(r *rollouts, now time.Time) {
	r.mu.Lock()
	list := map[string]counts{}
	for service, x := range r.releases {
		if c := r.local.services[service]; c != nil && x.state() == RolloutRunning {
			c.To, c.ElapsedMS = x.order.To, now.Sub(x.began).Milliseconds()
			list[service] = *c
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

// apply notes what a node saw.
func (e *evidence) apply(rows []news.Row, r *rollouts, now time.Time) {
	for service, c := range e.keep(rows) {
		r.adopt(service, c.To, time.Duration(c.ElapsedMS)*time.Millisecond, now)
	}
}

// keep stores the counts and returns one of each service.
func (e *evidence) keep(rows []news.Row) map[string]counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]counts{}
	for _, r := range rows {
		var c counts
		if err := json.Unmarshal(r.Data, &c); err != nil {
			e.log.Warn("evidence is unreadable", zap.String("key", r.Key), telemetry.Cause(err))
			continue
		}
		e.seen[r.Key] = c
		service, _, _ := strings.Cut(r.Key, "/")
		if c.ElapsedMS >= out[service].ElapsedMS {
			out[service] = c
		}
	}
	return out
}

// totals sums what all nodes saw of a service's roll-out to a version.
func (e *evidence) totals(service, to string) (old, next rollout.Counts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, c := range e.seen {
		if strings.HasPrefix(key, service+"/") && c.To == to {
			old, next = old.Plus(c.Old), next.Plus(c.New)
		}
	}
	return old, next
}
