package admission

import (
	"slices"
	"time"
)

// pauseTime is how long a place takes to come free by a pause.
const pauseTime = 50 * time.Millisecond

const (
	// unfairTimes is how many places an organisation may hold, by weight,
	// before its streams are paused for one that holds none.
	unfairTimes = 3
	// promisedShare is the part of a rank's throughput that come-back times
	// may promise.
	promisedShare = 0.9
	// maxPromoted bounds the places of promoted work, as a share of the limit.
	maxPromoted = 0.35
	// minPaused is the least time that a stream must need for its pause to
	// pay.
	minPaused = 4 * time.Second
)

// RankPolicy is what a gate needs to know of one rank.
type RankPolicy struct {
	// Floor is the share of the replica, 0 to 1, that the rank keeps.
	Floor float64
	// Preempts tells that the rank may pause streams of less urgent ranks.
	Preempts bool
	// Patience is the time to the first token beyond which new work is
	// refused while an overload lasts; 0 leaves only the deadline.
	Patience time.Duration
}

// GateOptions shape a gate.
type GateOptions struct {
	// Ranks are the ranks in their order, the most urgent first.
	Ranks []RankPolicy
	// Slots is the largest batch, Memory the KV cache in tokens; 0 is
	// unlimited.
	Slots  int
	Memory int
	// Interval is the target time between tokens.
	Interval time.Duration
	// Reserve is the number of slots kept free for the most urgent rank,
	// Headroom the part of the limit that is while such work comes.
	Reserve  int
	Headroom float64
	// Modest is the part of its fair share below which an organisation's least
	// urgent work is promoted; 0 promotes nothing.
	Modest float64
	// FairPause lets the work of such an organisation pause a stream of the
	// same rank whose organisation holds more than its share.
	FairPause bool
	// Random returns a number within 0 to 1; it spreads come-back times.
	Random func() float64
	// Order holds the waiting work; nil stands for a Queue.
	Order Order
	// Limit learns how much runs; nil stands for a Limiter.
	Limit Limit
}

// Stream is work that holds a place.
type Stream struct {
	// Work is what runs, Since when it was granted.
	Work  *Work
	Since time.Time
	area  float64
	// adopted tells that another gate granted the place.
	adopted bool
	// Pausing tells that its holder was asked to pause it.
	Pausing bool
	// pausedAt is when, silent that it has not paused in time.
	pausedAt time.Time
	silent   bool
}

// Usage is what a finished stream tells.
type Usage struct {
	// Tokens is the true number of generated tokens.
	Tokens int
	// First is the time from the grant to the first token, Interval the mean
	// time between tokens; 0 is unknown.
	First    time.Duration
	Interval time.Duration
	// Whole is true if the answer came to its end.
	Whole bool
}

// Gate decides what runs on one replica: it holds the waiting work, the
// running streams and what was learned of the replica. It is not safe for
// concurrent use.
type Gate struct {
	options GateOptions
	order   Order
	limit   Limit
	running map[string]*Stream
	memory  int
	places  map[place]int
	// promoted counts the streams of promoted work.
	promoted int
	lower    int // streams below the most urgent rank
	foreign  int // streams that hold no place here
	pausing  int
	// urgent is when work of the most urgent rank last came, roomy whether
	// that was lately.
	urgent time.Time
	roomy  bool
	// area is the batch added up over time until tallied, in stream-seconds.
	area    float64
	tallied time.Time
	speed   speed
	returns returns
	turns   turns
	// pressure tells, by rank, whether an overload lasts.
	pressure []pressure
}

// place counts the streams of one organisation and rank.
type place struct {
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
		options: o, order: o.Order, limit: o.Limit, running: map[string]*Stream{}, places: map[place]int{},
		speed: newSpeed(len(o.Ranks)), returns: newReturns(o.Random), pressure: make([]pressure, len(o.Ranks)),
	}
}

func floors(ranks []RankPolicy) []float64 {
	out := make([]float64, len(ranks))
	for i, r := range ranks {
		out[i] = r.Floor
	}
	return out
}

// Running returns the number of streams that hold a place.
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

// Verdict is a gate's answer to new work.
type Verdict struct {
	// Queued tells that the work waits for its place.
	Queued bool
	// RetryAfter is when refused work should be sent again.
	RetryAfter time.Duration
	// Evicted is waiting work that is refused in place of the new, or nil;
	// EvictedRetryAfter is when it should be sent again.
	Evicted           *Work
	EvictedRetryAfter time.Duration
}

// Offer queues work whose answer must be whole by its deadline, or refuses it
// with the time after which it should be sent again. With book set, that time
// is kept for it. Queued work gets the deadline by which it must have started.
func (g *Gate) Offer(now time.Time, w *Work, book bool) Verdict {
	g.noteUrgent(now, w)
	w.asked = w.Tokens
	w.Tokens = g.speed.estimate(g.rank(w.Rank), w.asked)
	g.order.Tell(now, w)
	g.promote(now, w)
	left := w.Deadline.Sub(now)
	w.Deadline = w.Deadline.Add(-min(g.speed.need(w.Tokens), left/2))
	wait := g.PredictedWait(now, w)
	allowed := g.patience(now, w, wait, w.Deadline.Sub(now))
	w.returned = g.returns.honour(now, w.Rank, w.Fingerprint) && wait <= w.Deadline.Sub(now)
	if w.Resumed || w.returned || wait <= allowed {
		g.order.Push(w)
		if w.returned {
			g.turns.add(w)
		}
		return Verdict{Queued: true}
	}
	last := g.order.Excess(w, g.settleStart(now, g.rank(w.order())))
	if last == nil && g.order.Modest(now, w, g.options.Modest) && g.drainTime(g.rank(w.order()), g.order.Ahead(w)) <= allowed {
		g.order.Push(w)
		return Verdict{Queued: true}
	}
	if last == nil {
		return Verdict{RetryAfter: g.returns.promise(now, w, wait, g.pace(w), book)}
	}
	g.order.Remove(last.ID)
	g.order.Push(w)
	retryAfter := g.returns.promise(now, last, wait, g.pace(last), true)
	return Verdict{Queued: true, Evicted: last, EvictedRetryAfter: retryAfter}
}

