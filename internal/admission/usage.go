package admission

import (
	"math"
	"time"
)

const (
	// usageDecayTime is the time constant with which the use of an organisation
	// decays.
	usageDecayTime = time.Minute
	// reportTTL is the lifetime of a node's report on an organisation.
	reportTTL = 5 * usageDecayTime
	// minUsage is the use below which an organisation is deleted, in tokens.
	minUsage = 1.0
)

// usage is a decaying sum of tokens.
type usage struct {
	tokens    float64
	updatedAt time.Time
}

// valueAt returns the decayed sum at the given time.
func (u *usage) valueAt(now time.Time) float64 {
	if u.updatedAt.IsZero() {
		return 0
	}
	return u.tokens * math.Exp(-float64(now.Sub(u.updatedAt))/float64(usageDecayTime))
}

func (u *usage) add(now time.Time, tokens float64) {
	u.tokens = u.valueAt(now) + tokens
	u.updatedAt = now
}

// UsageCounter counts, at an entry node, the tokens that organisations used through it
// over the last minute. It is not safe for concurrent use.
type UsageCounter struct {
	byName map[string]*usage
}

// NewUsageCounter returns a counter without any tokens.
func NewUsageCounter() *UsageCounter { return &UsageCounter{byName: map[string]*usage{}} }

// Add records tokens that an organisation used.
func (u *UsageCounter) Add(now time.Time, organisation string, tokens int) {
	if tokens <= 0 {
		return
	}
	sum := u.byName[organisation]
	if sum == nil {
		sum = &usage{}
		u.byName[organisation] = sum
	}
	sum.add(now, float64(tokens))
	for name, other := range u.byName {
		if other.valueAt(now) < minUsage {
			delete(u.byName, name)
		}
		break
	}
}

// Tokens returns the tokens that an organisation used over the last minute.
func (u *UsageCounter) Tokens(now time.Time, organisation string) int {
	if sum := u.byName[organisation]; sum != nil {
		return int(sum.valueAt(now))
	}
	return 0
}

// fleetUsage adds up the use of organisations that the requesting nodes report.
// Values that are not reported again decay.
type fleetUsage struct {
	byName  map[string]*reportedUsage
	total   usage
	weights float64
}

// reportedUsage is the use of one organisation as nodes reported it.
type reportedUsage struct {
	sum    usage
	weight float64
	byNode map[string]usage
}

func newFleetUsage() fleetUsage { return fleetUsage{byName: map[string]*reportedUsage{}} }

// record replaces the requesting node's last report by the one in w.
func (f *fleetUsage) record(now time.Time, w *Work) {
	if w.Node == "" {
		return
	}
	o := f.byName[w.Organisation]
	if o == nil {
		o = &reportedUsage{byNode: map[string]usage{}}
		f.byName[w.Organisation] = o
	}
	f.weights += weight(w) - o.weight
	o.weight = weight(w)
	old := o.byNode[w.Node]
	diff := float64(w.Used) - old.valueAt(now)
	o.byNode[w.Node] = usage{tokens: float64(w.Used), updatedAt: now}
	o.sum.add(now, diff)
	f.total.add(now, diff)
	f.sweep(now)
}

// sweep deletes the expired reports on one organisation, picked by map order.
func (f *fleetUsage) sweep(now time.Time) {
	for name, o := range f.byName {
		for node, u := range o.byNode {
			if now.Sub(u.updatedAt) > reportTTL {
				delete(o.byNode, node)
			}
		}
		if len(o.byNode) == 0 {
			delete(f.byName, name)
			f.weights -= o.weight
		}
		return
	}
}

// share returns what the work's organisation used and its fair share of all
// use, in tokens; ok is false if nothing was reported.
func (f *fleetUsage) share(now time.Time, w *Work) (used, fair float64, ok bool) {
	o := f.byName[w.Organisation]
	total := f.total.valueAt(now)
	if o == nil || total < minUsage {
		return 0, 0, false
	}
	return o.sum.valueAt(now), total * o.weight / f.weights, true
}
