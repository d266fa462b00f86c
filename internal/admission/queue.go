// Package admission decides, without any I/O, in which order waiting work
// runs, how much runs, and what is refused.
package admission

import (
	"slices"
	"time"
)

// Work is one request waiting for a place on a replica.
type Work struct {
	// ID identifies the work within one queue.
	ID string
	// Organisation and Caller are charged for it.
	Organisation string
	Caller       string
	// Weight is the organisation's share; values of 0 or less count as 1.
	Weight float64
	// Rank is the rank's order; 0 is the most urgent.
	Rank int
	// Tokens is the estimated cost in tokens.
	Tokens int
	// Arrived is when it joined, Deadline when it must have started.
	Arrived  time.Time
	Deadline time.Time
}

// account counts what one organisation was served within one rank, in tokens
// divided by its weight.
type account struct {
	virtual float64
	waiting []*Work
}

// rankQueue holds the waiting work of one rank.
type rankQueue struct {
	floor    float64
	served   float64
	accounts map[string]*account
	tokens   int
	count    int
}

// Queue orders waiting work: by rank with a floor for each, then by the
// organisation served least for its weight, then by deadline. It is not safe
// for concurrent use.
type Queue struct {
	ranks  []rankQueue
	served float64
	last   time.Time
}

// servedHalfLife is how fast the shares of the ranks forget.
const servedHalfLife = 10 * time.Second

// NewQueue returns a queue for the ranks whose floors are given in their
// order, the most urgent first.
func NewQueue(floors []float64) *Queue {
	q := &Queue{ranks: make([]rankQueue, len(floors))}
	for i, f := range floors {
		q.ranks[i] = rankQueue{floor: f, accounts: map[string]*account{}}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	n := 0
	for i := range q.ranks {
		n += q.ranks[i].count
	}
	return n
}

// rank returns the queue of work's rank; an unknown rank counts as the last.
func (q *Queue) rank(order int) *rankQueue {
	return &q.ranks[min(max(order, 0), len(q.ranks)-1)]
}

// Push adds work.
func (q *Queue) Push(w *Work) {
	r := q.rank(w.Rank)
	a := r.accounts[w.Organisation]
	if a == nil {
		a = &account{}
		r.accounts[w.Organisation] = a
	}
	if len(a.waiting) == 0 {
		a.virtual = max(a.virtual, r.least())
	}
	at, _ := slices.BinarySearchFunc(a.waiting, w, func(x, y *Work) int { return x.Deadline.Compare(y.Deadline) })
	a.waiting = slices.Insert(a.waiting, at, w)
	r.tokens += w.Tokens
	r.count++
}

// least returns the smallest virtual count among organisations that wait.
func (r *rankQueue) least() float64 {
	least, found := 0.0, false
	for _, a := range r.accounts {
		if len(a.waiting) > 0 && (!found || a.virtual < least) {
			least, found = a.virtual, true
		}
	}
	return least
}

// Pop removes and returns the work to run next, or nil if none waits.
func (q *Queue) Pop(now time.Time) *Work {
	q.forget(now)
	r := q.nextRank()
	if r == nil {
		return nil
	}
	a := r.nextAccount()
	w := a.waiting[0]
	a.waiting = slices.Delete(a.waiting, 0, 1)
	a.virtual += float64(w.Tokens) / weight(w)
	r.tokens -= w.Tokens
	r.count--
	r.served += float64(w.Tokens)
	q.served += float64(w.Tokens)
	return w
}

func weight(w *Work) float64 {
	if w.Weight <= 0 {
		return 1
	}
	return w.Weight
}

// forget lets the served shares decay.
func (q *Queue) forget(now time.Time) {
	if q.last.IsZero() {
		q.last = now
		return
	}
	halves := float64(now.Sub(q.last)) / float64(servedHalfLife)
	if halves < 0.01 {
		return
	}
	factor := 1 / (1 + halves)
	q.last = now
	q.served *= factor
	for i := range q.ranks {
		q.ranks[i].served *= factor
	}
}

// nextRank returns the first rank below its floor, else the most urgent rank
// with waiting work.
func (q *Queue) nextRank() *rankQueue {
	var first *rankQueue
	for i := range q.ranks {
		r := &q.ranks[i]
		if r.count == 0 {
			continue
		}
		if first == nil {
			first = r
			continue
		}
		if r.floor > 0 && r.served < r.floor*q.served {
			return r
		}
	}
	return first
}

func (r *rankQueue) nextAccount() *account {
	var best *account
	var bestName string
	for name, a := range r.accounts {
		if len(a.waiting) == 0 {
			continue
		}
		if best == nil || a.virtual < best.virtual || (a.virtual == best.virtual && name < bestName) {
			best, bestName = a, name
		}
	}
	return best
}

// Correct replaces an estimated charge by the true one.
func (q *Queue) Correct(w *Work, tokens int) {
	r := q.rank(w.Rank)
	if a := r.accounts[w.Organisation]; a != nil {
		a.virtual += float64(tokens-w.Tokens) / weight(w)
	}
}

// Remove takes the work with the given ID out and tells whether it was there.
func (q *Queue) Remove(id string) bool {
	for i := range q.ranks {
		r := &q.ranks[i]
		for _, a := range r.accounts {
			at := slices.IndexFunc(a.waiting, func(w *Work) bool { return w.ID == id })
			if at < 0 {
				continue
			}
			r.tokens -= a.waiting[at].Tokens
			r.count--
			a.waiting = slices.Delete(a.waiting, at, at+1)
			return true
		}
	}
	return false
}

// Expire removes and returns the work whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Work {
	var out []*Work
	for i := range q.ranks {
		r := &q.ranks[i]
		for _, a := range r.accounts {
			for len(a.waiting) > 0 && !a.waiting[0].Deadline.After(now) {
				w := a.waiting[0]
				a.waiting = slices.Delete(a.waiting, 0, 1)
				r.tokens -= w.Tokens
				r.count--
				out = append(out, w)
			}
		}
	}
	return out
}

// TokensAhead returns the tokens of waiting work that new work of the given
// rank would find before it.
func (q *Queue) TokensAhead(rank int) int {
	n := 0
	for i := 0; i <= min(rank, len(q.ranks)-1); i++ {
		n += q.ranks[i].tokens
	}
	return n
}
