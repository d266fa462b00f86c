package admission

import (
	"container/heap"
	"slices"
	"time"
)

// sweepEvery is the number of charges between two sweeps of idle accounts.
const sweepEvery = 256

// account counts what one organisation was served within one rank, in tokens
// divided by its weight.
type account struct {
	name    string
	virtual float64
	waiting []*Work
	tokens  int
	at      int
}

// accountHeap orders the accounts with waiting work by what they were served.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return h[i].name < h[j].name
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.at = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return a
}

// accounts serves organisations by virtual token counter: the one served
// least for its weight goes first, and one that comes back from idleness
// starts level with the rest.
type accounts struct {
	byName  map[string]*account
	active  accountHeap
	level   float64
	charges int
}

func compareWork(a, b *Work) int {
	if a.Resumed != b.Resumed {
		if a.Resumed {
			return -1
		}
		return 1
	}
	return a.Deadline.Compare(b.Deadline)
}

func (s *accounts) push(w *Work) {
	a := s.byName[w.Organisation]
	if a == nil {
		a = &account{name: w.Organisation}
		s.byName[w.Organisation] = a
	}
	w.account = a
	if len(a.waiting) == 0 {
		a.virtual = max(a.virtual, s.level)
		heap.Push(&s.active, a)
	}
	at, _ := slices.BinarySearchFunc(a.waiting, w, compareWork)
	for at < len(a.waiting) && compareWork(a.waiting[at], w) == 0 {
		at++
	}
	a.waiting = slices.Insert(a.waiting, at, w)
	a.tokens += w.Tokens
}

// next returns the first work of the account served least.
func (s *accounts) next() *Work { return s.active[0].waiting[0] }

// take removes work and charges its account.
func (s *accounts) take(w *Work) {
	a := w.account
	s.level = max(s.level, a.virtual)
	a.virtual += float64(w.Tokens) / weight(w)
	s.drop(w)
	s.charges++
	if s.charges%sweepEvery == 0 {
		s.sweep()
	}
}

// drop removes work without a charge.
func (s *accounts) drop(w *Work) {
	a := w.account
	at := slices.Index(a.waiting, w)
	a.waiting = slices.Delete(a.waiting, at, at+1)
	a.tokens -= w.Tokens
	if len(a.waiting) == 0 {
		heap.Remove(&s.active, a.at)
		return
	}
	heap.Fix(&s.active, a.at)
}

// appendExpired appends the work whose deadline has passed.
func (a *account) appendExpired(out []*Work, now time.Time) []*Work {
	for _, w := range a.waiting {
		passed := !w.Deadline.After(now)
		if passed {
			out = append(out, w)
		}
		if !passed && !w.Resumed {
			break
		}
	}
	return out
}

// end is what an account will have been served once its waiting work is, in
// tokens by weight.
func (a *account) end(weight float64) float64 {
	return a.virtual + float64(a.tokens)/weight
}

// excess returns the last work of the account whose turn ends last, if it ends
// after that of new work. Work whose answer has begun is never returned; begun
// tells that some ends after that of the new work.
func (s *accounts) excess(w *Work) (out *Work, begun bool) {
	own := s.byName[w.Organisation]
	if own == nil {
		own = &account{}
	}
	end := max(own.virtual, s.level) + float64(own.tokens+w.Tokens)/weight(w)
	latest := end
	for _, a := range s.active {
		last := a.waiting[len(a.waiting)-1]
		at := a.end(weight(last))
		switch {
		case a == own || at <= end:
		case last.Resumed:
			begun = true
		case at > latest:
			latest, out = at, last
		}
	}
	return out, begun
}

// ahead returns the tokens that are served before the turn of new work.
func (s *accounts) ahead(w *Work) float64 {
	start := s.level
	if own := s.byName[w.Organisation]; own != nil {
		start = max(own.virtual, start) + float64(own.tokens)/weight(w)
	}
	total := 0.0
	for _, a := range s.active {
		turn := (start - a.virtual) * weight(a.waiting[0])
		total += min(float64(a.tokens), max(turn, 0))
	}
	return total
}

// correct adjusts the charge of an organisation, in tokens by weight.
func (s *accounts) correct(w *Work, off float64) {
	a := s.byName[w.Organisation]
	if a == nil {
		return
	}
	a.virtual += off
	if len(a.waiting) > 0 {
		heap.Fix(&s.active, a.at)
	}
}

// sweep forgets idle accounts that would start level anyway.
func (s *accounts) sweep() {
	for name, a := range s.byName {
		if len(a.waiting) == 0 && a.virtual <= s.level {
			delete(s.byName, name)
		}
	}
}
