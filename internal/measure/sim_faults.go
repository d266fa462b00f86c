package measure

import (
	"maps"
	"slices"
	"time"
)

// failureDetectionTime is how long a node waits for an owner that it cannot
// reach, before it treats the owner as unreachable (heartbeat timeout).
const failureDetectionTime = 3 * time.Second

// isPartitioned reports whether two data centres cannot reach each other.
func (f *fleet) isPartitioned(a, b int) bool {
	return a != b && (a == f.isolatedDC || b == f.isolatedDC)
}

// stopReplica stops a replica; its requests search for slots elsewhere.
func (f *fleet) stopReplica(i int) {
	o := f.owners[i]
	o.isDown = true
	o.engine.isStopped = true
	f.breakAttempts(o, func(*simAttempt) bool { return true })
}

// breakAttempts ends the granted and waiting attempts of an owner for which
// isBroken returns true, and requests new slots for them.
func (f *fleet) breakAttempts(o *simOwner, isBroken func(*simAttempt) bool) {
	for _, id := range slices.Sorted(maps.Keys(o.granted)) {
		if t := o.granted[id]; isBroken(t) && !t.isEnded {
			f.endAttempt(t, false)
			f.requestSlot(t.request, slotSearch{tried: []string{o.id}})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(o.waiting)) {
		if t := o.waiting[id]; isBroken(t) {
			o.gate.Withdraw(id)
			delete(o.waiting, id)
			f.requestSlot(t.request, slotSearch{tried: []string{o.id}})
		}
	}
}

// restartReplica restarts a stopped replica with an empty cache.
func (f *fleet) restartReplica(i int) {
	o := f.owners[i]
	o.isDown = false
	o.engine = newSimEngine(f.ev, f.engine)
}

// isolate cuts a data centre off from the others; -1 reconnects all.
func (f *fleet) isolate(dc int) {
	f.isolatedDC, f.isolatedSince = dc, f.ev.now
	if dc < 0 {
		return
	}
	for _, o := range f.owners {
		f.breakAttempts(o, func(t *simAttempt) bool { return f.isPartitioned(f.nodes[t.request.entryNode].dc, o.dc) })
	}
}

// excludeUnreachable adds the replicas beyond a partition to the excluded ones,
// once the partition has been detected.
func (f *fleet) excludeUnreachable(dc int, tried []string) []string {
	if f.isolatedDC < 0 || f.ev.now.Before(f.isolatedSince.Add(failureDetectionTime)) {
		return tried
	}
	out := slices.Clone(tried)
	for _, o := range f.owners {
		if f.isPartitioned(dc, o.dc) {
			out = append(out, o.id)
		}
	}
	return out
}

// freezeNode stops the node that owns some replicas. Once that is detected,
// another node takes them over without knowledge of the streams that run there.
func (f *fleet) freezeNode(node int) {
	for _, o := range f.owners {
		if o.node != node {
			continue
		}
		o.frozenUntil = f.ev.now.Add(failureDetectionTime)
		f.ev.after(failureDetectionTime, func() { f.takeOver(o) })
	}
}

func (f *fleet) takeOver(o *simOwner) {
	waiting := o.waiting
	o.gate, o.waiting, o.granted = f.newGate(), map[string]*simAttempt{}, map[string]*simAttempt{}
	for _, id := range slices.Sorted(maps.Keys(waiting)) {
		f.requestSlot(waiting[id].request, slotSearch{})
	}
}

// Start and end of faults, as shares of a trial's duration.
const (
	faultStart = 1.0 / 3
	faultEnd   = 2.0 / 3
)

// stopShareOfReplicas stops the given share of the replicas for a third of the
// trial.
func stopShareOfReplicas(share float64) func(*fleet) {
	return func(f *fleet) {
		n := int(share * float64(f.replicas))
		f.atShareOfTrial(faultStart, func() {
			for i := range n {
				f.stopReplica(i)
			}
		})
		f.atShareOfTrial(faultEnd, func() {
			for i := range n {
				f.restartReplica(i)
			}
		})
	}
}

// isolateDataCentre cuts one data centre off for a third of the trial.
func isolateDataCentre(f *fleet) {
	f.atShareOfTrial(faultStart, func() { f.isolate(0) })
	f.atShareOfTrial(faultEnd, func() { f.isolate(-1) })
}

// atShareOfTrial schedules an action at a share of the trial's duration.
func (f *fleet) atShareOfTrial(share float64, action func()) {
	f.ev.after(time.Duration(share*float64(f.duration)), action)
}

// freezeNodesInTurn freezes one node of each data centre, one after the other.
func freezeNodesInTurn(f *fleet) {
	for i := range f.dataCentres {
		f.atShareOfTrial(faultStart+float64(i)/10, func() { f.freezeNode(i) })
	}
}
