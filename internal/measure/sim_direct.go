package measure

import "fmt"

// sendDirect sends a request to an engine without an owner's queue: the less
// loaded of two replicas drawn at random, by reports that lag.
func (f *fleet) sendDirect(r *simRequest) {
	node := f.nodes[r.home]
	view := f.view(r)
	best := -1
	for range 2 {
		at := f.rng.IntN(len(view))
		if !view[at].Usable {
			continue
		}
		if best < 0 || view[at].Running < view[best].Running {
			best = at
		}
	}
	if best < 0 {
		f.refuse(r, noReplica)
		return
	}
	f.turn++
	t := &simTry{id: fmt.Sprint(f.turn), req: r, owner: f.owners[best]}
	r.try = t
	node.recent.Add(f.ev.now, t.owner.id)
	f.start(t)
}
