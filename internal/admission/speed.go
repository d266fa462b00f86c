package admission

import "time"

const (
	// firstPerSlot is a slot's assumed throughput before any stream was seen,
	// in tokens a second.
	firstPerSlot = 25.0
	speedGain    = 0.05
	// firstRatio is the assumed length of answers over what they may have,
	// before any was seen.
	firstRatio = 0.5
	ratioGain  = 0.1
	// minPerSlot keeps predictions finite, in tokens a second.
	minPerSlot = 1.0
)

// speed learns how fast a replica works and how long answers are.
type speed struct {
	perSlot float64
	// tokens and held are the decayed sums behind perSlot.
	tokens float64
	held   float64
	first  time.Duration
	// ratio is the true length of answers over the estimate, by rank.
	ratio []float64
}

func newSpeed(ranks int) speed {
	s := speed{perSlot: firstPerSlot, tokens: firstPerSlot, held: 1}
	s.resize(ranks)
	return s
}

func (s *speed) resize(ranks int) {
	for len(s.ratio) < ranks {
		s.ratio = append(s.ratio, firstRatio)
	}
}

// estimate scales the tokens that a request may generate to what requests of
// its rank do generate.
func (s *speed) estimate(rank, tokens int) int {
	return max(int(s.ratio[rank]*float64(tokens)), 1)
}

// firstToken is a cautious estimate of the time from the grant to the first
// token.
func (s *speed) firstToken() time.Duration { return 2 * s.first }

// need estimates how long a stream of the given length holds its slot.
func (s *speed) need(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.perSlot * float64(time.Second))
}

// observe learns from a stream that gave its place back.
func (s *speed) observe(rank int, stream *Stream, u Usage, now time.Time) {
	held := now.Sub(stream.Since).Seconds()
	if held <= 0 || u.Tokens <= 0 {
		return
	}
	s.tokens += float64(u.Tokens) - speedGain*s.tokens
	s.held += held - speedGain*s.held
	s.perSlot = max(s.tokens/s.held, minPerSlot)
	if u.First > 0 {
		s.first += time.Duration(speedGain * float64(u.First-s.first))
	}
	if asked := stream.Work.asked; u.Whole && asked > 0 && !stream.Work.Resumed {
		s.ratio[rank] += ratioGain * (min(float64(u.Tokens)/float64(asked), 1) - s.ratio[rank])
	}
}

// nextSlot is the mean time until the rank gets a slot, in seconds: until one
// of the running streams ends, or of its own where more urgent work takes the
// others. It adds whole numbers up, so that the order does not matter.
func (g *Gate) nextSlot(rank int) float64 {
	const scale = 1 << 32
	own := g.contested(rank) && !g.belowFloor(rank)
	var rate int64
	for _, r := range g.running {
		if !own || g.rank(r.Work.order()) == rank {
			rate += scale / int64(max(r.Work.Tokens, 1))
		}
	}
	if rate == 0 {
		return 0
	}
	return scale / (float64(rate) * g.speed.perSlot)
}

// contested tells whether more urgent work that may pause work of the rank
// waits, or overloads the replica.
func (g *Gate) contested(rank int) bool {
	for i := range rank {
		if g.options.Ranks[i].Preempts && g.pressure[i].lasts {
			return true
		}
	}
	return g.disputed(rank)
}
