package admission

import (
	"math"
	"time"
)

const (
	// usageTime is how long the use of an organisation is remembered.
	usageTime = time.Minute
	// forgetTime is when what a node told of an organisation is forgotten.
	forgetTime = 5 * usageTime
	// leastUse is the use below which an organisation is forgotten, in tokens.
	leastUse = 1.0
)

// usage is a decaying sum of tokens.
type usage struct {
	tokens float64
	last   time.Time
}

// at returns the sum as it stands now.
func (u *usage) at(now time.Time) float64 {
	if u.last.IsZero() {
		return 0
	}
	return u.tokens * math.Exp(-float64(now.Sub(u.last))/float64(usageTime))
}

func (u *usage) add(now time.Time, tokens float64) {
	u.tokens = u.at(now) + tokens
	u.last = now
}

// Used counts, at an entry node, the tokens that organisations used through it
// over the last minute. It is not safe for concurrent use.
type Used struct {
	byName map[string]*usage
}

// NewUsed returns an empty count.
func NewUsed() *Used { return &Used{byName: map[string]*usage{}} }

// Add counts tokens of an organisation.
func (u *Used) Add(now time.Time, organisation string, tokens int) {
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
		if other.at(now) < leastUse {
			delete(u.byName, name)
		}
		break
	}
}

// Of returns the tokens that an organisation used over the last minute.
func (u *Used) Of(now time.Time, organisation string) int {
	if sum := u.byName[organisation]; sum != nil {
		return int(sum.at(now))
	}
	return 0
}

// fleetUse adds up what the nodes that ask for places tell of the use of
// organisations. What is told late or not at all fades.
type fleetUse struct {
	byName  map[string]*toldUse
	total   usage
	weights float64
}

// toldUse is the use of one organisation by the nodes that told of it.
type toldUse struct {
	sum    usage
	weight float64
	byNode map[string]usage
}

func newFleetUse() fleetUse { return fleetUse{byName: map[string]*toldUse{}} }

// tell takes what the node that asks for the work tells.
func (f *fleetUse) tell(now time.Time, w *Work) {
	if w.Node == "" {
		return
	}
	o := f.byName[w.Organisation]
	if o == nil {
		o = &toldUse{byNode: map[string]usage{}}
		f.byName[w.Organisation] = o
	}
	f.weights += weight(w) - o.weight
	o.weight = weight(w)
	old := o.byNode[w.Node]
	more := float64(w.Used) - old.at(now)
	o.byNode[w.Node] = usage{tokens: float64(w.Used), last: now}
	o.sum.add(now, more)
	f.total.add(now, more)
	f.sweep(now)
}

// sweep forgets what was told long ago of one organisation.
func (f *fleetUse) sweep(now time.Time) {
	for name, o := range f.byName {
		for node, u := range o.byNode {
			if now.Sub(u.last) > forgetTime {
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
// use, in tokens; false if nothing is known.
func (f *fleetUse) share(now time.Time, w *Work) (used, fair float64, ok bool) {
	o := f.byName[w.Organisation]
	total := f.total.at(now)
	if o == nil || total < leastUse {
		return 0, 0, false
	}
	return o.sum.at(now), total * o.weight / f.weights, true
}
