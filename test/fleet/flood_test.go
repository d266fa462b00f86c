package fleet

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

const (
	floodSlots     = 8
	floodInterval  = 80 * time.Millisecond
	floodDuration  = 40 * time.Second
	floodTokens    = 400
	urgentInterval = 500 * time.Millisecond
)

// floodResults counts the answers to the callers of a flood.
type floodResults struct {
	mu      sync.Mutex
	served  int      // guarded by mu
	refused []answer // guarded by mu
}

// add counts an answer.
func (r *floodResults) add(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.status == http.StatusOK {
		r.served++
		return
	}
	r.refused = append(r.refused, a)
}

// newFloodSimulation starts three engines with few slots.
func newFloodSimulation(f *failures) *simulation {
	return newSimulation(f, simulationOptions{
		engine: standin.EngineOptions{Slots: floodSlots, BaseInterval: 20 * time.Millisecond, PerStream: time.Millisecond},
		edit:   func(c *config.Config) { c.Pools["mallipalvelin"].Slots = floodSlots },
	})
}

// Background work arrives at several times the capacity of the engines. Urgent work is
// answered within its target. Background refusals come long before the deadline, and
// say that nothing ran and when to retry.
func TestBackgroundFlood(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newFloodSimulation(f)
		defer sim.close()
		results := &floodResults{}
		var wg sync.WaitGroup
		organisations := []string{"virtanen-lahti", "virtanen-kouvola", "kuorot-ry", "kylasihteerit"}
		start := time.Now()
		wg.Go(func() {
			for i := 0; time.Since(start) < floodDuration; i++ {
				wg.Go(func() {
					sent := time.Now()
					a := sim.post(fmt.Sprintf("entry-%d", 1+i%3), organisations[i%len(organisations)], chatPath, chatBody(fmt.Sprintf("summary %d", i), floodTokens), map[string]string{"X-Rank": "background"})
					results.add(a)
					if a.status != http.StatusOK {
						f.check(time.Since(sent) <= sim.config.Ranks["background"].FirstToken.Std(), "a refusal took %s", time.Since(sent))
					}
				})
				sim.sleep(floodInterval)
			}
		})
		for sim.sleep(floodDuration / 4); time.Since(start) < floodDuration; sim.sleep(urgentInterval) {
			sent := time.Now()
			a := sim.post("entry-2", "museobussit", chatPath, chatBody("when does the bus leave?", 1), map[string]string{"X-Rank": "urgent"})
			f.check(a.status == http.StatusOK, "urgent answer: %+v", a)
			f.check(time.Since(sent) <= sim.config.Ranks["urgent"].FirstToken.Std(), "an urgent answer took %s", time.Since(sent))
		}
		wg.Wait()
		f.check(results.served > 0 && len(results.refused) > 0, "%d were served, %d refused", results.served, len(results.refused))
		for _, a := range results.refused {
			retryAfter, err := strconv.Atoi(a.header.Get("Retry-After"))
			f.check(err == nil && retryAfter > 0, "a refusal has Retry-After %q", a.header.Get("Retry-After"))
			f.check(strings.Contains(a.body, `"ran":"no"`), "the body of a refusal is %s", a.body)
		}
	})
}

// Callers are refused in a burst. Those that retry after the time given are served.
func TestRefusedCallersAreServedOnRetry(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newFloodSimulation(f)
		defer sim.close()
		var wg sync.WaitGroup
		refused := &floodResults{}
		for i := range 120 {
			wg.Go(func() {
				header := map[string]string{"X-Rank": "background", "X-Deadline-Ms": "15000"}
				body := chatBody(fmt.Sprintf("summary %d", i), floodTokens)
				a := sim.post("entry-1", org, chatPath, body, header)
				if a.status == http.StatusOK {
					return
				}
				refused.add(a)
				retryAfter, err := strconv.Atoi(a.header.Get("Retry-After"))
				f.check(err == nil, "a refusal has Retry-After %q", a.header.Get("Retry-After"))
				sim.sleep(time.Duration(retryAfter) * time.Second)
				again := sim.post("entry-1", org, chatPath, body, header)
				f.check(again.status == http.StatusOK, "caller %d retried after %d s and got %+v", i, retryAfter, again)
			})
		}
		wg.Wait()
		f.check(len(refused.refused) > 0, "nothing was refused")
	})
}
