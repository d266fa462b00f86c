package admission

import (
	"container/heap"
	"time"
)

// sweepEvery is the number of charges between two sweeps of idle accounts.
const sweepEvery = 256

// account counts the tokens that one organisation was served over all ranks.
// Its work waits in one lane per rank.
type account struct {
	virtual float64 // tokens served, divided by the weight
	usage   usage
	weight  float64
	lanes   []*lane
	waiting int
}

// laneHeap orders the lanes with waiting work by the virtual counters of their
// organisations, the lowest first.
type laneHeap []*lane

func (h laneHeap) Len() int { return len(h) }

func (h laneHeap) Less(i, j int) bool {
	if h[i].account.virtual != h[j].account.virtual {
		return h[i].account.virtual < h[j].account.virtual
	}
	return h[i].name < h[j].name
}

func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.heapIndex = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return l
}

// accounts schedules organisations by virtual token counters: within a rank,
// the organisation that was served least over all ranks goes first. The counter
// of an organisation that was idle is raised to the lowest one in use, so that
// idle time earns no credit.
type accounts struct {
	byName  map[string]*account
	active  []laneHeap // by rank
	level   float64    // highest value that the lowest counter has reached
	weights float64
	charges int
	total   usage
	fleet   fleetUsage
}

func newAccounts(ranks int) accounts {
	return accounts{byName: map[string]*account{}, active: make([]laneHeap, ranks), fleet: newFleetUsage()}
}

// leastServed returns the lowest virtual counter among the organisations with
// waiting work, or level if none waits.
func (s *accounts) leastServed() float64 {
	out, found := s.level, false
	for _, h := range s.active {
		if len(h) > 0 && (!found || h[0].account.virtual < out) {
			out, found = h[0].account.virtual, true
		}
	}
	return out
}

func (s *accounts) push(w *Work, rank int) {
	a := s.byName[w.Organisation]
	if a == nil {
		a = &account{lanes: make([]*lane, len(s.active)), weight: weight(w)}
		s.byName[w.Organisation] = a
		s.weights += a.weight
	}
	if a.waiting == 0 {
		a.virtual = max(a.virtual, s.leastServed())
	}
	l := a.lanes[rank]
	if l == nil {
		l = &lane{account: a, name: w.Organisation}
		a.lanes[rank] = l
	}
	if l.count == 0 {
		heap.Push(&s.active[rank], l)
	}
	l.push(w)
	a.waiting++
}

// next returns the first work of the rank's organisation served least.
func (s *accounts) next(rank int) *Work { return s.active[rank][0].next() }

// take removes work from its lane and charges its account.
func (s *accounts) take(now time.Time, w *Work, rank int) {
	s.level = max(s.level, s.leastServed())
	a := w.lane.account
	w.lane.charge(w)
	s.drop(w, rank)
	s.charge(a, float64(w.Tokens)/weight(w))
	a.usage.add(now, float64(w.Tokens))
	s.total.add(now, float64(w.Tokens))
	s.charges++
	if s.charges%sweepEvery == 0 {
		s.sweep(now)
	}
}

// drop removes work from its lane without a charge.
func (s *accounts) drop(w *Work, rank int) {
	l := w.lane
	l.drop(w)
	l.account.waiting--
	if l.count == 0 {
		heap.Remove(&s.active[rank], l.heapIndex)
	}
}

// charge adds to the virtual counter of an organisation.
func (s *accounts) charge(a *account, virtual float64) {
	a.virtual += virtual
	for rank, l := range a.lanes {
		if l != nil && l.count > 0 {
			heap.Fix(&s.active[rank], l.heapIndex)
		}
	}
}

// correct adjusts the charge of the work's organisation, in tokens divided by
// its weight.
func (s *accounts) correct(w *Work, diff float64) {
	if a := s.byName[w.Organisation]; a != nil {
		s.charge(a, diff)
		a.usage.tokens = max(a.usage.tokens+diff*weight(w), 0)
		s.total.tokens = max(s.total.tokens+diff*weight(w), 0)
	}
}

// virtualStart returns the virtual counter that the organisation of new work
// will have reached when the work starts.
func (s *accounts) virtualStart(w *Work, rank int) float64 {
	a := s.byName[w.Organisation]
	if a == nil {
		return s.leastServed()
	}
	virtual := a.virtual
	if a.waiting == 0 {
		virtual = max(virtual, s.leastServed())
	}
	if l := a.lanes[rank]; l != nil {
		virtual += float64(l.tokens) / weight(w)
	}
	return virtual
}

// isProtected reports whether waiting work may no longer be refused in favour
// of new work: its answer has begun, it is a booked retry, or it arrived before
// the given time.
func (w *Work) isProtected(before time.Time) bool {
	return w.Resumed || w.isBookedRetry || w.Arrived.Before(before)
}

// evictable returns the last work of the lane that is served latest, if new
// work is served before it; else work of another caller of the new work's
// organisation, or nil. It never returns protected work.
func (s *accounts) evictable(w *Work, rank int, before time.Time) *Work {
	var out *Work
	latest := s.virtualStart(w, rank)
	for _, l := range s.active[rank] {
		last, start := l.last()
		if l.name != w.Organisation && start > latest && !last.isProtected(before) {
			latest, out = start, last
		}
	}
	if a := s.byName[w.Organisation]; out == nil && a != nil && a.lanes[rank] != nil {
		return a.lanes[rank].evictable(w, before)
	}
	return out
}

// tokensAheadOfNew returns the tokens that are served before new work.
func (s *accounts) tokensAheadOfNew(w *Work, rank int) float64 {
	start := s.virtualStart(w, rank)
	total := 0.0
	for _, l := range s.active[rank] {
		gap := (start - l.account.virtual) * l.weight
		total += min(float64(l.tokens), max(gap, 0))
	}
	return total
}

// tokensAheadOf returns the tokens that are served before waiting work.
func (s *accounts) tokensAheadOf(w *Work, rank int) float64 {
	inLane := w.lane.tokensAheadOf(w)
	start := w.lane.account.virtual + inLane/weight(w)
	total := inLane
	for _, l := range s.active[rank] {
		if l != w.lane {
			gap := (start - l.account.virtual) * l.weight
			total += min(float64(l.tokens), max(gap, 0))
		}
	}
	return total
}

// isLowUse reports whether the work's organisation recently used less than the
// given part of its fair share. It counts the use in the whole fleet as far as
// nodes reported it, else the use of this replica.
func (s *accounts) isLowUse(now time.Time, w *Work, part float64) bool {
	if used, fair, ok := s.fleet.share(now, w); ok {
		return used < part*fair
	}
	a := s.byName[w.Organisation]
	if a == nil {
		return true
	}
	fair := s.total.valueAt(now) * a.weight / s.weights
	return a.usage.valueAt(now) < part*fair
}

// sweep deletes idle accounts whose counters would be raised to the level
// anyway.
func (s *accounts) sweep(now time.Time) {
	for name, a := range s.byName {
		if a.waiting == 0 && a.virtual <= s.level && now.Sub(a.usage.updatedAt) > usageDecayTime {
			delete(s.byName, name)
			s.weights -= a.weight
		}
	}
}
