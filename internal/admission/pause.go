package admission

import "time"

// pauseAnswer is how long a stream may take to pause before another one is
// asked.
const pauseAnswer = 500 * time.Millisecond

// Pause returns a running stream that should be paused now for waiting work,
// or nil. Each stream is returned once.
func (g *Gate) Pause(now time.Time) *Stream {
	g.giveUpPauses(now)
	waiting := 0
	for rank := range g.options.Ranks {
		n := g.order.Waiting(rank)
		waiting += n
		if n == 0 || waiting <= g.pausing {
			continue
		}
		if s := g.victimFor(now, rank); s != nil {
			s.Pausing, s.pausedAt = true, now
			g.pausing++
			return s
		}
	}
	return nil
}

// giveUpPauses no longer counts on streams whose holders do not answer.
func (g *Gate) giveUpPauses(now time.Time) {
	if g.pausing == 0 {
		return
	}
	for _, s := range g.running {
		if s.Pausing && !s.silent && now.Sub(s.pausedAt) > pauseAnswer {
			s.silent = true
			g.pausing--
		}
	}
}

// victimFor returns a stream to be paused for the rank's first work, or nil.
func (g *Gate) victimFor(now time.Time, rank int) *Stream {
	if g.options.Ranks[rank].Preempts {
		if s := g.victim(now, rank); s != nil {
			return s
		}
	}
	w := g.order.Next(now, func(r int) bool { return r == rank })
	if w == nil {
		return nil
	}
	return g.unfair(now, w)
}

// victim returns the least urgent stream that work of the rank may pause, the
// one that loses least among equals, or nil.
func (g *Gate) victim(now time.Time, rank int) *Stream {
	var best *Stream
	counts := g.byRank()
	for _, s := range g.running {
		if !g.mayPause(s, rank, counts) {
			continue
		}
		if best == nil || g.pausedBefore(now, s, best) {
			best = s
		}
	}
	return best
}

// pausedBefore tells whether a is paused rather than b: the less urgent, then
// the one whose pause loses less.
func (g *Gate) pausedBefore(now time.Time, a, b *Stream) bool {
	if a.Work.order() != b.Work.order() {
		return a.Work.order() > b.Work.order()
	}
	if x, y := g.loss(now, a), g.loss(now, b); x != y {
		return x < y
	}
	return a.Work.ID < b.Work.ID
}

// loss estimates the tokens that a stream must compute again if it is paused
// now: its input as far as it was read, and what it has generated.
func (g *Gate) loss(now time.Time, s *Stream) float64 {
	held := now.Sub(s.Since)
	input := float64(s.Work.Memory - s.Work.asked)
	if first := g.speed.first; held < first && !s.Work.Resumed {
		return input * float64(held) / float64(first)
	}
	return input + held.Seconds()*g.speed.perSlot
}

// mayPause tells whether the stream may be paused for the rank: a rank is not
// paused below its floor.
func (g *Gate) mayPause(s *Stream, rank int, counts []int) bool {
	r := g.rank(s.Work.order())
	if r <= rank || s.Pausing || !s.Work.Pausable {
		return false
	}
	return float64(counts[r]-1) >= g.options.Ranks[r].Floor*float64(g.limit.Limit())
}

// disputed tells whether more urgent work waits that may pause work of the
// rank.
func (g *Gate) disputed(rank int) bool {
	for i := range min(rank, len(g.options.Ranks)) {
		if g.options.Ranks[i].Preempts && g.order.Waiting(i) > 0 {
			return true
		}
	}
	return false
}

// belowFloor tells whether one more stream of the rank would not be paused
// for more urgent work.
func (g *Gate) belowFloor(rank int) bool {
	return float64(g.byRank()[rank]) < g.options.Ranks[rank].Floor*float64(g.limit.Limit())
}

// unfair returns the long stream that loses least of the same rank whose organisation
// holds several places while that of the waiting work holds none, or nil.
func (g *Gate) unfair(now time.Time, w *Work) *Stream {
	if !g.options.FairPause || !g.order.Modest(now, w, g.options.Modest) || g.places[place{w.Organisation, w.order()}] > 0 {
		return nil
	}
	var best *Stream
	for _, s := range g.running {
		if s.Work.order() != w.order() || s.Pausing || !s.Work.Pausable || g.speed.need(s.Work.Tokens) < minPaused {
			continue
		}
		if s.Work.Resumed || now.Sub(s.Since) < g.speed.firstToken() {
			continue
		}
		held := float64(g.places[place{s.Work.Organisation, s.Work.order()}])
		if held*weight(w) < unfairTimes*weight(s.Work) {
			continue
		}
		if best == nil || g.pausedBefore(now, s, best) {
			best = s
		}
	}
	return best
}

// byRank counts the streams that run and are not being paused.
func (g *Gate) byRank() []int {
	counts := make([]int, len(g.options.Ranks))
	for _, s := range g.running {
		if !s.Pausing {
			counts[g.rank(s.Work.order())]++
		}
	}
	return counts
}

// willPause tells whether new work would soon get a place by pausing others.
func (g *Gate) willPause(now time.Time, w *Work) bool {
	return g.willPauseLower(g.rank(w.order())) || (g.order.Backlog(w) == 0 && g.unfair(now, w) != nil)
}

func (g *Gate) willPauseLower(rank int) bool {
	if !g.options.Ranks[rank].Preempts {
		return false
	}
	counts := g.byRank()
	n := 0
	for _, s := range g.running {
		if s.Pausing && !s.silent || g.mayPause(s, rank, counts) {
			n++
		}
	}
	for i := range rank {
		if g.order.Waiting(i) > 0 {
			return false
		}
	}
	return n > g.order.Waiting(rank)
}
