package routing

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// The next version answers only while the preferred one has no free slot soon
// and the next one has. No version is added or lost.
func TestOverflow(t *testing.T) {
	is := is.New(t)
	replica := func(target config.Target, wait time.Duration, usable bool) Replica {
		return Replica{Targets: []config.Target{target}, Waits: []time.Duration{wait}, Usable: usable}
	}
	for _, c := range []struct {
		replicas []Replica
		first    config.Target
	}{
		{[]Replica{replica(cheap, 0, true), replica(strong, 0, true)}, cheap},
		{[]Replica{replica(cheap, time.Minute, true), replica(strong, 0, true)}, strong},
		{[]Replica{replica(cheap, 0, false), replica(strong, 0, true)}, strong},
		{[]Replica{replica(cheap, time.Minute, true), replica(strong, time.Hour, true)}, cheap},
		{[]Replica{replica(strong, 0, true)}, strong},
		{nil, cheap},
	} {
		targets := []config.Target{cheap, strong}
		Overflow(NewWaits(c.replicas), targets, 0, time.Second)
		is.Equal(targets[0], c.first)
		is.Equal(len(targets), 2)
	}
	rapid.Check(t, func(t *rapid.T) {
		var replicas []Replica
		for range rapid.IntRange(0, 6).Draw(t, "replicas") {
			replicas = append(replicas, replica(drawTarget(t), time.Duration(rapid.IntRange(0, 3).Draw(t, "wait"))*time.Second, rapid.Bool().Draw(t, "usable")))
		}
		targets := rapid.SliceOfN(rapid.Custom(drawTarget), 0, 4).Draw(t, "targets")
		before := slices.Clone(targets)
		Overflow(NewWaits(replicas), targets, 0, time.Second)
		order := func(a, b config.Target) int {
			if a.String() < b.String() {
				return -1
			}
			return 1
		}
		slices.SortFunc(before, order)
		slices.SortFunc(targets, order)
		if !slices.Equal(before, targets) {
			t.Fatalf("%v became %v", before, targets)
		}
	})
}

// BenchmarkOverflow checks a full fleet of 600 replicas with 8 versions.
func BenchmarkOverflow(b *testing.B) {
	var all []config.Target
	for i := range 8 {
		all = append(all, config.Target{Model: string(rune('a' + i)), Version: "v1"})
	}
	replicas := make([]Replica, 600)
	for i := range replicas {
		replicas[i] = Replica{Targets: all, Usable: true, Waits: []time.Duration{time.Minute}}
	}
	targets := []config.Target{all[6], all[7]}
	waits := NewWaits(replicas)
	b.ReportAllocs()
	for b.Loop() {
		Overflow(waits, targets, 0, time.Second)
	}
}

// BenchmarkNewWaits measures the cost that each new view adds.
func BenchmarkNewWaits(b *testing.B) {
	replicas := make([]Replica, 600)
	for i := range replicas {
		replicas[i] = Replica{Targets: []config.Target{cheap, strong}, Usable: true, Waits: []time.Duration{0, 0, 0}}
	}
	b.ReportAllocs()
	for b.Loop() {
		NewWaits(replicas)
	}
}
