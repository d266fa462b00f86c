package admission

import "time"

// pauseTimeout is how long a stream may take to pause before another stream is
// asked.
const pauseTimeout = 500 * time.Millisecond

// TakeVictim returns a running stream that should be paused now for waiting work, or
// nil. It returns each stream once.
func (g *Gate) TakeVictim(now time.Time) *Stream {
	g.expirePauses(now)
	if g.rateWait(now, 0) > 0 {
		// A free slot would not be granted, and the paused stream takes one more request.
		return nil
	}
	waiting := 0
	for rank := range g.options.Ranks {
		n := g.order.Waiting(rank)
		waiting += n
		if n == 0 || waiting <= g.pausing {
			continue
		}
		if s := g.victimFor(now, rank); s != nil {
			s.IsPausing, s.pausedAt = true, now
			g.pausing++
			return s
		}
	}
	return nil
}

// expirePauses stops counting on streams whose holders did not pause them in
// time.
func (g *Gate) expirePauses(now time.Time) {
	if g.pausing == 0 {
		return
	}
	for _, s := range g.running {
		if s.IsPausing && !s.hasIgnoredPause && now.Sub(s.pausedAt) > pauseTimeout {
			s.hasIgnoredPause = true
			g.pausing--
		}
	}
}

// victimFor returns a stream to pause for the rank's first work, or nil.
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
	return g.fairPauseVictim(now, w)
}

// victim returns the least urgent stream that work of the rank may pause, or
// nil. Among equals it chooses the one whose pause loses least.
func (g *Gate) victim(now time.Time, rank int) *Stream {
	var best *Stream
	counts := g.runningByRank()
	for _, s := range g.running {
		if !g.mayPause(s, rank, counts) {
			continue
		}
		if best == nil || g.isBetterVictim(now, s, best) {
			best = s
		}
	}
	return best
}

// isBetterVictim reports whether a is paused rather than b: the less urgent
// one, then the one whose pause loses less.
func (g *Gate) isBetterVictim(now time.Time, a, b *Stream) bool {
	if a.Work.order() != b.Work.order() {
		return a.Work.order() > b.Work.order()
	}
	if x, y := g.pauseLoss(now, a), g.pauseLoss(now, b); x != y {
		return x < y
	}
	return a.Work.ID < b.Work.ID
}

// pauseLoss estimates the tokens that a stream must compute again if it is
// paused now: the part of its input that was read, and its generated tokens.
func (g *Gate) pauseLoss(now time.Time, s *Stream) float64 {
	held := now.Sub(s.Since)
	input := float64(s.Work.Memory - s.Work.requestedTokens)
	if first := g.speed.meanFirstToken; held < first && !s.Work.Resumed {
		return input * float64(held) / float64(first)
	}
	return input + held.Seconds()*g.speed.perSlot
}

// mayPause reports whether the stream may be paused for the rank. No rank is
// paused below its floor.
func (g *Gate) mayPause(s *Stream, rank int, counts []int) bool {
	r := g.rank(s.Work.order())
	if r <= rank || s.IsPausing || !s.Work.Pausable {
		return false
	}
	return float64(counts[r]-1) >= g.options.Ranks[r].Floor*float64(g.limit.Limit())
}

// hasUrgentWaiting reports whether more urgent work that may pause work of the
// rank waits.
func (g *Gate) hasUrgentWaiting(rank int) bool {
	for i := range min(rank, len(g.options.Ranks)) {
		if g.options.Ranks[i].Preempts && g.order.Waiting(i) > 0 {
			return true
		}
	}
	return false
}

// isBelowFloor reports whether one more stream of the rank could not be paused
// for more urgent work.
func (g *Gate) isBelowFloor(rank int) bool {
	return float64(g.runningByRank()[rank]) < g.options.Ranks[rank].Floor*float64(g.limit.Limit())
}

// fairPauseVictim returns a long stream of the same rank whose organisation
// holds several slots while that of the waiting work holds none, or nil. It
// chooses the stream whose pause loses least.
func (g *Gate) fairPauseVictim(now time.Time, w *Work) *Stream {
	if !g.options.FairPause || !g.order.IsLowUse(now, w, g.options.LowUseShare) || g.slotsHeld[slotHolder{w.Organisation, w.order()}] > 0 {
		return nil
	}
	var best *Stream
	for _, s := range g.running {
		if s.Work.order() != w.order() || s.IsPausing || !s.Work.Pausable || g.speed.slotTime(s.Work.Tokens) < minVictimTime {
			continue
		}
		if s.Work.Resumed || now.Sub(s.Since) < g.speed.firstToken() {
			continue
		}
		held := float64(g.slotsHeld[slotHolder{s.Work.Organisation, s.Work.order()}])
		if held*weight(w) < unfairFactor*weight(s.Work) {
			continue
		}
		if best == nil || g.isBetterVictim(now, s, best) {
			best = s
		}
	}
	return best
}

// runningByRank counts the running streams that are not being paused.
func (g *Gate) runningByRank() []int {
	counts := make([]int, len(g.options.Ranks))
	for _, s := range g.running {
		if !s.IsPausing {
			counts[g.rank(s.Work.order())]++
		}
	}
	return counts
}

// willPause reports whether new work would soon get a slot by pausing other
// streams.
func (g *Gate) willPause(now time.Time, w *Work) bool {
	return g.willPauseLower(g.rank(w.order())) || (g.order.Backlog(w) == 0 && g.fairPauseVictim(now, w) != nil)
}

func (g *Gate) willPauseLower(rank int) bool {
	if !g.options.Ranks[rank].Preempts {
		return false
	}
	counts := g.runningByRank()
	n := 0
	for _, s := range g.running {
		if s.IsPausing && !s.hasIgnoredPause || g.mayPause(s, rank, counts) {
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
