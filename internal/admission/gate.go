package admission

import "time"

// everyBacklog is a cost so large that all that waits goes before it.
const everyBacklog = 1 << 30

// pauseTime is how long a place takes to come free by a pause.
const pauseTime = 50 * time.Millisecond

// RankPolicy is what a gate needs to know of one rank.
type RankPolicy struct {
	// Floor is the share of the replica, 0 to 1, that the rank keeps.
	Floor float64
	// Preempts tells that the rank may pause streams of less urgent ranks.
	Preempts bool
	// Patience bounds the predicted wait that new work may be queued for;
	// 0 leaves only the deadline.
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
	// Reserve is the number of slots kept free for the most urgent rank.
	Reserve int
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
	// Pausing tells that its holder was asked to pause it.
	Pausing bool
}

// Usage is what a finished stream tells.
type Usage struct {
	// Tokens is the true number of generated tokens.
	Tokens int
	// Interval is the mean time between tokens; 0 is unknown.
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
	pausing int
	speed   speed
	returns returns
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
		options: o, order: o.Order, limit: o.Limit, running: map[string]*Stream{},
		speed: newSpeed(len(o.Ranks)), returns: newReturns(o.Random),
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
	for _, w := range waiting {
		g.order.Push(w)
	}
}

// Offer queues work whose answer must be whole by its deadline, or refuses it
// with the time after which it should be sent again. With book set, that time
// is kept for it. Queued work gets the deadline by which it must have started.
func (g *Gate) Offer(now time.Time, w *Work, book bool) (retryAfter time.Duration, queued bool) {
	w.Tokens = g.speed.estimate(g.rank(w.Rank), w.Tokens)
	left := w.Deadline.Sub(now)
	w.Deadline = w.Deadline.Add(-min(g.speed.need(w.Tokens), left/2))
	allowed := w.Deadline.Sub(now)
	wait := g.PredictedWait(now, w)
	if p := g.options.Ranks[g.rank(w.Rank)].Patience; p > 0 {
		allowed = min(allowed, p)
	}
	kept := g.returns.honour(now, w.Fingerprint) && wait <= w.Deadline.Sub(now)
	if !w.Resumed && !kept && wait > allowed && !g.willPause(w) {
		pace := g.pace(w)
		return g.returns.promise(now, w, wait-allowed, pace, book), false
	}
	g.order.Push(w)
	return 0, true
}

// rank maps an unknown rank to the last.
func (g *Gate) rank(order int) int {
	return min(max(order, 0), len(g.options.Ranks)-1)
}

// Grant takes the next work that may run now, or returns nil.
func (g *Gate) Grant(now time.Time) *Work {
	w := g.order.Next(now, g.allowed)
	if w == nil || !g.fits(w) {
		return nil
	}
	g.order.Take(w)
	g.running[w.ID] = &Stream{Work: w, Since: now}
	g.memory += w.Memory
	return w
}

// allowed tells whether a rank may take one more slot.
func (g *Gate) allowed(rank int) bool {
	limit := g.limit.Limit()
	if rank > 0 {
		limit = max(limit-g.options.Reserve, minLimit)
	}
	return len(g.running) < limit
}

// fits tells whether the work's KV cache fits beside the running streams'.
func (g *Gate) fits(w *Work) bool {
	return g.options.Memory <= 0 || len(g.running) == 0 || g.memory+w.Memory <= g.options.Memory
}

// Pause returns a running stream that should be paused now for waiting work,
// or nil. Each stream is returned once.
func (g *Gate) Pause(now time.Time) *Stream {
	for rank := range g.options.Ranks {
		if !g.options.Ranks[rank].Preempts || g.order.Waiting(rank) == 0 {
			continue
		}
		if g.order.Waiting(rank) <= g.pausing {
			return nil
		}
		if s := g.victim(rank); s != nil {
			s.Pausing = true
			g.pausing++
			return s
		}
	}
	return nil
}

