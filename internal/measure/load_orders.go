package measure

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
)

// oneLane keeps the router's rank order and floors, but one lane a rank.
type oneLane struct {
	*admission.Queue
	byArrival bool
}

var _ admission.Order = (*oneLane)(nil)

func newDeadline(ranks []admission.RankPolicy) admission.Order {
	return &oneLane{Queue: admission.NewQueue(floorsOf(ranks))}
}

func newArrival(ranks []admission.RankPolicy) admission.Order {
	return &oneLane{Queue: admission.NewQueue(floorsOf(ranks)), byArrival: true}
}

func floorsOf(ranks []admission.RankPolicy) []float64 {
	out := make([]float64, len(ranks))
	for i, r := range ranks {
		out[i] = r.Floor
	}
	return out
}

// Push implements admission.Order.
func (o *oneLane) Push(w *admission.Work) {
	w.Organisation = ""
	if o.byArrival {
		w.Deadline = w.Arrived.Add(kinds[w.Rank].deadline)
	}
	o.Queue.Push(w)
}

// roundRobin serves organisations by deficit round robin, with the router's
// rank order and floors.
type roundRobin struct {
	listOrder
	floors  []float64
	served  []float64
	deficit map[string]float64
}

// quantum is what each organisation may spend in a round, in tokens.
const quantum = 300.0

var _ admission.Order = (*roundRobin)(nil)

func newRoundRobin(ranks []admission.RankPolicy) admission.Order {
	return &roundRobin{listOrder: listOrder{byRank: true}, floors: floorsOf(ranks), served: make([]float64, len(ranks)), deficit: map[string]float64{}}
}

// Next implements admission.Order.
func (o *roundRobin) Next(now time.Time, allowed func(rank int) bool) *admission.Work {
	rank := o.rank(allowed)
	if rank < 0 {
		return nil
	}
	for {
		for _, w := range o.list {
			if w.Rank == rank && o.deficit[w.Organisation] >= float64(w.Tokens) {
				return w
			}
		}
		seen := map[string]bool{}
		for _, w := range o.list {
			if w.Rank == rank && !seen[w.Organisation] {
				seen[w.Organisation] = true
				o.deficit[w.Organisation] += quantum
			}
		}
	}
}

// rank is the first rank below its floor, else the most urgent.
func (o *roundRobin) rank(allowed func(rank int) bool) int {
	total, first := 0.0, -1
	for _, s := range o.served {
		total += s
	}
	for r := range o.floors {
		if o.Waiting(r) == 0 || !allowed(r) {
			continue
		}
		if o.floors[r] > 0 && o.served[r] < o.floors[r]*total {
			return r
		}
		if first < 0 {
			first = r
		}
	}
	return first
}

// fadePerTake lets the served shares fade.
const fadePerTake = 0.98

// Take implements admission.Order.
func (o *roundRobin) Take(_ time.Time, w *admission.Work) {
	o.Remove(w.ID)
	o.deficit[w.Organisation] -= float64(w.Tokens)
	for r := range o.served {
		o.served[r] *= fadePerTake
	}
	o.served[w.Rank] += float64(w.Tokens)
	for _, other := range o.list {
		if other.Organisation == w.Organisation && other.Rank == w.Rank {
			return
		}
	}
	delete(o.deficit, w.Organisation)
}
