package measure

import (
	"fmt"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
)

// countKnowledge tells what an owner knows of the use of organisations.
type countKnowledge int

const (
	// countsTold is what the asking nodes tell of what went through them.
	countsTold countKnowledge = iota
	// countsOwn is what the replica itself served.
	countsOwn
	// countsAll is what the whole fleet served, at once.
	countsAll
	// countsLate is told late, countsLost by one ask in ten.
	countsLate
	countsLost
)

const (
	countDelay = 30 * time.Second
	toldShare  = 0.1
)

// use counts the tokens of a stream that ends.
func (f *fleet) use(t *simTry) {
	node, name := f.nodes[t.req.home], orgName(t.req.organisation)
	f.used.Add(f.ev.now, name, t.tokens)
	if f.policy.counts == countsLate {
		f.ev.after(countDelay, func() { node.used.Add(f.ev.now, name, t.tokens) })
		return
	}
	node.used.Add(f.ev.now, name, t.tokens)
}

// tell adds to new work what its entry node tells.
func (f *fleet) tell(w *admission.Work, r *simRequest) {
	switch {
	case f.policy.counts == countsOwn:
	case f.policy.counts == countsAll:
		w.Node, w.Used = "all", f.used.Tokens(f.ev.now, w.Organisation)
	case f.policy.counts == countsLost && f.rng.Float64() > toldShare:
	default:
		w.Node, w.Used = fmt.Sprint(r.home), f.nodes[r.home].used.Tokens(f.ev.now, w.Organisation)
	}
}