// promote treats less urgent work of an organisation with little use as more
// urgent, so that the more urgent work of large organisations does not crowd
// it out.
func (g *Gate) promote(now time.Time, w *Work) {
	w.promoted = g.options.Modest > 0 && w.Rank > promotedRank &&
		float64(g.promoted) < maxPromoted*float64(g.limit.Limit()) &&
		g.order.Modest(now, w, g.options.Modest)
}

// patience is how long work may be queued for when its deadline leaves the
// given time: up to the deadline in a burst, but in a lasting overload no
// longer than lets the first token come in time. Promoted work has the patience
// of its own rank.
func (g *Gate) patience(now time.Time, w *Work, wait, left time.Duration) time.Duration {
	rank := g.rank(w.order())
	p := g.options.Ranks[rank].Patience
	if p <= 0 {
		return left
	}
	short := min(left, g.settleTime(g.rank(w.Rank)))
	if !g.pressure[rank].observe(now, wait > short) {
		return left
	}
	modest := g.order.Modest(now, w, g.options.Modest)
	if !modest && g.order.Waiting(rank) > 0 && g.returns.ahead(now, w.Rank, wait) {
		return 0
	}
	return short
}

// rank maps an unknown rank to the last.
func (g *Gate) rank(order int) int {
	return min(max(order, 0), len(g.options.Ranks)-1)
}

// Grant takes the next work that may run now, or returns nil.
func (g *Gate) Grant(now time.Time) *Work {
	g.fadeHeadroom(now)
	w := g.next(now)
	if w == nil {
		return nil
	}
	g.turns.remove(w.ID)
	g.order.Take(now, w)
	g.occupy(now, &Stream{Work: w, Since: now})
	return w
}

// allowed tells whether a rank may take one more slot. Streams that hold no
// place here count, but one place is always there.
func (g *Gate) allowed(rank int) bool {
	if len(g.running) == 0 {
		return true
	}
	limit := g.limit.Limit()
	if g.Batch() >= limit {
		return false
	}
	if rank > 0 && g.lower+g.foreign >= max(limit-g.reserve(limit), minLimit) {
		return false
	}
	return !g.disputed(rank) || g.belowFloor(rank)
}

// tally adds up the batch over time, in stream-seconds.
func (g *Gate) tally(now time.Time) {
	if !g.tallied.IsZero() {
		g.area += float64(g.Batch()) * now.Sub(g.tallied).Seconds()
	}
	g.tallied = now
}

// fits tells whether the work's KV cache fits beside the running streams'.
func (g *Gate) fits(w *Work) bool {
	return g.options.Memory <= 0 || len(g.running) == 0 || g.memory+w.Memory <= g.options.Memory
}

// Release takes a place back with what was learned. It tells whether the work
// held one.
func (g *Gate) Release(now time.Time, id string, u Usage) bool {
	s := g.running[id]
	if s == nil {
		return false
	}
	g.tally(now)
	delete(g.running, id)
	g.memory -= s.Work.Memory
	g.vacate(s)
	g.learn(now, s, u)
	return true
}

// vacate uncounts a stream that has ended.
func (g *Gate) vacate(s *Stream) {
	key := place{s.Work.Organisation, s.Work.order()}
	g.places[key]--
	if g.places[key] == 0 {
		delete(g.places, key)
	}
	if s.Pausing && !s.silent {
		g.pausing--
	}
	if s.Work.Rank > 0 {
		g.lower--
	}
	if s.Work.promoted {
		g.promoted--
	}
}

// Stream returns the stream that holds a place under the ID, or nil.
func (g *Gate) Stream(id string) *Stream { return g.running[id] }

// PredictedWait estimates how long the work would wait for its place.
func (g *Gate) PredictedWait(now time.Time, w *Work) time.Duration {
	rank := g.rank(w.order())
	if g.free(rank) && g.fits(w) {
		return 0
	}
	if g.willPause(now, w) {
		return pauseTime
	}
	return g.drainTime(rank, g.order.Tokens(rank))
}

// drainTime is how long the replica takes to come to work of the rank that has
// the given tokens before it.
func (g *Gate) drainTime(rank int, tokens float64) time.Duration {
	ahead := tokens / (g.drain() * g.order.RankShare(rank))
	return time.Duration((ahead + g.nextSlot(rank)) * float64(time.Second))
}

// RankWait estimates how long all that waits in the rank takes to drain; it
// makes replicas comparable.
func (g *Gate) RankWait(rank int) time.Duration {
	if g.free(rank) {
		return 0
	}
	if g.willPauseLower(rank) {
		return pauseTime
	}
	return g.drainTime(rank, g.order.Tokens(rank))
}

// drain is the replica's throughput when full, in tokens a second.
func (g *Gate) drain() float64 { return float64(g.limit.Limit()) * g.speed.perSlot }

// pace is how long the work's rank takes to drain it, with some room.
func (g *Gate) pace(w *Work) time.Duration {
	share := promisedShare * g.drain() * g.order.RankShare(g.rank(w.order()))
	return time.Duration(float64(w.Tokens) / share * float64(time.Second))
}