// victim returns the least urgent stream that work of the rank may pause, the
// newest among equals, or nil.
func (g *Gate) victim(rank int) *Stream {
	var best *Stream
	counts := g.byRank()
	for _, s := range g.running {
		if !g.mayPause(s, rank, counts) {
			continue
		}
		if best == nil || pausedBefore(s, best) {
			best = s
		}
	}
	return best
}

func pausedBefore(a, b *Stream) bool {
	if a.Work.Rank != b.Work.Rank {
		return a.Work.Rank > b.Work.Rank
	}
	if !a.Since.Equal(b.Since) {
		return a.Since.After(b.Since)
	}
	return a.Work.ID < b.Work.ID
}

// mayPause tells whether the stream may be paused for the rank: a rank is not
// paused below its floor.
func (g *Gate) mayPause(s *Stream, rank int, counts []int) bool {
	r := g.rank(s.Work.Rank)
	if r <= rank || s.Pausing || !s.Work.Pausable {
		return false
	}
	return float64(counts[r]-1) >= g.options.Ranks[r].Floor*float64(g.limit.Limit())
}

// byRank counts the streams that run and are not being paused.
func (g *Gate) byRank() []int {
	counts := make([]int, len(g.options.Ranks))
	for _, s := range g.running {
		if !s.Pausing {
			counts[g.rank(s.Work.Rank)]++
		}
	}
	return counts
}

// willPause tells whether new work would soon get a place by pausing others.
func (g *Gate) willPause(w *Work) bool {
	rank := g.rank(w.Rank)
	if !g.options.Ranks[rank].Preempts {
		return false
	}
	counts := g.byRank()
	n := 0
	for _, s := range g.running {
		if s.Pausing || g.mayPause(s, rank, counts) {
			n++
		}
	}
	waiting := 0
	for i := 0; i <= rank; i++ {
		waiting += g.order.Waiting(i)
	}
	return n > waiting
}

// Release takes a place back with what was learned. It tells whether the work
// held one.
func (g *Gate) Release(now time.Time, id string, u Usage) bool {
	s := g.running[id]
	if s == nil {
		return false
	}
	running := len(g.running)
	delete(g.running, id)
	g.memory -= s.Work.Memory
	if s.Pausing {
		g.pausing--
	}
	g.order.Correct(s.Work, u.Tokens)
	if u.Interval > 0 {
		g.limit.Observe(u.Interval, running)
	}
	g.speed.observe(g.rank(s.Work.Rank), s, u, now)
	return true
}

// Withdraw takes waiting work out and tells whether it was there.
func (g *Gate) Withdraw(id string) bool { return g.order.Remove(id) }

// Expire removes and returns the waiting work whose deadline has passed.
func (g *Gate) Expire(now time.Time) []*Work { return g.order.Expire(now) }

// Stream returns the stream that holds a place under the ID, or nil.
func (g *Gate) Stream(id string) *Stream { return g.running[id] }

// PredictedWait estimates how long the work would wait for its place.
func (g *Gate) PredictedWait(now time.Time, w *Work) time.Duration {
	rank := g.rank(w.Rank)
	if g.order.Len() == 0 && g.allowed(rank) && g.fits(w) {
		return 0
	}
	if g.willPause(w) {
		return pauseTime
	}
	ahead := g.order.TokensAhead(w) / (g.drain() * g.order.RankShare(rank))
	slot := g.speed.service(g.running) / float64(g.limit.Limit())
	return time.Duration((ahead + slot) * float64(time.Second))
}

// RankWait estimates how long the rank's waiting work takes to drain; it makes
// replicas comparable.
func (g *Gate) RankWait(now time.Time, rank int) time.Duration {
	return g.PredictedWait(now, &Work{Rank: rank, Tokens: everyBacklog})
}

// drain is the replica's throughput when full, in tokens a second.
func (g *Gate) drain() float64 { return float64(g.limit.Limit()) * g.speed.perSlot }

// pace is how long the work's organisation takes to drain it in its turn.
func (g *Gate) pace(w *Work) time.Duration {
	share := g.drain() * g.order.RankShare(g.rank(w.Rank))
	return time.Duration(float64(w.Tokens) / share * float64(time.Second))
}
