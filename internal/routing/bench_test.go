package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// BenchmarkChooseReplica chooses among replicas for a prompt whose first blocks
// are cached on some of them.
func BenchmarkChooseReplica(b *testing.B) {
	target := config.Target{Model: "m", Version: "v"}
	for _, n := range []int{12, 600} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			replicas := make([]Replica, n)
			index := NewPrefixIndex(1 << 15)
			blocks := make([]uint64, 24)
			for i := range blocks {
				blocks[i] = uint64(i) + 1
			}
			for i := range replicas {
				replicas[i] = Replica{ID: fmt.Sprintf("r%03d", i), DataCentre: fmt.Sprint(i % 9), Targets: []config.Target{target}, Running: i % 64, Limit: 64, Waits: []time.Duration{0, 0, time.Second}, Usable: true}
				index.Add(replicas[i].ID, blocks[:1+i%len(blocks)])
			}
			recent := NewRecentSends()
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(50 * time.Millisecond)
				var cached [MaxCachedPrefixes]CachedPrefix
				chosen := ChooseReplica(replicas, ReplicaRequest{
					Target: target, DataCentre: "3", Rank: i % 3, Draw: uint64(i) * 0x9e3779b97f4a7c15, Choices: DefaultChoices,
					Cached: index.Lookup(cached[:0], blocks), Recent: recent, Now: now,
				})
				recent.Add(now, replicas[chosen].ID)
			}
		})
	}
}
