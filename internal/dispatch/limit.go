package dispatch

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/permit"
)

// maxProbeShare is the part of a replica's limit that its probes may take.
const maxProbeShare = 0.1

// LimitChange is a change of the limit that a backend server names.
type LimitChange struct {
	Replica string
	// Limit and Before are requests per second; 0 is none.
	Limit  float64
	Before float64
	// Err describes a malformed limit, which changes nothing unless a valid one came
	// with it.
	Err error
}

// OnLimit sets the function that is called for each change of a replica's limit. It is
// called before the owner is used.
func (o *Owner) OnLimit(report func(LimitChange)) { o.onLimit = report }

// applyLimit applies the limit that the replica named in its answer to a probe, and
// returns what changed, or false. The caller holds mu.
func (r *replica) applyLimit(report backend.LoadReport, now time.Time) (LimitChange, bool) {
	change := LimitChange{Replica: r.id, Before: r.gate.RateLimit()}
	change.Limit = change.Before
	switch {
	case report.Limit != nil:
		change.Limit = max(*report.Limit, permit.MinRate)
	case report.LimitError == nil:
		change.Limit = 0
	}
	isNewError := false
	if report.LimitError != nil {
		isNewError = r.limitError != report.LimitError.Error()
		r.limitError, change.Err = report.LimitError.Error(), report.LimitError
	}
	if change.Limit != change.Before {
		r.gate.SetRateLimit(change.Limit, now)
		r.grantFree(now)
	}
	return change, isNewError || change.Limit != change.Before
}

// isProbeDue reports whether the replica may be probed now, and counts the probe. The
// caller holds mu.
func (r *replica) isProbeDue(now time.Time) bool {
	limit := r.gate.RateLimit()
	if limit > 0 && now.Sub(r.probedAt).Seconds() < 1/(maxProbeShare*limit) {
		return false
	}
	r.probedAt = now
	if limit > 0 {
		r.gate.SpendRate(now)
	}
	return true
}

// scheduleGrant grants queued work once the rate limit allows it. The caller holds mu.
func (r *replica) scheduleGrant(now time.Time) {
	next := r.gate.NextGrant(now)
	if next == 0 || r.grantTimer != nil {
		return
	}
	r.grantTimer = time.AfterFunc(next, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.grantTimer = nil
		r.grantFree(time.Now())
	})
}
