package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGate measures one request at a busy gate: offer, grant, release.
func BenchmarkGate(b *testing.B) {
	for _, organisations := range []int{10, 300} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			g := NewGate(GateOptions{Ranks: testRanks, Slots: 64, Memory: 600_000, Interval: 40 * time.Millisecond, Reserve: 1, LowUseShare: 0.7, FairPause: true})
			now := time.Unix(1000, 0)
			var running []string
			names := make([]string, organisations)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			ids := make([]string, 4096)
			for i := range ids {
				ids[i] = fmt.Sprint("work-", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				w := &Work{ID: ids[i%len(ids)], Organisation: names[i%organisations], Rank: i % 3, Tokens: 300, Memory: 900, Pausable: true, Arrived: now, Deadline: now.Add(time.Minute)}
				g.Offer(now, w, true)
				for w := g.Grant(now); w != nil; w = g.Grant(now) {
					running = append(running, w.ID)
				}
				g.TakeVictim(now)
				if len(running) >= 60 {
					g.Release(now, running[0], Usage{Tokens: 300, IsComplete: true, TokenInterval: 20 * time.Millisecond})
					running = running[1:]
				}
			}
		})
	}
}

// BenchmarkFloodedGate measures one request at a gate with long queues and
// pauses: offer, review of the waiting work, grant, release.
func BenchmarkFloodedGate(b *testing.B) {
	for _, organisations := range []int{10, 300} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			g := NewGate(GateOptions{Ranks: testRanks, Slots: 64, Memory: 600_000, Interval: 40 * time.Millisecond, Reserve: 1, LowUseShare: 0.7, FairPause: true})
			now := time.Unix(1000, 0)
			var running []string
			names, nodes := make([]string, organisations), make([]string, 18)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			for i := range nodes {
				nodes[i] = fmt.Sprint("entry-", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(20 * time.Millisecond)
				g.Offer(now, &Work{
					ID: fmt.Sprint(i), Organisation: names[i*7%organisations], Rank: i % 3, Tokens: 300, Memory: 900, Pausable: true, Fingerprint: uint64(i),
					Arrived: now, Deadline: now.Add(time.Minute), Node: nodes[i%len(nodes)], Used: i % 5000,
				}, true)
				for w, _ := g.RefuseLate(now); w != nil; w, _ = g.RefuseLate(now) {
				}
				for w := g.Grant(now); w != nil; w = g.Grant(now) {
					running = append(running, w.ID)
				}
				g.TakeVictim(now)
				if i%3 == 0 && len(running) > 0 {
					g.Release(now, running[0], Usage{Tokens: 300, IsComplete: true, TokenInterval: 20 * time.Millisecond})
					running = running[1:]
				}
			}
			b.ReportMetric(float64(g.Waiting()), "waiting")
		})
	}
}
