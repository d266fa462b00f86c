package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
)

func init() {
	registerScenario(Scenario{Name: "order", Description: "one slot, background work at 3 times its capacity: waits by rank, queue against first-in-first-out", Run: runOrder})
}

const (
	orderRequests    = 2000
	orderServiceTime = 100 * time.Millisecond
	orderRanks       = 3
)

// runOrder serves the same arrivals through the router's queue and in order of
// arrival.
func runOrder(seed uint64) *Table {
	t := &Table{Columns: []string{"urgent p95 wait s", "normal p95 wait s", "background p95 wait s"}}
	for _, policy := range []string{"first-in-first-out", "ranks with floors"} {
		waits := orderWaits(seed, policy == "first-in-first-out")
		t.AddRow(policy, formatP95(waits[0]), formatP95(waits[1]), formatP95(waits[2]))
	}
	return t
}

func formatP95(waits []time.Duration) string {
	if len(waits) == 0 {
		return "-"
	}
	slices.Sort(waits)
	return fmt.Sprintf("%.3f", waits[len(waits)*95/100].Seconds())
}

func orderWaits(seed uint64, isFIFO bool) [orderRanks][]time.Duration {
	rng := rand.New(rand.NewPCG(seed, 1))
	queue := admission.NewQueue([]float64{0, 0.15, 0.05})
	var waits [orderRanks][]time.Duration
	now, arrival := time.Unix(0, 0), time.Unix(0, 0)
	ranks := map[string]int{}
	for i := 0; i < orderRequests || queue.Len() > 0; {
		for i < orderRequests && (!arrival.After(now) || queue.Len() == 0) {
			rank := []int{0, 1, 2, 2, 2, 2, 2, 2, 2, 2}[rng.IntN(10)]
			id := fmt.Sprint(i)
			ranks[id] = rank
			work := &admission.Work{ID: id, Organisation: fmt.Sprint(rng.IntN(10)), Rank: rank, Tokens: 100, Arrived: arrival, Deadline: arrival.Add(time.Hour)}
			if isFIFO {
				work.Rank, work.Organisation = 0, ""
			}
			queue.Push(work)
			now = laterTime(now, arrival)
			arrival = arrival.Add(time.Duration(rng.ExpFloat64() * float64(orderServiceTime) / 3))
			i++
		}
		work := queue.Pop(now)
		waits[ranks[work.ID]] = append(waits[ranks[work.ID]], now.Sub(work.Arrived))
		now = now.Add(orderServiceTime)
	}
	return waits
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
