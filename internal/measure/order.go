package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
)

func init() {
	register(Scenario{Name: "order", About: "one slot, background work at 3 times its capacity: waits by rank, queue against first-in-first-out", Run: runOrder})
}

const (
	orderRequests = 2000
	orderService  = 100 * time.Millisecond
	orderRanks    = 3
)

// runOrder serves the same arrivals through the queue and through a list.
func runOrder(seed uint64) *Table {
	t := &Table{Columns: []string{"urgent p95 wait s", "normal p95 wait s", "background p95 wait s"}}
	for _, policy := range []string{"first-in-first-out", "ranks with floors"} {
		waits := orderWaits(seed, policy == "first-in-first-out")
		t.Add(policy, p95(waits[0]), p95(waits[1]), p95(waits[2]))
	}
	return t
}

func p95(waits []time.Duration) string {
	if len(waits) == 0 {
		return "-"
	}
	slices.Sort(waits)
	return fmt.Sprintf("%.3f", waits[len(waits)*95/100].Seconds())
}

func orderWaits(seed uint64, flat bool) [orderRanks][]time.Duration {
	rng := rand.New(rand.NewPCG(seed, 1))
	q := admission.NewQueue([]float64{0, 0.15, 0.05})
	var waits [orderRanks][]time.Duration
	now, arrival := time.Unix(0, 0), time.Unix(0, 0)
	ranks := map[string]int{}
	for i := 0; i < orderRequests || q.Len() > 0; {
		for i < orderRequests && (!arrival.After(now) || q.Len() == 0) {
			rank := []int{0, 1, 2, 2, 2, 2, 2, 2, 2, 2}[rng.IntN(10)]
			id := fmt.Sprint(i)
			ranks[id] = rank
			w := &admission.Work{ID: id, Organisation: fmt.Sprint(rng.IntN(10)), Rank: rank, Tokens: 100, Arrived: arrival, Deadline: arrival.Add(time.Hour)}
			if flat {
				w.Rank, w.Organisation = 0, ""
			}
			q.Push(w)
			now = maxTime(now, arrival)
			arrival = arrival.Add(time.Duration(rng.ExpFloat64() * float64(orderService) / 3))
			i++
		}
		w := q.Pop(now)
		waits[ranks[w.ID]] = append(waits[ranks[w.ID]], now.Sub(w.Arrived))
		now = now.Add(orderService)
	}
	return waits
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
