// Package admission implements admission control and fair scheduling for one
// replica: in which order waiting work runs, how many streams run at once, and
// which work is refused. It performs no I/O.
package admission

import "time"

// Work is one request that waits for a slot on a replica.
type Work struct {
	// ID identifies the work within one queue.
	ID string
	// Organisation and Caller are charged for the work.
	Organisation string
	Caller       string
	// Weight is the organisation's share; values of 0 or less count as 1.
	Weight float64
	// Rank is the rank's order; 0 is the most urgent.
	Rank int
	// Node is the requesting node, Used the tokens that the organisation used
	// through it over the last minute. With an empty Node, Used is ignored.
	Node string
	Used int
	// Tokens is the estimated cost in tokens.
	Tokens int
	// Memory is the KV cache that the work may fill, in tokens.
	Memory int
	// Resumed is true if the work held a slot before: it is never refused and
	// goes before its organisation's other work.
	Resumed bool
	// Pausable is true if the stream may be paused for more urgent work.
	Pausable bool
	// Fingerprint identifies organisation and content; 0 is unknown.
	Fingerprint uint64
	// Arrived is when the work joined the queue, Deadline when it must have
	// started.
	Arrived  time.Time
	Deadline time.Time

	lane     *lane
	caller   *callerQueue
	promoted bool
	// isBookedRetry is true if the work is a retry at its booked time.
	isBookedRetry bool
	// requestedTokens is the cost as the requester estimated it.
	requestedTokens int
}

// IsPromoted reports whether the work is treated as more urgent than its rank,
// because its organisation uses little of its share.
func (w *Work) IsPromoted() bool { return w.promoted }

// order returns the rank as which the work is scheduled.
func (w *Work) order() int {
	if w.promoted {
		return min(w.Rank, promotedRank)
	}
	return w.Rank
}

// Order schedules waiting work. Implementations are not safe for concurrent
// use.
type Order interface {
	// Push adds work.
	Push(w *Work)
	// Next returns the work to run next without removing it, or nil; ranks for
	// which allowed returns false are skipped.
	Next(now time.Time, allowed func(rank int) bool) *Work
	// Take removes work that Next returned and charges for it.
	Take(now time.Time, w *Work)
	// Correct replaces an estimated charge by the true one, in tokens.
	Correct(w *Work, tokens int)
	// Remove removes the work with the given ID and reports whether it waited.
	Remove(id string) bool
	// Expire removes and returns the work whose deadline has passed.
	Expire(now time.Time) []*Work
	// Len returns the number of waiting requests.
	Len() int
	// Waiting returns the number of waiting requests of one rank.
	Waiting(rank int) int
	// RecordUsage records the use of the work's organisation that the requesting node
	// reports.
	RecordUsage(now time.Time, w *Work)
	// IsLowUse reports whether the work's organisation recently used less than
	// the given part of its fair share.
	IsLowUse(now time.Time, w *Work, part float64) bool
	// Backlog returns the number of waiting requests of the work's organisation
	// and rank.
	Backlog(w *Work) int
	// Evictable returns the waiting work of the rank that runs last, if it runs
	// after new work, else nil. It skips work that may not be refused: its
	// answer has begun, it is a booked retry, or it arrived before the given
	// time.
	Evictable(w *Work, before time.Time) *Work
	// TokensAheadOfNew returns the tokens that are served before new work within its rank.
	TokensAheadOfNew(w *Work) float64
	// TokensAheadOf returns the tokens that are served before waiting work within its
	// rank.
	TokensAheadOf(w *Work) float64
	// TakeUnreviewed returns the next waiting work of a rank that arrived before the
	// given time, each once, or nil.
	TakeUnreviewed(rank int, before time.Time) *Work
	// Tokens returns the waiting tokens of a rank.
	Tokens(rank int) float64
	// RankShare returns the least share of the replica, 0 to 1, that the rank
	// can count on now.
	RankShare(rank int) float64
}

// rankQueue holds the waiting work of one rank.
type rankQueue struct {
	// unreviewed lists the work in order of arrival until its review; some of
	// it no longer waits.
	unreviewed []*Work
	floor      float64
	served     float64
	// deficit is the part of its floor that the rank has not yet been served,
	// in tokens.
	deficit float64
	tokens  int
	count   int
}

// Queue schedules waiting work by rank with a floor for each, then by the
// organisation served least for its weight, then by the caller served least,
// then by deadline. It is not safe for concurrent use.
type Queue struct {
	accounts  accounts
	ranks     []rankQueue
	work      map[string]*Work
	served    float64
	decayedAt time.Time
}

var _ Order = (*Queue)(nil)

