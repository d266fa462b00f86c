package measure

import (
	"container/heap"
	"time"
)

// epoch is the start time of each trial.
var epoch = time.Unix(1_700_000_000, 0)

// event is an action scheduled for a simulated time.
type event struct {
	at     time.Time
	seq    uint64
	action func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// events is the discrete-event loop of a trial.
type events struct {
	now  time.Time
	seq  uint64
	heap eventHeap
}

func newEvents() *events { return &events{now: epoch} }

// after schedules an action; actions of the same time run in the order of
// scheduling.
func (e *events) after(d time.Duration, action func()) {
	e.seq++
	heap.Push(&e.heap, event{at: e.now.Add(max(d, 0)), seq: e.seq, action: action})
}

// run executes the events up to and including the given time.
func (e *events) run(until time.Time) {
	for len(e.heap) > 0 && !e.heap[0].at.After(until) {
		next := heap.Pop(&e.heap).(event)
		e.now = next.at
		next.action()
	}
	e.now = until
}
