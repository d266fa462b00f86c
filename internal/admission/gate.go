package admission

import (
	"slices"
	"time"
)

// pauseTime is the expected time until a pause frees a slot.
const pauseTime = 50 * time.Millisecond

const (
	// unfairFactor is how many slots, by weight, an organisation may hold
	// before its streams are paused for one that holds none.
	unfairFactor = 3
	// bookedShare is the part of a rank's throughput that retry bookings may
	// fill.
	bookedShare = 0.9
	// maxPromotedShare bounds the slots of promoted work, as a share of the
	// limit.
	maxPromotedShare = 0.35
	// minVictimTime is the shortest expected run time of a stream that is worth
	// pausing for another organisation.
	minVictimTime = 4 * time.Second
)

// RankPolicy holds the scheduling rules of one rank.
type RankPolicy struct {
	// Floor is the share of the replica, 0 to 1, that the rank is guaranteed.
	Floor float64
	// Preempts lets the rank pause streams of less urgent ranks.
	Preempts bool
	// Patience is the longest time to the first token for which new work is
	// queued during a lasting overload; with 0, only the deadline counts.
	Patience time.Duration
}

// GateOptions holds the settings of a gate.
type GateOptions struct {
	// Ranks lists the ranks, the most urgent first.
	Ranks []RankPolicy
	// Slots is the largest batch, Memory the size of the KV cache in tokens; 0
	// is unlimited.
	Slots  int
	Memory int
	// Interval is the target time between tokens.
	Interval time.Duration
	// Reserve is the number of slots always kept free for the most urgent rank,
	// Headroom the part of the limit that is kept free while such work arrives.
	Reserve  int
	Headroom float64
	// LowUseShare is the part of its fair share below which an organisation's least
	// urgent work is promoted; 0 turns promotion off.
	LowUseShare float64
	// FairPause lets work of an organisation below LowUseShare pause a stream
	// of the same rank whose organisation holds more than its share.
	FairPause bool
	// Random returns a number from 0 to 1; it spreads retry times.
	Random func() float64
	// Order holds the waiting work; nil selects a Queue.
	Order Order
	// Limit learns how many streams may run; nil selects a Limiter.
	Limit Limit
}

// Stream is work that holds a slot.
type Stream struct {
	// Work is the running work, Since the time of its grant.
	Work                 *Work
	Since                time.Time
	streamSecondsAtGrant float64
	// takenOver is true if another gate granted the slot.
	takenOver bool
	// IsPausing is true once the stream's holder was asked to pause it.
	IsPausing bool
	// pausedAt is the time of that request; hasIgnoredPause is true if the
	// stream did not pause in time.
	pausedAt        time.Time
	hasIgnoredPause bool
}

// Usage is what a finished stream reports.
type Usage struct {
	// Tokens is the true number of generated tokens.
	Tokens int
	// FirstToken is the time from the grant to the first token, TokenInterval
	// the mean time between tokens; 0 is unknown.
	FirstToken    time.Duration
	TokenInterval time.Duration
	// IsComplete is true if the answer is complete.
	IsComplete bool
}

// Gate decides which streams run on one replica. It holds the waiting work, the
// running streams and the learned limits of the replica. It is not safe for
// concurrent use.
type Gate struct {
	options   GateOptions
	order     Order
	limit     Limit
	running   map[string]*Stream
	memory    int
	slotsHeld map[slotHolder]int
	// promoted counts the streams of promoted work.
	promoted   int
	lowerRanks int // streams below the most urgent rank
	foreign    int // streams without a slot of this gate
	pausing    int
	// lastUrgent is when work of the most urgent rank last arrived;
	// keepsHeadroom is true while that is recent.
	lastUrgent    time.Time
	keepsHeadroom bool
	// streamSeconds is the batch integrated over time up to integratedAt.
	streamSeconds float64
	integratedAt  time.Time
	speed         speed
	bookings      retryBookings
	booked        bookedWork
	// pressure detects lasting overloads, by rank.
	pressure []pressure
	rate     rateLimit
}

// slotHolder identifies the streams of one organisation and rank.
type slotHolder struct {
	organisation string
	rank         int
}

// NewGate returns a gate with nothing running.
func NewGate(o GateOptions) *Gate {
	if len(o.Ranks) == 0 {
		o.Ranks = make([]RankPolicy, 1)
	}
	if o.Order == nil {
		o.Order = NewQueue(floors(o.Ranks))
	}
	if o.Limit == nil {
		o.Limit = NewLimiter(o.Interval, o.Slots)
	}
	return &Gate{
		options: o, order: o.Order, limit: o.Limit, running: map[string]*Stream{}, slotsHeld: map[slotHolder]int{},
		speed: newSpeed(len(o.Ranks)), bookings: newRetryBookings(o.Random), pressure: make([]pressure, len(o.Ranks)),
	}
}

