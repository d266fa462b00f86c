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
	floodSlots  = 8
	floodEvery  = 80 * time.Millisecond
	floodLength = 40 * time.Second
	floodTokens = 400
	urgentEvery = 500 * time.Millisecond
)

// tally counts what the callers of a flood got.
type tally struct {
	mu      sync.Mutex
	served  int      // guarded by mu
	refused []answer // guarded by mu
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.status == http.StatusOK {
		t.served++
		return
	}
	t.refused = append(t.refused, a)
}

// floodWorld has three engines of few slots.
func floodWorld(f *faults) *world {
	return newWorld(f, worldOptions{
		engine: standin.EngineOptions{Slots: floodSlots, BaseInterval: 20 * time.Millisecond, PerStream: time.Millisecond},
		edit:   func(c *config.Config) { c.Pools["mallipalvelin"].Slots = floodSlots },
	})
}

// A flood of background work, several times what the engines can take: urgent
// work gets its answer within its target, the engines stay busy, and refusals
// come long before the deadline, say that nothing ran and when to come back; a
// caller that obeys is served.
func TestBackgroundFlood(t *testing.T) {
	virtual(t, func(f *faults) {
		w := floodWorld(f)
		defer w.close()
		got := &tally{}
		var wg sync.WaitGroup
		organisations := []string{"virtanen-lahti", "virtanen-kouvola", "kuorot-ry", "kylasihteerit"}
		start := time.Now()
		wg.Go(func() {
			for i := 0; time.Since(start) < floodLength; i++ {
				wg.Go(func() {
					sent := time.Now()
					a := w.post(fmt.Sprintf("entry-%d", 1+i%3), organisations[i%len(organisations)], chatPath, chatBody(fmt.Sprintf("summary %d", i), floodTokens), map[string]string{"X-Rank": "background"})
					got.add(a)
					if a.status != http.StatusOK {
						f.check(time.Since(sent) <= w.config.Ranks["background"].FirstToken.Std(), "a refusal took %s", time.Since(sent))
					}
				})
				w.sleep(floodEvery)
			}
		})
		for w.sleep(floodLength / 4); time.Since(start) < floodLength; w.sleep(urgentEvery) {
			sent := time.Now()
			a := w.post("entry-2", "museobussit", chatPath, chatBody("when does the bus leave?", 1), map[string]string{"X-Rank": "urgent"})
			f.check(a.status == http.StatusOK, "urgent: %+v", a)
			f.check(time.Since(sent) <= w.config.Ranks["urgent"].FirstToken.Std(), "an urgent answer took %s", time.Since(sent))
		}
		wg.Wait()
		f.check(got.served > 0 && len(got.refused) > 0, "%d were served, %d refused", got.served, len(got.refused))
		for _, a := range got.refused {
			after, err := strconv.Atoi(a.header.Get("Retry-After"))
			f.check(err == nil && after > 0, "a refusal has Retry-After %q", a.header.Get("Retry-After"))
			f.check(strings.Contains(a.body, `"ran":"no"`), "a refusal says %s", a.body)
		}
	})
}

// Callers that were refused in a burst and come back when told are served.
func TestRefusedCallersComeBack(t *testing.T) {
	virtual(t, func(f *faults) {
		w := floodWorld(f)
		defer w.close()
		var wg sync.WaitGroup
		refused := &tally{}
		for i := range 120 {
			wg.Go(func() {
				header := map[string]string{"X-Rank": "background", "X-Deadline-Ms": "15000"}
				body := chatBody(fmt.Sprintf("summary %d", i), floodTokens)
				a := w.post("entry-1", org, chatPath, body, header)
				if a.status == http.StatusOK {
					return
				}
				refused.add(a)
				after, err := strconv.Atoi(a.header.Get("Retry-After"))
				f.check(err == nil, "a refusal has Retry-After %q", a.header.Get("Retry-After"))
				w.sleep(time.Duration(after) * time.Second)
				again := w.post("entry-1", org, chatPath, body, header)
				f.check(again.status == http.StatusOK, "caller %d came back after %d s and got %+v", i, after, again)
			})
		}
		wg.Wait()
		f.check(len(refused.refused) > 0, "nothing was refused")
	})
}
