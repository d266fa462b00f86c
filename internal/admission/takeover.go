package admission

import "time"

// TakeOver counts a stream that another gate granted, whatever the limit is. The
// work has held its slot since the given time. Its tokens were charged by the
// other gate.
func (g *Gate) TakeOver(now, since time.Time, w *Work) {
	if g.running[w.ID] != nil {
		return
	}
	w.requestedTokens = w.Tokens
	w.Tokens = g.speed.estimate(g.rank(w.Rank), w.requestedTokens)
	g.occupy(now, &Stream{Work: w, Since: since, takenOver: true})
	g.foreign = max(g.foreign-1, 0)
}

// SetForeign sets the number of streams that run on the replica without a slot
// of this gate.
func (g *Gate) SetForeign(now time.Time, n int) {
	g.integrateBatch(now)
	g.foreign = max(n, 0)
}

// Foreign returns the number of streams without a slot of this gate.
func (g *Gate) Foreign() int { return g.foreign }

// Batch returns the number of streams known to run on the replica.
func (g *Gate) Batch() int { return len(g.running) + g.foreign }

// occupy counts a stream that holds a slot.
func (g *Gate) occupy(now time.Time, s *Stream) {
	g.integrateBatch(now)
	s.streamSecondsAtGrant = g.streamSeconds
	w := s.Work
	g.running[w.ID] = s
	g.memory += w.Memory
	g.slotsHeld[slotHolder{w.Organisation, w.order()}]++
	if w.Rank > 0 {
		g.lowerRanks++
	}
	if w.promoted {
		g.promoted++
	}
}

// learn updates the estimates and the charge from a finished stream. A stream
// that was taken over does not count for the limit, because its mean batch is
// unknown, nor for the charge, because the other gate charged it.
func (g *Gate) learn(now time.Time, s *Stream, u Usage) {
	g.speed.observe(g.rank(s.Work.Rank), s, u, now)
	if s.takenOver {
		return
	}
	g.order.Correct(s.Work, u.Tokens)
	if held := now.Sub(s.Since).Seconds(); u.TokenInterval > 0 && held > 0 {
		g.limit.Observe(u.TokenInterval, (g.streamSeconds-s.streamSecondsAtGrant)/held)
	}
}
