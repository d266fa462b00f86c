package admission

import "time"

// Adopt counts a stream that another gate granted, whatever the limit says.
// The work holds its place since the given time; what it was served is charged
// where it was granted.
func (g *Gate) Adopt(now, since time.Time, w *Work) {
	if g.running[w.ID] != nil {
		return
	}
	w.asked = w.Tokens
	w.Tokens = g.speed.estimate(g.rank(w.Rank), w.asked)
	g.occupy(now, &Stream{Work: w, Since: since, adopted: true})
	g.foreign = max(g.foreign-1, 0)
}

// SetForeign tells how many streams run on the replica beside those that hold
// a place here.
func (g *Gate) SetForeign(now time.Time, n int) {
	g.tally(now)
	g.foreign = max(n, 0)
}

// Foreign returns the number of streams that hold no place here.
func (g *Gate) Foreign() int { return g.foreign }

// Batch returns the number of streams on the replica as far as it is known.
func (g *Gate) Batch() int { return len(g.running) + g.foreign }

// occupy counts a stream that holds a place.
func (g *Gate) occupy(now time.Time, s *Stream) {
	g.tally(now)
	s.area = g.area
	w := s.Work
	g.running[w.ID] = s
	g.memory += w.Memory
	g.places[place{w.Organisation, w.order()}]++
	if w.Rank > 0 {
		g.lower++
	}
	if w.promoted {
		g.promoted++
	}
}

// learn takes what a finished stream tells. One that was adopted tells nothing
// of the batch that it shared with others.
func (g *Gate) learn(now time.Time, s *Stream, u Usage) {
	g.speed.observe(g.rank(s.Work.Rank), s, u, now)
	if s.adopted {
		return
	}
	g.order.Correct(s.Work, u.Tokens)
	if held := now.Sub(s.Since).Seconds(); u.Interval > 0 && held > 0 {
		g.limit.Observe(u.Interval, (g.area-s.area)/held)
	}
}
