package measure

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
)

// Times in the trial of a request that crashes its backend server.
const (
	resendInterval    = time.Second
	engineRestartTime = 10 * time.Second
	suspectRetryDelay = 200 * time.Millisecond
)

// crashFingerprint is the fingerprint of the request that crashes engines.
const crashFingerprint = 1 << 40

// crashStats counts the effects of the crashing request: engines taken down,
// streams broken, and refusals of the request itself and of others.
type crashStats struct {
	replicas, brokenStreams, refused, othersRefused int
	quarantinedAfter                                time.Duration
}

// resendCrashingRequest repeatedly sends a request that crashes its engine,
// from the usual entry nodes of its organisation.
func resendCrashingRequest(f *fleet) {
	var next func()
	next = func() {
		if f.ev.now.Sub(epoch) >= f.duration {
			return
		}
		r := f.traffic.newRequest(source{rank: normal, behaviour: givesUp})
		r.crashesEngine = true
		f.arrive(r)
		f.ev.after(resendInterval, next)
	}
	f.atShareOfTrial(faultStart, next)
}

// crashEngine takes an engine down for engineRestartTime; every request that
// ran there becomes a suspect.
func (f *fleet) crashEngine(o *simOwner) {
	if o.isDown {
		return
	}
	f.stats.crashes.replicas++
	for _, id := range slices.Sorted(maps.Keys(o.granted)) {
		if t := o.granted[id]; t.stream != nil && !t.isEnded {
			f.stats.crashes.brokenStreams++
			if f.suspects != nil {
				f.suspects.RecordCrash(fingerprint(t.request), o.id, f.ev.now)
			}
		}
	}
	f.stopReplica(o.index)
	f.ev.after(engineRestartTime, func() { f.restartReplica(o.index) })
}

// refuseIfQuarantined refuses a quarantined request and reports whether it did.
func (f *fleet) refuseIfQuarantined(r *simRequest) bool {
	if f.suspects == nil || !f.suspects.IsQuarantined(fingerprint(r), f.ev.now) {
		return false
	}
	c := &f.stats.crashes
	switch {
	case !r.crashesEngine:
		c.othersRefused++
	case c.refused == 0:
		c.quarantinedAfter = f.ev.now.Sub(epoch) - time.Duration(faultStart*float64(f.duration))
		c.refused++
	default:
		c.refused++
	}
	r.isRefused, r.isDone = true, true
	f.stats.recordEnd(r, f.ev.now)
	return true
}

// wouldMeetSuspect reports whether r is a suspect and the replica already holds
// another one. Suspects are kept apart, so that a crash implicates only one of
// them.
func (o *simOwner) wouldMeetSuspect(r *simRequest) bool {
	s := o.fleet.suspects
	if s == nil || !s.IsSuspect(fingerprint(r), o.fleet.ev.now) {
		return false
	}
	isOtherSuspect := func(t *simAttempt) bool {
		return fingerprint(t.request) != fingerprint(r) && s.IsSuspect(fingerprint(t.request), o.fleet.ev.now)
	}
	for _, t := range o.granted {
		if isOtherSuspect(t) {
			return true
		}
	}
	for _, t := range o.waiting {
		if isOtherSuspect(t) {
			return true
		}
	}
	return false
}

// runCrash compares how nodes handle a request that crashes engines.
func (s size) runCrash(seed uint64) *Table {
	t := &Table{Columns: []string{"engines down", "streams broken", "refused after s", "sent again and refused", "others refused", "urgent in time %", "normal in time %", "background served %", "useful %"}}
	policies := []policy{
		routerPolicy.variant("suspects kept apart (router)", func(p *policy) { p.newSuspects = dispatch.NewSuspects }),
		routerPolicy.variant("tried elsewhere", func(*policy) {}),
	}
	results := make([]*stats, len(policies))
	runConcurrently(len(policies), func(i int) {
		results[i] = runLoadTrial(s, policies[i], seed, s.normalDay(obeysRetryAfter), resendCrashingRequest)
	})
	for i, st := range results {
		c := st.crashes
		t.AddRow(policies[i].name, fmt.Sprint(c.replicas), fmt.Sprint(c.brokenStreams), formatSeconds(c.quarantinedAfter), fmt.Sprint(c.refused), fmt.Sprint(c.othersRefused),
			formatPercent(st.ranks[urgent].inTime, st.ranks[urgent].requests), formatPercent(st.ranks[normal].inTime, st.ranks[normal].requests),
			formatPercent(st.ranks[background].served, st.ranks[background].requests), fmt.Sprintf("%.1f", 100*st.utilisation()))
	}
	return t
}
