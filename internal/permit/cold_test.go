package permit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// coldBound is what a cold server that tolerates 10 requests in a second may get in any
// second: 10 x 1.5 + 5.
const coldBound = 20

// mostInSecond returns the largest number of arrivals within a second.
func (f *simFleet) mostInSecond() int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A server that comes back cold is the least loaded, so all nodes want to send to it at
// once. Guards against more requests in a second than it bears, also after half of the
// nodes and the coordinator were lost, and while the fleet is divided into data centres.
func TestColdServerIsNotOverrunByFleet(t *testing.T) {
	disturbances := map[string]func(f *simFleet){
		"none": func(*simFleet) {},
		"half and the coordinator lost": func(f *simFleet) {
			f.node(f.nodes[0].roster.Coordinator()).isRunning = false
			for i := range len(f.nodes) / 2 {
				f.nodes[2*i].isRunning = false
			}
		},
		"half cut off": func(f *simFleet) {
			for i := range len(f.nodes) / 2 {
				f.nodes[2*i].part = 1
			}
		},
		"divided into three": func(f *simFleet) {
			for i, n := range f.nodes {
				n.part = i % 3
			}
		},
	}
	for name, disturb := range disturbances {
		for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				is, f := is.New(t), newSimFleet(seed, 69, 10)
				f.isCold = true
				f.run(10*time.Second, 300)
				began := f.now
				f.run(5*time.Second, 300)
				is.True(f.since(began) > 0.9*f.limit) // the server's permits are used
				for range 3 {
					f.run(2*time.Second, 0) // what is saved up meanwhile is used at once
					f.run(2*time.Second, 300)
				}
				disturb(f)
				f.run(15*time.Second, 300)
				f.run(2*time.Second, 0)
				f.run(3*time.Second, 300)
				t.Logf("at most %d in a second", f.mostInSecond())
				is.True(f.mostInSecond() <= coldBound)
			})
		}
	}
}
