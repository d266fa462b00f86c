package measure

import (
	"maps"
	"slices"
	"time"
)

// cutNoticed is how long a node waits for an owner that it cannot reach,
// before it takes the owner for dead.
const cutNoticed = 3 * time.Second

// apart tells whether two data centres cannot reach each other.
func (f *fleet) apart(a, b int) bool {
	return a != b && (a == f.cut || b == f.cut)
}

// kill stops a replica: what ran there is asked for anew, elsewhere.
func (f *fleet) kill(i int) {
	o := f.owners[i]
	o.down = true
	o.engine.dead = true
	f.evict(o, func(*simTry) bool { return true })
}

// evict breaks the streams and waits for which broken holds.
func (f *fleet) evict(o *simOwner, broken func(*simTry) bool) {
	for _, id := range slices.Sorted(maps.Keys(o.holding)) {
		if t := o.holding[id]; broken(t) && !t.over {
			f.end(t, false)
			f.ask(t.req, search{tried: []string{o.id}})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(o.waiting)) {
		if t := o.waiting[id]; broken(t) {
			o.gate.Withdraw(id)
			delete(o.waiting, id)
			f.ask(t.req, search{tried: []string{o.id}})
		}
	}
}

// revive starts a killed replica with an empty cache.
func (f *fleet) revive(i int) {
	o := f.owners[i]
	o.down = false
	o.engine = newSimEngine(f.ev, f.engine)
}

// setCut separates a data centre, or joins all with -1.
func (f *fleet) setCut(dc int) {
	f.cut, f.cutSince = dc, f.ev.now
	if dc < 0 {
		return
	}
	for _, o := range f.owners {
		f.evict(o, func(t *simTry) bool { return f.apart(f.nodes[t.req.home].dc, o.dc) })
	}
}

// unreachable adds the replicas beyond a cut to those excluded, once the cut
// was noticed.
func (f *fleet) unreachable(dc int, tried []string) []string {
	if f.cut < 0 || f.ev.now.Before(f.cutSince.Add(cutNoticed)) {
		return tried
	}
	out := slices.Clone(tried)
	for _, o := range f.owners {
		if f.apart(dc, o.dc) {
			out = append(out, o.id)
		}
	}
	return out
}

// freeze stops the node that owns some replicas. Once that is noticed, another
// node owns them and knows nothing of what runs there.
func (f *fleet) freeze(node int) {
	for _, o := range f.owners {
		if o.node != node {
			continue
		}
		o.frozen = f.ev.now.Add(cutNoticed)
		f.ev.after(cutNoticed, func() { f.takeOver(o) })
	}
}

func (f *fleet) takeOver(o *simOwner) {
	waiting := o.waiting
	o.gate, o.waiting, o.holding = f.newGate(), map[string]*simTry{}, map[string]*simTry{}
	for _, id := range slices.Sorted(maps.Keys(waiting)) {
		f.ask(waiting[id].req, search{})
	}
}

// Moments of faults, as shares of a trial's span.
const (
	faultFrom = 1.0 / 3
	faultTo   = 2.0 / 3
)

// shrink stops the given share of the replicas for a third of the trial.
func shrink(share float64) func(*fleet) {
	return func(f *fleet) {
		n := int(share * float64(f.replicas))
		f.at(faultFrom, func() {
			for i := range n {
				f.kill(i)
			}
		})
		f.at(faultTo, func() {
			for i := range n {
				f.revive(i)
			}
		})
	}
}

// cutOff separates one data centre for a third of the trial.
func cutOff(f *fleet) {
	f.at(faultFrom, func() { f.setCut(0) })
	f.at(faultTo, func() { f.setCut(-1) })
}

// at plans do at a share of the trial's span.
func (f *fleet) at(share float64, do func()) {
	f.ev.after(time.Duration(share*float64(f.span)), do)
}

// freezeOwners freezes one owner after the other.
func freezeOwners(f *fleet) {
	for i := range f.dataCentres {
		f.at(faultFrom+float64(i)/10, func() { f.freeze(i) })
	}
}
