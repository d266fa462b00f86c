package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/permit"
)

const (
	// maxProbeShare is the part of a replica's limit that its probes may take. Below
	// limits of 0.5 a second they take more, as they tell when the limit ends.
	maxProbeShare    = 0.1
	maxProbeInterval = 20 * time.Second
	// minShareRate is granted, in requests per second, by an owner without a share: no
	// bound at all is a rate of 0.
	minShareRate = 0.001
	// limitTakeoverTime is how long a new owner grants nothing under a limit. The owner
	// before notices within this time that it is none any more, or that it lost contact.
	limitTakeoverTime = 5 * time.Second
)

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
	change := LimitChange{Replica: r.id, Limit: r.limit, Before: r.limit}
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
	r.limit = change.Limit
	r.applyRate(now)
	return change, isNewError || change.Limit != change.Before
}

// applyRate bounds the gate to this owner's share of the limit. The caller holds mu.
func (r *replica) applyRate(now time.Time) {
	rate := 0.0
	if r.limit > 0 {
		rate = max(r.limit*r.limitShare, minShareRate)
	}
	before := r.gate.RateLimit()
	if rate == before {
		return
	}
	r.gate.SetRateLimit(rate, now)
	if wait := limitTakeoverTime - now.Sub(r.ownedSince); before == 0 && wait > 0 {
		r.gate.DelayRate(wait)
	}
	if r.grantTimer != nil {
		r.grantTimer.Stop()
		r.grantTimer = nil
	}
	r.grantFree(now)
}

// SetLimitShare sets the part of the replicas' limits that this node may grant as their
// owner.
func (o *Owner) SetLimitShare(share float64) {
	o.mu.Lock()
	o.limitShare = share
	list := slices.Collect(maps.Values(o.replicas))
	o.mu.Unlock()
	now := time.Now()
	for _, r := range list {
		r.mu.Lock()
		r.limitShare = share
		r.applyRate(now)
		r.mu.Unlock()
	}
}

// HasLimits reports whether a replica of this owner has a limit.
func (o *Owner) HasLimits() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.replicas {
		r.mu.Lock()
		isLimited := r.limit > 0
		r.mu.Unlock()
		if isLimited {
			return true
		}
	}
	return false
}

// isProbeDue reports whether the replica may be probed now, and counts the probe. The
// caller holds mu.
func (r *replica) isProbeDue(now time.Time) bool {
	if r.limit > 0 && now.Sub(r.probedAt) < probeInterval(r.limit) {
		return false
	}
	r.probedAt = now
	r.countProbe(now)
	return true
}

// probeInterval returns the least time between two probes of a replica with a limit.
func probeInterval(limit float64) time.Duration {
	return min(time.Duration(float64(time.Second)/(maxProbeShare*limit)), maxProbeInterval)
}

// countProbe counts a probe against the replica's limit. The caller holds mu.
func (r *replica) countProbe(now time.Time) {
	if r.limit > 0 {
		r.gate.SpendRate(now)
	}
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