func floors(ranks []RankPolicy) []float64 {
	out := make([]float64, len(ranks))
	for i, r := range ranks {
		out[i] = r.Floor
	}
	return out
}

// Running returns the number of streams that hold a slot.
func (g *Gate) Running() int { return len(g.running) }

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return g.order.Len() }

// Limit returns how many streams may run.
func (g *Gate) Limit() int { return g.limit.Limit() }

// SetSlots changes the largest batch and the KV cache's size, in tokens.
func (g *Gate) SetSlots(slots, memory int) {
	g.options.Slots, g.options.Memory = slots, memory
	g.limit.SetHighest(slots)
}

// SetRanks changes the ranks; waiting work is kept.
func (g *Gate) SetRanks(ranks []RankPolicy, waiting []*Work) {
	g.options.Ranks = ranks
	g.order = NewQueue(floors(ranks))
	g.speed.resize(len(ranks))
	g.pressure = make([]pressure, len(ranks))
	for _, w := range slices.SortedFunc(slices.Values(waiting), compareArrival) {
		g.order.Push(w)
	}
}

func compareArrival(a, b *Work) int { return a.Arrived.Compare(b.Arrived) }

// Decision is a gate's answer to new work.
type Decision struct {
	// Queued is true if the work waits for a slot.
	Queued bool
	// RetryAfter is the time after which refused work should be sent again.
	RetryAfter time.Duration
	// Evicted is waiting work that is refused in favour of the new work, or
	// nil; EvictedRetryAfter is the time after which it should be sent again.
	Evicted           *Work
	EvictedRetryAfter time.Duration
}

// Offer queues work whose answer must be complete by its deadline, or refuses
// it with the time after which it should be sent again. If book is true, that
// time is reserved for the retry. The deadline of queued work becomes the time
// by which it must have started.
func (g *Gate) Offer(now time.Time, w *Work, book bool) Decision {
	g.recordUrgent(now, w)
	w.requestedTokens = w.Tokens
	w.Tokens = g.speed.estimate(g.rank(w.Rank), w.requestedTokens)
	g.order.RecordUsage(now, w)
	g.promote(now, w)
	remaining := w.Deadline.Sub(now)
	w.Deadline = w.Deadline.Add(-min(g.speed.slotTime(w.Tokens), remaining/2))
	wait := g.PredictedWait(now, w)
	allowed := g.patience(now, w, wait, w.Deadline.Sub(now))
	w.isBookedRetry = g.bookings.redeem(now, w.Rank, w.Fingerprint) && wait <= w.Deadline.Sub(now)
	if w.Resumed || w.isBookedRetry || wait <= allowed {
		g.order.Push(w)
		if w.isBookedRetry {
			g.booked.add(w)
		}
		return Decision{Queued: true}
	}
	evicted := g.order.Evictable(w, g.refusalCutoff(now, g.rank(w.order())))
	if evicted == nil && g.order.IsLowUse(now, w, g.options.LowUseShare) && g.drainTime(g.rank(w.order()), g.order.TokensAheadOfNew(w)) <= allowed {
		g.order.Push(w)
		return Decision{Queued: true}
	}
	if evicted == nil {
		return Decision{RetryAfter: g.bookings.retryAfter(now, w, wait, g.drainTimeOf(w), book)}
	}
	g.order.Remove(evicted.ID)
	g.order.Push(w)
	retryAfter := g.bookings.retryAfter(now, evicted, wait, g.drainTimeOf(evicted), true)
	return Decision{Queued: true, Evicted: evicted, EvictedRetryAfter: retryAfter}
}

// promote treats less urgent work of an organisation with low use as more
// urgent, so that the more urgent work of large organisations does not crowd it
// out.
func (g *Gate) promote(now time.Time, w *Work) {
	w.promoted = g.options.LowUseShare > 0 && w.Rank > promotedRank &&
		float64(g.promoted) < maxPromotedShare*float64(g.limit.Limit()) &&
		g.order.IsLowUse(now, w, g.options.LowUseShare)
}

// patience returns how long work may be queued, given the time remaining until
// its deadline: all of that time in a burst, but in a lasting overload only as
// long as its first token can come in time. Promoted work has the patience of
// its own rank.
func (g *Gate) patience(now time.Time, w *Work, wait, remaining time.Duration) time.Duration {
	rank := g.rank(w.order())
	p := g.options.Ranks[rank].Patience
	if p <= 0 {
		return remaining
	}
	bound := min(remaining, g.refusalWindow(g.rank(w.Rank)))
	if !g.pressure[rank].observe(now, wait > bound) {
		return remaining
	}
	isLowUse := g.order.IsLowUse(now, w, g.options.LowUseShare)
	if !isLowUse && g.order.Waiting(rank) > 0 && g.bookings.isBookedPast(now, w.Rank, wait) {
		return 0
	}
	return bound
}

