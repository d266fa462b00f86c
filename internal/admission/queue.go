// Package admission decides, without any I/O, in which order waiting work
// runs, how much runs, and what is refused.
package admission

import "time"

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
	// Node is the node that asks, Used what the organisation used through it
	// over the last minute, in tokens; an empty Node tells nothing.
	Node string
	Used int
	// Tokens is the estimated cost in tokens.
	Tokens int
	// Memory is the KV cache that it may fill, in tokens.
	Memory int
	// Resumed tells that it had a place before: it is never refused and goes
	// before its organisation's other work.
	Resumed bool
	// Pausable tells that its stream may be paused for more urgent work.
	Pausable bool
	// Fingerprint identifies organisation and content; 0 is unknown.
	Fingerprint uint64
	// Arrived is when it joined, Deadline when it must have started.
	Arrived  time.Time
	Deadline time.Time

	lane     *lane
	caller   *callerQueue
	promoted bool
	// returned tells that the work came back when it was told to.
	returned bool
	// asked is the cost as its asker estimated it.
	asked int
}

// Promoted tells that the work is treated as more urgent than its rank, as its
// organisation uses little of its share.
func (w *Work) Promoted() bool { return w.promoted }

// order returns the rank that the work is treated as.
func (w *Work) order() int {
	if w.promoted {
		return min(w.Rank, promotedRank)
	}
	return w.Rank
}

// Order is an order of waiting work. Implementations are not safe for
// concurrent use.
type Order interface {
	// Push adds work.
	Push(w *Work)
	// Next returns the work to run next without taking it, or nil; ranks for
	// which allowed returns false are passed over.
	Next(now time.Time, allowed func(rank int) bool) *Work
	// Take removes work that Next returned and charges for it.
	Take(now time.Time, w *Work)
	// Correct replaces an estimated charge by the true one, in tokens.
	Correct(w *Work, tokens int)
	// Remove takes the work with the given ID out and tells whether it was
	// there.
	Remove(id string) bool
	// Expire removes and returns the work whose deadline has passed.
	Expire(now time.Time) []*Work
	// Len returns the number of waiting requests.
	Len() int
	// Waiting returns the number of waiting requests of one rank.
	Waiting(rank int) int
	// Tell takes what the node that asks for the work tells of the use of its
	// organisation.
	Tell(now time.Time, w *Work)
	// Modest tells whether the work's organisation was lately served less than
	// a given part of its fair share.
	Modest(now time.Time, w *Work, part float64) bool
	// Backlog returns the waiting requests of the work's organisation and
	// rank.
	Backlog(w *Work) int
	// Excess returns the waiting work of the rank whose turn comes last, if it
	// comes after that of new work, else nil. It passes over work that may not
	// be refused: its answer has begun, it came back when told, or it waits
	// since before the given time.
	Excess(w *Work, before time.Time) *Work
	// Ahead returns the tokens that are served before new work within its
	// rank.
	Ahead(w *Work) float64
	// Before returns the tokens that are served before waiting work within its
	// rank.
	Before(w *Work) float64
	// Settle returns the next waiting work of a rank that came before the
	// given time, each once, or nil.
	Settle(rank int, before time.Time) *Work
	// Tokens returns the tokens that wait in a rank.
	Tokens(rank int) float64
	// RankShare returns the least share of the replica that the rank can
	// count on now, 0 to 1.
	RankShare(rank int) float64
}

// rankQueue holds the waiting work of one rank.
type rankQueue struct {
	// unsettled holds the work in the order it came; some no longer waits.
	unsettled []*Work
	floor     float64
	served    float64
	// owed is what the rank has not yet got of its floor, in tokens.
	owed   float64
	tokens int
	count  int
}

// Queue orders waiting work: by rank with a floor for each, then by the
// organisation served least for its weight, then by deadline. It is not safe
// for concurrent use.
type Queue struct {
	accounts accounts
	ranks    []rankQueue
	work     map[string]*Work
	served   float64
	last     time.Time
}

var _ Order = (*Queue)(nil)

const (
	// promotedRank is the rank as which less urgent work of organisations with
	// little use is treated.
	promotedRank = 1
	// servedHalfLife is how fast the shares of the ranks forget.
	servedHalfLife = 30 * time.Second
	// maxOwed bounds what a rank is owed of its floor, in tokens.
	maxOwed = 2000.0
	// minForget is the least time between two decays.
	minForget = 100 * time.Millisecond
	// minRankShare keeps predictions finite for ranks without a floor.
	minRankShare = 0.02
)

// NewQueue returns a queue for the ranks whose floors are given in their
// order, the most urgent first.
func NewQueue(floors []float64) *Queue {
	q := &Queue{accounts: newAccounts(len(floors)), ranks: make([]rankQueue, len(floors)), work: map[string]*Work{}}
	for i, f := range floors {
		q.ranks[i] = rankQueue{floor: f}
	}
	return q
}

// Len implements Order.
func (q *Queue) Len() int { return len(q.work) }

// Waiting implements Order.
func (q *Queue) Waiting(rank int) int { return q.rank(rank).count }

// index maps a rank's order to its place; an unknown rank counts as the last.
func (q *Queue) index(order int) int { return min(max(order, 0), len(q.ranks)-1) }

func (q *Queue) rank(order int) *rankQueue { return &q.ranks[q.index(order)] }

