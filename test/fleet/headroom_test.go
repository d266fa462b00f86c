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
	roomEngines  = 9
	roomWarmUp   = 30 * time.Second
	roomLength   = 50 * time.Second
	roomEvery    = 50 * time.Millisecond
	roomSamples  = 10
	roomyEngines = 2
	// roomyBatch is the most that runs in the mean where headroom is kept,
	// fullBatch the least that does elsewhere.
	roomyBatch = 0.75 * floodSlots
	fullBatch  = 0.85 * floodSlots
)

// batches returns how many streams each engine runs.
func (w *world) batches() []int {
	var out []int
	for _, vm := range w.vms {
		if e := w.dialer.engines[vm.Address]; e != nil {
			report, err := e.Load(context.Background())
			w.faults.check(err == nil, "load of %s: %v", vm.ID, err)
			out = append(out, report.Running)
		}
	}
	return out
}

// In a background flood a part of the engines keeps half of its slots for
// urgent work, and the rest stays full.
func TestFewEnginesKeepRoom(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{
			engines: roomEngines,
			engine:  standin.EngineOptions{Slots: floodSlots, BaseInterval: 20 * time.Millisecond, PerStream: time.Millisecond},
			edit:    func(c *config.Config) { c.Pools["mallipalvelin"].Slots = floodSlots },
		})
		defer w.close()
		var wg sync.WaitGroup
		organisations := []string{"virtanen-lahti", "virtanen-kouvola", "kuorot-ry", "kylasihteerit"}
		start := time.Now()
		wg.Go(func() {
			for i := 0; time.Since(start) < roomLength; i++ {
				wg.Go(func() {
					w.post(fmt.Sprintf("entry-%d", 1+i%3), organisations[i%len(organisations)], chatPath, chatBody(fmt.Sprintf("summary %d", i), floodTokens), map[string]string{"X-Rank": "background"})
				})
				w.sleep(roomEvery)
			}
		})
		wg.Go(func() {
			for time.Since(start) < roomLength {
				a := w.post("entry-2", "museobussit", chatPath, chatBody("when does the bus leave?", 1), map[string]string{"X-Rank": "urgent"})
				f.check(a.status == http.StatusOK, "urgent: %+v", a)
				w.sleep(urgentEvery)
			}
		})
		w.sleep(roomWarmUp)
		sums := make([]int, roomEngines)
		for range roomSamples {
			w.sleep(time.Second)
			for i, n := range w.batches() {
				sums[i] += n
			}
		}
		roomy, full := 0, 0
		for _, sum := range sums {
			switch mean := float64(sum) / roomSamples; {
			case mean <= roomyBatch:
				roomy++
			case mean >= fullBatch:
				full++
			}
		}
		f.check(roomy == roomyEngines && full == roomEngines-roomyEngines, "the engines ran %v streams in %d samples", sums, roomSamples)
		wg.Wait()
	})
}
