package measure

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
)

// singleLaneOrder keeps the router's rank order and floors, but queues all
// organisations of a rank in one lane, by deadline or by arrival.
type singleLaneOrder struct {
	*admission.Queue
	byArrival bool
}

var _ admission.Order = (*singleLaneOrder)(nil)

func newDeadlineOrder(ranks []admission.RankPolicy) admission.Order {
	return &singleLaneOrder{Queue: admission.NewQueue(rankFloors(ranks))}
}

func newArrivalOrder(ranks []admission.RankPolicy) admission.Order {
	return &singleLaneOrder{Queue: admission.NewQueue(rankFloors(ranks)), byArrival: true}
}

func rankFloors(ranks []admission.RankPolicy) []float64 {
	out := make([]float64, len(ranks))
	for i, r := range ranks {
		out[i] = r.Floor
	}
	return out
}

// Push implements admission.Order.
func (o *singleLaneOrder) Push(w *admission.Work) {
	w.Organisation = ""
	if o.byArrival {
		w.Deadline = w.Arrived.Add(rankWorkloads[w.Rank].deadline)
	}
	o.Queue.Push(w)
}

// deficitRoundRobin serves organisations by deficit round robin, with the
// router's rank order and floors.
type deficitRoundRobin struct {
	listOrder
	floors       []float64
	servedTokens []float64
	deficit      map[string]float64
}

// roundQuantum is the number of tokens that each organisation may spend in a
// round.
const roundQuantum = 300.0

var _ admission.Order = (*deficitRoundRobin)(nil)

func newDeficitRoundRobin(ranks []admission.RankPolicy) admission.Order {
	return &deficitRoundRobin{listOrder: listOrder{byRank: true}, floors: rankFloors(ranks), servedTokens: make([]float64, len(ranks)), deficit: map[string]float64{}}
}

// Next implements admission.Order.
func (o *deficitRoundRobin) Next(now time.Time, allowed func(rank int) bool) *admission.Work {
	rank := o.nextRank(allowed)
	if rank < 0 {
		return nil
	}
	for {
		for _, w := range o.list {
			if w.Rank == rank && o.deficit[w.Organisation] >= float64(w.Tokens) {
				return w
			}
		}
		credited := map[string]bool{}
		for _, w := range o.list {
			if w.Rank == rank && !credited[w.Organisation] {
				credited[w.Organisation] = true
				o.deficit[w.Organisation] += roundQuantum
			}
		}
	}
}

// nextRank returns the first rank below its floor, else the most urgent one
// with allowed work, or -1.
func (o *deficitRoundRobin) nextRank(allowed func(rank int) bool) int {
	total, mostUrgent := 0.0, -1
	for _, s := range o.servedTokens {
		total += s
	}
	for r := range o.floors {
		if o.Waiting(r) == 0 || !allowed(r) {
			continue
		}
		if o.floors[r] > 0 && o.servedTokens[r] < o.floors[r]*total {
			return r
		}
		if mostUrgent < 0 {
			mostUrgent = r
		}
	}
	return mostUrgent
}

// servedDecayPerTake is the factor by which each Take decays the served tokens,
// so that floors follow recent work.
const servedDecayPerTake = 0.98

// Take implements admission.Order.
func (o *deficitRoundRobin) Take(_ time.Time, w *admission.Work) {
	o.Remove(w.ID)
	o.deficit[w.Organisation] -= float64(w.Tokens)
	for r := range o.servedTokens {
		o.servedTokens[r] *= servedDecayPerTake
	}
	o.servedTokens[w.Rank] += float64(w.Tokens)
	for _, other := range o.list {
		if other.Organisation == w.Organisation && other.Rank == w.Rank {
			return
		}
	}
	delete(o.deficit, w.Organisation)
}