// Push implements Order.
func (q *Queue) Push(w *Work) {
	r := q.rank(w.order())
	q.accounts.push(w, q.index(w.order()))
	r.tokens += w.Tokens
	r.count++
	r.unsettled = append(r.unsettled, w)
	q.work[w.ID] = w
}

// Pop removes and returns the work to run next, or nil if none waits.
func (q *Queue) Pop(now time.Time) *Work {
	w := q.Next(now, nil)
	if w != nil {
		q.Take(now, w)
	}
	return w
}

// Next implements Order: the first rank below its floor, else the most urgent
// rank, that is allowed and has waiting work.
func (q *Queue) Next(now time.Time, allowed func(rank int) bool) *Work {
	q.forget(now)
	first := -1
	for i := range q.ranks {
		r := &q.ranks[i]
		if r.count == 0 || (allowed != nil && !allowed(i)) {
			continue
		}
		if r.owed > 0 {
			return q.accounts.next(i)
		}
		if first < 0 {
			first = i
		}
	}
	if first < 0 {
		return nil
	}
	return q.accounts.next(first)
}

// Take implements Order.
func (q *Queue) Take(now time.Time, w *Work) {
	r := q.rank(w.order())
	q.accounts.take(now, w, q.index(w.order()))
	r.tokens -= w.Tokens
	r.count--
	r.served += float64(w.Tokens)
	q.served += float64(w.Tokens)
	q.owe(float64(w.Tokens))
	r.owed = max(r.owed-float64(w.Tokens), -float64(w.Tokens))
	delete(q.work, w.ID)
}

// owe adds what the ranks that wait are owed of the given tokens. Neither what
// was served before a flood nor what was not asked for counts for long.
func (q *Queue) owe(tokens float64) {
	for i := range q.ranks {
		r := &q.ranks[i]
		switch {
		case r.count > 0:
			r.owed = min(r.owed+r.floor*tokens, maxOwed)
		default:
			r.owed = min(r.owed, 0)
		}
	}
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
	passed := now.Sub(q.last)
	if passed < minForget {
		return
	}
	factor := 1 / (1 + float64(passed)/float64(servedHalfLife))
	q.last = now
	q.served *= factor
	for i := range q.ranks {
		q.ranks[i].served *= factor
	}
}

// Correct implements Order.
func (q *Queue) Correct(w *Work, tokens int) {
	r := q.rank(w.order())
	off := float64(tokens - w.Tokens)
	q.accounts.correct(w, off/weight(w))
	r.served = max(r.served+off, 0)
	if r.owed < 0 {
		r.owed = min(r.owed-off, 0)
	}
	q.served = max(q.served+off, 0)
}

// Remove implements Order.
func (q *Queue) Remove(id string) bool {
	w := q.work[id]
	if w == nil {
		return false
	}
	q.drop(w)
	return true
}

// drop takes waiting work out without a charge.
func (q *Queue) drop(w *Work) {
	r := q.rank(w.order())
	q.accounts.drop(w, q.index(w.order()))
	r.tokens -= w.Tokens
	r.count--
	delete(q.work, w.ID)
}

// Expire implements Order.
func (q *Queue) Expire(now time.Time) []*Work {
	var out []*Work
	for _, lanes := range q.accounts.active {
		for _, l := range lanes {
			out = l.appendExpired(out, now)
		}
	}
	for _, w := range out {
		q.drop(w)
	}
	return out
}

// Tell implements Order.
func (q *Queue) Tell(now time.Time, w *Work) { q.accounts.fleet.tell(now, w) }

// Modest implements Order.
func (q *Queue) Modest(now time.Time, w *Work, part float64) bool {
	return q.accounts.modest(now, w, part)
}

// Backlog implements Order.
func (q *Queue) Backlog(w *Work) int {
	a := q.accounts.byName[w.Organisation]
	if a == nil || a.lanes[q.index(w.order())] == nil {
		return 0
	}
	return a.lanes[q.index(w.order())].count
}

// Excess implements Order.
func (q *Queue) Excess(w *Work, before time.Time) *Work {
	return q.accounts.excess(w, q.index(w.order()), before)
}

// Ahead implements Order.
func (q *Queue) Ahead(w *Work) float64 { return q.accounts.ahead(w, q.index(w.order())) }

// Before implements Order.
func (q *Queue) Before(w *Work) float64 { return q.accounts.before(w, q.index(w.order())) }

// Settle implements Order.
func (q *Queue) Settle(rank int, before time.Time) *Work {
	r := q.rank(rank)
	for len(r.unsettled) > 0 {
		w := r.unsettled[0]
		waits := q.work[w.ID] == w
		if waits && !w.Arrived.Before(before) {
			return nil
		}
		r.unsettled = r.unsettled[1:]
		if waits {
			return w
		}
	}
	return nil
}

// Tokens implements Order.
func (q *Queue) Tokens(rank int) float64 { return float64(q.rank(rank).tokens) }

// RankShare implements Order.
func (q *Queue) RankShare(rank int) float64 {
	above, below := 0.0, 0.0
	for i := range q.ranks {
		r := &q.ranks[i]
		switch {
		case i < rank && q.served > 0:
			above += r.served / q.served
		case i > rank && r.count > 0:
			below += r.floor
		}
	}
	return max(1-above-below, q.rank(rank).floor, minRankShare)
}
