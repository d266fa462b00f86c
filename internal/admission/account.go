package admission

import (
	"container/heap"
	"time"
)

// sweepEvery is the number of charges between two sweeps of idle accounts.
const sweepEvery = 256

// account counts what one organisation was served over all ranks, in tokens
// divided by its weight. Its work waits in a lane for each rank.
type account struct {
	virtual float64
	usage   usage
	weight  float64
	lanes   []*lane
	waiting int
}

// laneHeap orders the lanes with waiting work by what their organisations were
// served.
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
	h[i].at, h[j].at = i, j
}

// Push implements heap.Interface.
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.at = len(*h)
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

// accounts serves organisations by virtual token counter: within a rank, the
// one that was served least over all ranks goes first, and one that comes back
// from idleness starts level with the rest.
type accounts struct {
	byName  map[string]*account
	active  []laneHeap // by rank
	level   float64
	weights float64
	charges int
	total   usage
	fleet   fleetUse
}

func newAccounts(ranks int) accounts {
	return accounts{byName: map[string]*account{}, active: make([]laneHeap, ranks), fleet: newFleetUse()}
}

// least returns what the organisation served least has got, among those with
// waiting work.
func (s *accounts) least() float64 {
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
		a.virtual = max(a.virtual, s.least())
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

// next returns the first work of a rank's organisation served least.
func (s *accounts) next(rank int) *Work { return s.active[rank][0].next() }

// take removes work and charges its account.
func (s *accounts) take(now time.Time, w *Work, rank int) {
	s.level = max(s.level, s.least())
	a := w.lane.account
	w.lane.serve(w)
	s.drop(w, rank)
	s.charge(a, float64(w.Tokens)/weight(w))
	a.usage.add(now, float64(w.Tokens))
	s.total.add(now, float64(w.Tokens))
	s.charges++
	if s.charges%sweepEvery == 0 {
		s.sweep(now)
	}
}

// drop removes work without a charge.
func (s *accounts) drop(w *Work, rank int) {
	l := w.lane
	l.drop(w)
	l.account.waiting--
	if l.count == 0 {
		heap.Remove(&s.active[rank], l.at)
	}
}

// charge adds to what an organisation was served.
func (s *accounts) charge(a *account, virtual float64) {
	a.virtual += virtual
	for rank, l := range a.lanes {
		if l != nil && l.count > 0 {
			heap.Fix(&s.active[rank], l.at)
		}
	}
}

// correct adjusts the charge of the work's organisation, in tokens by weight.
func (s *accounts) correct(w *Work, off float64) {
	if a := s.byName[w.Organisation]; a != nil {
		s.charge(a, off)
		a.usage.tokens = max(a.usage.tokens+off*weight(w), 0)
		s.total.tokens = max(s.total.tokens+off*weight(w), 0)
	}
}

// start returns what the organisation of new work will have been served when
// the work's turn comes.
func (s *accounts) start(w *Work, rank int) float64 {
	a := s.byName[w.Organisation]
	if a == nil {
		return s.least()
	}
	virtual := a.virtual
	if a.waiting == 0 {
		virtual = max(virtual, s.least())
	}
	if l := a.lanes[rank]; l != nil {
		virtual += float64(l.tokens) / weight(w)
	}
	return virtual
}

// kept tells whether work that waits may not be refused any more in place of
// new work.
func (w *Work) kept(before time.Time) bool {
	return w.Resumed || w.returned || w.Arrived.Before(before)
}

// excess returns the last work of the lane whose last turn comes latest, if it
// comes after that of new work; else that of another caller of the work's
// organisation. Work that is kept is never returned.
func (s *accounts) excess(w *Work, rank int, before time.Time) *Work {
	var out *Work
	latest := s.start(w, rank)
	for _, l := range s.active[rank] {
		last, turn := l.last()
		if l.name != w.Organisation && turn > latest && !last.kept(before) {
			latest, out = turn, last
		}
	}
	if a := s.byName[w.Organisation]; out == nil && a != nil && a.lanes[rank] != nil {
		return a.lanes[rank].excess(w, before)
	}
	return out
}

// ahead returns the tokens that are served before the turn of new work.
func (s *accounts) ahead(w *Work, rank int) float64 {
	start := s.start(w, rank)
	total := 0.0
	for _, l := range s.active[rank] {
		turn := (start - l.account.virtual) * l.weight
		total += min(float64(l.tokens), max(turn, 0))
	}
	return total
}

// before returns the tokens that are served before waiting work.
func (s *accounts) before(w *Work, rank int) float64 {
	own := w.lane.before(w)
	start := w.lane.account.virtual + own/weight(w)
	total := own
	for _, l := range s.active[rank] {
		if l != w.lane {
			turn := (start - l.account.virtual) * l.weight
			total += min(float64(l.tokens), max(turn, 0))
		}
	}
	return total
}

// modest tells whether the work's organisation was lately served less than a
// given part of its fair share: over the fleet as far as the asking nodes told,
// else here.
func (s *accounts) modest(now time.Time, w *Work, part float64) bool {
	if used, fair, ok := s.fleet.share(now, w); ok {
		return used < part*fair
	}
	a := s.byName[w.Organisation]
	if a == nil {
		return true
	}
	fair := s.total.at(now) * a.weight / s.weights
	return a.usage.at(now) < part*fair
}

// sweep forgets idle accounts that would start level anyway.
func (s *accounts) sweep(now time.Time) {
	for name, a := range s.byName {
		if a.waiting == 0 && a.virtual <= s.level && now.Sub(a.usage.last) > usageTime {
			delete(s.byName, name)
			s.weights -= a.weight
		}
	}
}
