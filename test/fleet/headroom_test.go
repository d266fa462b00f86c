package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

const (
	headroomEngines  = 9
	headroomWarmUp   = 30 * time.Second
	headroomDuration = 50 * time.Second
	headroomInterval = 50 * time.Millisecond
	headroomSamples  = 10
	reservedEngines  = 2
	// maxReservedBatch is the maximum mean number of streams on an engine that keeps
	// headroom, minFullBatch the minimum on any other engine.
	maxReservedBatch = 0.75 * floodSlots
	minFullBatch     = 0.85 * floodSlots
)

// streamsPerEngine returns the number of streams that each engine runs.
func (sim *simulation) streamsPerEngine() []int {
	var out []int
	for _, vm := range sim.vms {
		if e := sim.dialer.engines[vm.Address]; e != nil {
			report, err := e.Load(context.Background())
			sim.failures.check(err == nil, "load report of %s: %v", vm.ID, err)
			out = append(out, report.Running)
		}
	}
	return out
}

// In a background flood some of the engines keep half of their slots free for urgent
// work, and the others stay full.
func TestFewEnginesKeepHeadroom(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{
			engines: headroomEngines,
			engine:  standin.EngineOptions{Slots: floodSlots, BaseInterval: 20 * time.Millisecond, PerStream: time.Millisecond},
			edit:    func(c *config.Config) { c.Pools["mallipalvelin"].Slots = floodSlots },
		})
		defer sim.close()
		var wg sync.WaitGroup
		organisations := []string{"virtanen-lahti", "virtanen-kouvola", "kuorot-ry", "kylasihteerit"}
		start := time.Now()
		wg.Go(func() {
			for i := 0; time.Since(start) < headroomDuration; i++ {
				wg.Go(func() {
					sim.post(fmt.Sprintf("entry-%d", 1+i%3), organisations[i%len(organisations)], chatPath, chatBody(fmt.Sprintf("summary %d", i), floodTokens), map[string]string{"X-Rank": "background"})
				})
				sim.sleep(headroomInterval)
			}
		})
		wg.Go(func() {
			for time.Since(start) < headroomDuration {
				a := sim.post("entry-2", "museobussit", chatPath, chatBody("when does the bus leave?", 1), map[string]string{"X-Rank": "urgent"})
				f.check(a.status == http.StatusOK, "urgent answer: %+v", a)
				sim.sleep(urgentInterval)
			}
		})
		sim.sleep(headroomWarmUp)
		sums := make([]int, headroomEngines)
		for range headroomSamples {
			sim.sleep(time.Second)
			for i, n := range sim.streamsPerEngine() {
				sums[i] += n
			}
		}
		reserved, full := 0, 0
		for _, sum := range sums {
			switch mean := float64(sum) / headroomSamples; {
			case mean <= maxReservedBatch:
				reserved++
			case mean >= minFullBatch:
				full++
			}
		}
		f.check(reserved == reservedEngines && full == headroomEngines-reservedEngines, "the engines ran %v streams in %d samples", sums, headroomSamples)
		wg.Wait()
	})
}