const (
	// promotedRank is the rank as which less urgent work of organisations with
	// low use is scheduled.
	promotedRank = 1
	// servedHalfLife is the time in which the served tokens of the ranks decay
	// by half.
	servedHalfLife = 30 * time.Second
	// maxDeficit bounds the deficit of a rank, in tokens.
	maxDeficit = 2000.0
	// minDecayInterval is the shortest time between two decays.
	minDecayInterval = 100 * time.Millisecond
	// minRankShare keeps predictions finite for ranks without a floor.
	minRankShare = 0.02
)

// NewQueue returns a queue for ranks with the given floors, the most urgent
// rank first.
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

// index maps a rank's order to its index; an unknown rank counts as the last.
func (q *Queue) index(order int) int { return min(max(order, 0), len(q.ranks)-1) }

func (q *Queue) rank(order int) *rankQueue { return &q.ranks[q.index(order)] }

// Push implements Order.
func (q *Queue) Push(w *Work) {
	r := q.rank(w.order())
	q.accounts.push(w, q.index(w.order()))
	r.tokens += w.Tokens
	r.count++
	r.unreviewed = append(r.unreviewed, w)
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

// Next implements Order: it chooses the first rank with a deficit, else the
// most urgent rank, among those that are allowed and have waiting work.
func (q *Queue) Next(now time.Time, allowed func(rank int) bool) *Work {
	q.decay(now)
	first := -1
	for i := range q.ranks {
		r := &q.ranks[i]
		if r.count == 0 || (allowed != nil && !allowed(i)) {
			continue
		}
		if r.deficit > 0 {
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
	q.addDeficits(float64(w.Tokens))
	r.deficit = max(r.deficit-float64(w.Tokens), -float64(w.Tokens))
	delete(q.work, w.ID)
}

// addDeficits adds the floors' parts of the served tokens to the deficits of
// the ranks with waiting work. A rank without waiting work builds up no
// deficit. The bound limits how long tokens served before a flood count.
func (q *Queue) addDeficits(tokens float64) {
	for i := range q.ranks {
		r := &q.ranks[i]
		switch {
		case r.count > 0:
			r.deficit = min(r.deficit+r.floor*tokens, maxDeficit)
		default:
			r.deficit = min(r.deficit, 0)
		}
	}
}

func weight(w *Work) float64 {
	if w.Weight <= 0 {
		return 1
	}
	return w.Weight
}

// decay lets the served tokens of the ranks decay.
func (q *Queue) decay(now time.Time) {
	if q.decayedAt.IsZero() {
		q.decayedAt = now
		return
	}
	passed := now.Sub(q.decayedAt)
	if passed < minDecayInterval {
		return
	}
	factor := 1 / (1 + float64(passed)/float64(servedHalfLife))
	q.decayedAt = now
	q.served *= factor
	for i := range q.ranks {
		q.ranks[i].served *= factor
	}
}

// Correct implements Order.
func (q *Queue) Correct(w *Work, tokens int) {
	r := q.rank(w.order())
	diff := float64(tokens - w.Tokens)
	q.accounts.correct(w, diff/weight(w))
	r.served = max(r.served+diff, 0)
	if r.deficit < 0 {
		r.deficit = min(r.deficit-diff, 0)
	}
	q.served = max(q.served+diff, 0)
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

// drop removes waiting work without a charge.
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

// RecordUsage implements Order.
func (q *Queue) RecordUsage(now time.Time, w *Work) { q.accounts.fleet.record(now, w) }

// IsLowUse implements Order.
func (q *Queue) IsLowUse(now time.Time, w *Work, part float64) bool {
	return q.accounts.isLowUse(now, w, part)
}

// Backlog implements Order.
func (q *Queue) Backlog(w *Work) int {
	a := q.accounts.byName[w.Organisation]
	if a == nil || a.lanes[q.index(w.order())] == nil {
		return 0
	}
	return a.lanes[q.index(w.order())].count
}

// Evictable implements Order.
func (q *Queue) Evictable(w *Work, before time.Time) *Work {
	return q.accounts.evictable(w, q.index(w.order()), before)
}

// TokensAheadOfNew implements Order.
func (q *Queue) TokensAheadOfNew(w *Work) float64 {
	return q.accounts.tokensAheadOfNew(w, q.index(w.order()))
}

// TokensAheadOf implements Order.
func (q *Queue) TokensAheadOf(w *Work) float64 {
	return q.accounts.tokensAheadOf(w, q.index(w.order()))
}

// TakeUnreviewed implements Order.
func (q *Queue) TakeUnreviewed(rank int, before time.Time) *Work {
	r := q.rank(rank)
	for len(r.unreviewed) > 0 {
		w := r.unreviewed[0]
		isWaiting := q.work[w.ID] == w
		if isWaiting && !w.Arrived.Before(before) {
			return nil
		}
		r.unreviewed = r.unreviewed[1:]
		if isWaiting {
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
