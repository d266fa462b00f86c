package measure

import "fmt"

// sendDirect sends a request to an engine without an owner's queue. It takes
// the less loaded of two random replicas, by lagged reports.
func (f *fleet) sendDirect(r *simRequest) {
	node := f.nodes[r.entryNode]
	view := f.laggedView(r)
	best := -1
	for range 2 {
		index := f.rng.IntN(len(view))
		if !view[index].Usable {
			continue
		}
		if best < 0 || view[index].Running < view[best].Running {
			best = index
		}
	}
	if best < 0 {
		f.refuseTry(r, noReplicaRetryAfter)
		return
	}
	f.attemptCount++
	t := &simAttempt{id: fmt.Sprint(f.attemptCount), request: r, owner: f.owners[best]}
	r.attempt = t
	node.recentSends.Add(f.ev.now, t.owner.id)
	f.startStream(t)
}
