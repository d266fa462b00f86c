package dispatch

import (
	"testing"
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
}
