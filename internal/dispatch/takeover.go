package dispatch

import (
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// reportLagProbes is the number of probes by which a backend server's
	// report may lag. Streams that held a slot since then may still be counted
	// in the report.
	reportLagProbes = 2
	// takeOverWindow bounds the time that holders of slots granted by earlier
	// owners need to report them to a new owner.
	takeOverWindow = 10 * time.Second
)

// heldMinima holds the minimum number of held slots in each interval between
// probes, the newest first.
type heldMinima [reportLagProbes]int

// record lowers the current minimum to n, the number of slots held now.
func (m *heldMinima) record(n int) { m[0] = min(m[0], n) }

// lowest returns the minimum over all intervals.
func (m *heldMinima) lowest() int { return slices.Min(m[:]) }

// advance starts a new interval with n slots held.
func (m *heldMinima) advance(n int) {
	copy(m[1:], m[:])
	m[0] = n
}

// addHolder records the holder of a slot. The caller holds mu.
func (r *replica) addHolder(h holder) {
	r.holders[h.args.Grant] = h
	r.minHeld.record(len(r.holders))
}

// reconcile compares the backend server's report with the slots held here.
// Streams in excess of those slots were granted by another owner. The report
// lags, so only an excess seen in two successive reports is certain. A new
// owner keeps the excess of its first report until a later report shows that
// the streams ended, or until their holders report them. The caller holds mu.
func (r *replica) reconcile(now time.Time, report backend.LoadReport) {
	batch := report.Running + report.Waiting
	switch {
	case r.firstReportAt.IsZero():
		r.firstReportAt = now
		r.gate.SetForeign(now, batch-len(r.holders))
	case now.Sub(r.firstReportAt) < takeOverWindow:
		r.gate.SetForeign(now, min(r.gate.Foreign(), batch-r.minHeld.lowest()))
	default:
		r.gate.SetForeign(now, min(batch-len(r.holders), r.excess))
	}
	r.excess = batch - len(r.holders)
	r.minHeld.advance(len(r.holders))
	r.grantFree(now)
}

// recordEarlyRelease records the release of a slot that is not held here: the
// release arrived before its request, or before the holder reported the slot.
// The caller holds mu.
func (r *replica) recordEarlyRelease(grant string, now time.Time) {
	if _, exists := r.earlyReleases[grant]; exists {
		return
	}
	r.earlyReleases[grant] = now
	r.gate.SetForeign(now, r.gate.Foreign()-1)
	r.grantFree(now)
}

// TakeOver counts slots that other owners granted, as reported by their holder. It
// returns the grants on replicas that this node does not own. A slot that is
// already counted or was released is not counted again.
func (o *Owner) TakeOver(list []wire.HeldPlace) []string {
	now := time.Now()
	var notOwner []string
	for _, held := range list {
		o.mu.Lock()
		r := o.replicas[held.Request.Replica]
		weight := o.weights[held.Request.Organisation]
		o.mu.Unlock()
		if r == nil {
			notOwner = append(notOwner, held.Request.Grant)
			continue
		}
		r.takeOver(held, weight, now)
	}
	return notOwner
}

// takeOver counts one slot that another owner granted.
func (r *replica) takeOver(reported wire.HeldPlace, weight float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	grant := reported.Request.Grant
	if h, held := r.holders[grant]; held {
		h.args.Incarnation = reported.Request.Incarnation
		r.holders[grant] = h
		return
	}
	if _, released := r.earlyReleases[grant]; released || r.waiting[grant] != nil {
		return
	}
	since := now.Add(-max(reported.Held, 0))
	r.gate.TakeOver(now, since, newWork(reported.Request, weight, since))
	r.addHolder(holder{args: reported.Request, since: since, takenOver: true})
}
