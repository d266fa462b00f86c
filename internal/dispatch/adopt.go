package dispatch

import (
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// knownProbes is the number of probes that a backend server's report may
	// lag: what held a place since then may still be in it.
	knownProbes = 2
	// settleTime is how long after an owner took a replica on the holders of
	// its predecessor's places take to tell, at most.
	settleTime = 10 * time.Second
)

// leasts are the least places held between two probes, the newest first.
type leasts [knownProbes]int

// note takes the number of places held now.
func (l *leasts) note(n int) { l[0] = min(l[0], n) }

// lowest returns the least places held within the last probes.
func (l *leasts) lowest() int { return slices.Min(l[:]) }

// next begins another interval with the given number of places held.
func (l *leasts) next(n int) {
	copy(l[1:], l[:])
	l[0] = n
}

// hold notes who holds a place. The caller holds mu.
func (r *replica) hold(h holder) {
	r.holders[h.args.Grant] = h
	r.known.note(len(r.holders))
}

// count compares the backend server's report with the places held here: what
// it has more of was granted by another owner. The report lags, so that only
// what two reports in a row exceed the places by is sure; but what a new owner
// found at first is there until a report shows that it ended or its holder
// tells. The caller holds mu.
func (r *replica) count(now time.Time, report backend.LoadReport) {
	batch := report.Running + report.Waiting
	switch {
	case r.taken.IsZero():
		r.taken = now
		r.gate.SetForeign(now, batch-len(r.holders))
	case now.Sub(r.taken) < settleTime:
		r.gate.SetForeign(now, min(r.gate.Foreign(), batch-r.known.lowest()))
	default:
		r.gate.SetForeign(now, min(batch-len(r.holders), r.excess))
	}
	r.excess = batch - len(r.holders)
	r.known.next(len(r.holders))
	r.pump(now)
}

// endUnknown notes the release of a place that was not granted here: it came
// before its request, or before the news of it. The caller holds mu.
func (r *replica) endUnknown(grant string, now time.Time) {
	if _, known := r.early[grant]; known {
		return
	}
	r.early[grant] = now
	r.gate.SetForeign(now, r.gate.Foreign()-1)
	r.pump(now)
}

// Adopt counts places that other owners granted, as their holder tells. It
// returns the grants on replicas that this node does not own. A place that is
// counted already, or was released, is not counted again.
func (o *Owner) Adopt(list []wire.HeldPlace) []string {
	now := time.Now()
	var notOwner []string
	for _, p := range list {
		o.mu.Lock()
		r := o.replicas[p.Request.Replica]
		weight := o.weights[p.Request.Organisation]
		o.mu.Unlock()
		if r == nil {
			notOwner = append(notOwner, p.Request.Grant)
			continue
		}
		r.adopt(p, weight, now)
	}
	return notOwner
}

func (r *replica) adopt(p wire.HeldPlace, weight float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	grant := p.Request.Grant
	if h, held := r.holders[grant]; held {
		h.args.Incarnation = p.Request.Incarnation
		r.holders[grant] = h
		return
	}
	if _, over := r.early[grant]; over || r.waiting[grant] != nil {
		return
	}
	since := now.Add(-max(p.Held, 0))
	r.gate.TakeOver(now, since, newWork(p.Request, weight, since))
	r.hold(holder{args: p.Request, since: since, adopted: true})
}
