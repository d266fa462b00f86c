package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/admission"
	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/permit"
)

// The limit of a replica follows its answers to probes. A malformed one changes nothing
// and is reported once.
func TestReplicaLimitFollowsProbes(t *testing.T) {
	is := is.New(t)
	r := &replica{limitShare: 1, gate: admission.NewGate(admission.GateOptions{Slots: 4})}
	now := time.Unix(1000, 0)
	rate := func(v float64) *float64 { return &v }
	malformed := errors.New("malformed")
	for _, step := range []struct {
		report     backend.LoadReport
		want       float64
		isReported bool
	}{
		{backend.LoadReport{}, 0, false},
		{backend.LoadReport{Limit: rate(5)}, 5, true},
		{backend.LoadReport{Limit: rate(5)}, 5, false},
		{backend.LoadReport{LimitError: malformed}, 5, true},
		{backend.LoadReport{LimitError: malformed}, 5, false},
		{backend.LoadReport{Limit: rate(2), LimitError: malformed}, 2, true},
		{backend.LoadReport{Limit: rate(0)}, permit.MinRate, true},
		{backend.LoadReport{}, 0, true},
	} {
		_, isReported := r.applyLimit(step.report, now)
		is.Equal(r.gate.RateLimit(), step.want)
		is.Equal(isReported, step.isReported)
	}
}

// Probes count against a replica's limit and take a small part of it.
func TestProbesAreSparseUnderLimit(t *testing.T) {
	is := is.New(t)
	r := &replica{limitShare: 1, gate: admission.NewGate(admission.GateOptions{Slots: 4})}
	now := time.Unix(1000, 0)
	probes := func(duration time.Duration) int {
		n := 0
		for end := now.Add(duration); now.Before(end); now = now.Add(time.Second) {
			if r.isProbeDue(now) {
				n++
			}
		}
		return n
	}
	is.Equal(probes(20*time.Second), 20)
	r.limit = 1.3
	r.applyRate(now)
	n := probes(100 * time.Second)
	is.True(n >= 10 && n <= 13)
	for range 2 {
		r.probedAt = time.Time{}
		is.True(r.isProbeDue(now))
	}
	is.True(r.gate.PredictedWait(now, &admission.Work{}) > 0) // the probes took what was saved up
	r.limit = permit.MinRate
	r.applyRate(now)
	is.True(probes(110*time.Second) >= 5) // the end of the smallest limit is learned as well
}

// A new owner grants nothing under a limit until the one before must have noticed.
func TestNewOwnerWaitsUnderLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	rate := 5.0
	for _, c := range []struct {
		ownedFor time.Duration
		least    time.Duration
	}{{0, limitTakeoverTime}, {limitTakeoverTime - time.Second, time.Second}, {time.Hour, 0}} {
		r := &replica{limitShare: 1, ownedSince: now.Add(-c.ownedFor), gate: admission.NewGate(admission.GateOptions{Slots: 4})}
		r.applyLimit(backend.LoadReport{Limit: &rate}, now)
		wait := r.gate.PredictedWait(now, &admission.Work{})
		is.True(wait >= c.least && wait <= c.least+time.Second)
	}
}

// An inspection after a crash is a request to the server and counts against its limit.
func TestInspectionCountsAgainstLimit(t *testing.T) {
	is := is.New(t)
	o, dialer := newOwnerOfOne(t, NewSuspects())
	r := o.replicas["r"]
	r.limit = 0.5
	r.applyRate(time.Now())
	before := r.gate.PredictedWait(time.Now(), &admission.Work{})
	_, owned := o.Inspect(t.Context(), dialer, "r")
	is.True(owned)
	is.True(r.gate.PredictedWait(time.Now(), &admission.Work{}) > before+time.Second)
}

// Queued work must be granted as soon as the limit allows it, though nothing else happens
// at the replica meanwhile.
func TestQueuedWorkIsGrantedWhenLimitAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := newOwnerOfOne(t, NewSuspects())
		r := o.replicas["r"]
		r.ownedSince = time.Now().Add(-time.Hour)
		r.limit = 2
		r.applyRate(time.Now())
		began := time.Now()
		is.True(acquireFor(o, 1, "a").Granted)
		is.Equal(time.Since(began), 500*time.Millisecond)
	})
}
