package measure

import (
	"testing"
	"time"
)

// Guards against a part that crashes the few servers of a service for ever because they are
// back soon, and against blaming the parts that come along.
func TestPartThatCrashesQuickServersIsStopped(t *testing.T) {
	for _, q := range []quickServers{
		{nodes: 2, servers: 2, backAfter: 2200 * time.Millisecond, share: 0.6, crashing: 1, hasOneSubject: true},
		{servers: 1, backAfter: 2200 * time.Millisecond, share: 0.1, crashing: 1},
		{servers: 4, backAfter: 2200 * time.Millisecond, share: 0.3, crashing: 1},
		{servers: 12, backAfter: 500 * time.Millisecond, share: 0.6, crashing: 1},
	} {
		for seed := range uint64(testSeeds) {
			s := q.run(seed+testSeed, time.Minute)
			if p := s.parts[0]; p.arrivalsLate > maxLateArrivals || p.convicted.IsZero() || len(s.soundConvicted) > 0 {
				t.Errorf("%v, seed %d: %d crashes, %d late arrivals, convicted at %v, sound parts convicted: %v", q, seed+testSeed, p.crashes, p.arrivalsLate, p.convicted, s.soundConvicted)
			}
		}
	}
}

// Guards against verdicts on sound parts where the few servers of a service crash by themselves
// and are back soon.
func TestQuickServersThatCrashByThemselvesConvictNoPart(t *testing.T) {
	for _, servers := range []int{1, 2, 4} {
		for _, backAfter := range []time.Duration{2200 * time.Millisecond, 8 * time.Second} {
			for _, upTime := range []time.Duration{2 * time.Second, 5 * time.Second} {
				q := quickServers{servers: servers, backAfter: backAfter, upTime: upTime}
				for seed := range uint64(testSeeds) {
					if s := q.run(seed+testSeed, time.Minute); len(s.soundConvicted) > 0 {
						t.Errorf("%v, seed %d: sound parts convicted: %v", q, seed+testSeed, s.soundConvicted)
					}
				}
			}
		}
	}
}