// rank maps an unknown rank to the last one.
func (g *Gate) rank(order int) int {
	return min(max(order, 0), len(g.options.Ranks)-1)
}

// Grant removes the next work that may run now from the queue, gives it a slot
// and returns it, or returns nil.
func (g *Gate) Grant(now time.Time) *Work {
	g.expireHeadroom(now)
	if g.rateWait(now, 0) > 0 {
		return nil
	}
	w := g.next(now)
	if w == nil {
		return nil
	}
	g.booked.remove(w.ID)
	g.order.Take(now, w)
	if g.rate.rate > 0 {
		g.rate.bucket.Tokens--
	}
	g.occupy(now, &Stream{Work: w, Since: now})
	return w
}

// canGrant reports whether a rank may use one more slot. Foreign streams count,
// but one slot is always available.
func (g *Gate) canGrant(rank int) bool {
	if len(g.running) == 0 {
		return true
	}
	limit := g.limit.Limit()
	if g.Batch() >= limit {
		return false
	}
	if rank > 0 && g.lowerRanks+g.foreign >= max(limit-g.reserve(limit), minLimit) {
		return false
	}
	return !g.hasUrgentWaiting(rank) || g.isBelowFloor(rank)
}

// integrateBatch adds the batch since the last call to streamSeconds.
func (g *Gate) integrateBatch(now time.Time) {
	if !g.integratedAt.IsZero() {
		g.streamSeconds += float64(g.Batch()) * now.Sub(g.integratedAt).Seconds()
	}
	g.integratedAt = now
}

// fits reports whether the work's KV cache fits beside that of the running
// streams.
func (g *Gate) fits(w *Work) bool {
	return g.options.Memory <= 0 || len(g.running) == 0 || g.memory+w.Memory <= g.options.Memory
}

// Release frees a slot and learns from the stream's usage. It reports whether
// the work held a slot.
func (g *Gate) Release(now time.Time, id string, u Usage) bool {
	s := g.running[id]
	if s == nil {
		return false
	}
	g.integrateBatch(now)
	delete(g.running, id)
	g.memory -= s.Work.Memory
	g.vacate(s)
	g.learn(now, s, u)
	return true
}

// vacate removes a stream that has ended from the counts.
func (g *Gate) vacate(s *Stream) {
	key := slotHolder{s.Work.Organisation, s.Work.order()}
	g.slotsHeld[key]--
	if g.slotsHeld[key] == 0 {
		delete(g.slotsHeld, key)
	}
	if s.IsPausing && !s.hasIgnoredPause {
		g.pausing--
	}
	if s.Work.Rank > 0 {
		g.lowerRanks--
	}
	if s.Work.promoted {
		g.promoted--
	}
}

// Stream returns the stream that holds a slot under the ID, or nil.
func (g *Gate) Stream(id string) *Stream { return g.running[id] }

// PredictedWait estimates how long the work would wait for a slot.
func (g *Gate) PredictedWait(now time.Time, w *Work) time.Duration {
	rank := g.rank(w.order())
	return max(g.slotWait(now, w, rank), g.rateWait(now, g.waitingAhead(rank)))
}

// slotWait estimates how long the work would wait for a free slot.
func (g *Gate) slotWait(now time.Time, w *Work, rank int) time.Duration {
	if g.hasFreeSlot(rank) && g.fits(w) {
		return 0
	}
	if g.willPause(now, w) {
		return pauseTime
	}
	return g.drainTime(rank, g.order.Tokens(rank))
}

// drainTime estimates the time until the replica starts work of the rank that
// has the given tokens ahead of it.
func (g *Gate) drainTime(rank int, tokens float64) time.Duration {
	ahead := tokens / (g.throughput() * g.order.RankShare(rank))
	return time.Duration((ahead + g.nextSlot(rank)) * float64(time.Second))
}

// RankWait estimates how long the waiting work of the rank takes to drain, for
// comparisons between replicas.
func (g *Gate) RankWait(now time.Time, rank int) time.Duration {
	return max(g.rankSlotWait(rank), g.rateWait(now, g.waitingAhead(rank)))
}

func (g *Gate) rankSlotWait(rank int) time.Duration {
	if g.hasFreeSlot(rank) {
		return 0
	}
	if g.willPauseLower(rank) {
		return pauseTime
	}
	return g.drainTime(rank, g.order.Tokens(rank))
}

// throughput returns the replica's throughput at its limit, in tokens per
// second.
func (g *Gate) throughput() float64 { return float64(g.limit.Limit()) * g.speed.perSlot }
