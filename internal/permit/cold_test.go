package permit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A server that comes back cold is the least loaded, so all nodes want to send to it at
// once. Guards against more requests in any second than it bears, 10 x 1.5 + 5, also after
// half of the nodes and the coordinator were lost, and while the fleet is divided.
func TestColdServerIsNotOverrunByFleet(t *testing.T) {
	for name, disturb := range map[string]func(f *simFleet, i int){
		"none": func(*simFleet, int) {},
		"half and the coordinator lost": func(f *simFleet, i int) {
			f.nodes[i].isRunning = i%2 == 0 && f.nodes[i].roster.Coordinator() != f.nodes[i].address
		},
		"half cut off":       func(f *simFleet, i int) { f.nodes[i].part = i % 2 },
		"divided into three": func(f *simFleet, i int) { f.nodes[i].part, f.reachesStore[2] = i%3, true },
	} {
		for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				is, f, most, first := is.New(t), newSimFleet(seed, 69, 10), 0, 0
				f.isCold = true
				f.run(10*time.Second, 300)
				began := f.now
				f.run(5*time.Second, 300)
				is.True(f.since(began) > 0.9*f.limit) // the server's permits are used
				for i := range f.nodes {
					disturb(f, i)
				}
				f.run(15*time.Second, 300)
				f.run(4*time.Second, 0) // what is saved up meanwhile is used at once
				f.run(3*time.Second, 300)
				for i, at := range f.arrivals {
					for at.Sub(f.arrivals[first]) >= time.Second {
						first++
					}
					most = max(most, i-first+1)
				}
				t.Logf("at most %d in a second", most)
				is.True(most <= 20)
			})
		}
	}
}
