package admission

import "time"

const (
	// initialPerSlot is the assumed throughput of a slot before the first
	// observation, in tokens per second.
	initialPerSlot = 25.0
	speedGain      = 0.05
	ratioGain      = 0.1
	// minPerSlot keeps predictions finite, in tokens per second.
	minPerSlot = 1.0
)

// speed learns the throughput of a replica and the length of its answers.
type speed struct {
	perSlot float64 // tokens per second
	// tokens and held are the decaying sums of which perSlot is the quotient.
	tokens         float64
	held           float64
	meanFirstToken time.Duration
	// lengthRatio is the true length of answers over the estimated one, by
	// rank.
	lengthRatio []float64
}

func newSpeed(ranks int) speed {
	s := speed{perSlot: initialPerSlot, tokens: initialPerSlot, held: 1}
	s.resize(ranks)
	return s
}

func (s *speed) resize(ranks int) {
	for len(s.lengthRatio) < ranks {
		s.lengthRatio = append(s.lengthRatio, 1)
	}
}

// estimate scales the tokens that a request may generate to the length that
// requests of its rank usually have.
func (s *speed) estimate(rank, tokens int) int {
	return max(int(s.lengthRatio[rank]*float64(tokens)), 1)
}

// firstToken returns a cautious estimate of the time from the grant to the
// first token: twice the mean.
func (s *speed) firstToken() time.Duration { return 2 * s.meanFirstToken }

// slotTime estimates how long a stream of the given length holds its slot.
func (s *speed) slotTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.perSlot * float64(time.Second))
}

// observe updates the estimates from a stream that released its slot.
func (s *speed) observe(rank int, stream *Stream, u Usage, now time.Time) {
	held := now.Sub(stream.Since).Seconds()
	if held <= 0 || u.Tokens <= 0 {
		return
	}
	s.tokens += float64(u.Tokens) - speedGain*s.tokens
	s.held += held - speedGain*s.held
	s.perSlot = max(s.tokens/s.held, minPerSlot)
	if u.FirstToken > 0 {
		s.meanFirstToken += time.Duration(speedGain * float64(u.FirstToken-s.meanFirstToken))
	}
	if requested := stream.Work.requestedTokens; u.IsComplete && requested > 0 && !stream.Work.Resumed {
		s.lengthRatio[rank] += ratioGain * (min(float64(u.Tokens)/float64(requested), 1) - s.lengthRatio[rank])
	}
}

// nextSlot returns the mean time until the rank gets a slot, in seconds: until
// any running stream ends, or one of the rank's own streams if more urgent work
// takes the other slots. It adds integers, so that the result does not depend
// on the order of the map.
func (g *Gate) nextSlot(rank int) float64 {
	const scale = 1 << 32
	ownOnly := g.isContended(rank) && !g.isBelowFloor(rank)
	var rate int64
	for _, r := range g.running {
		if !ownOnly || g.rank(r.Work.order()) == rank {
			rate += scale / int64(max(r.Work.Tokens, 1))
		}
	}
	if rate == 0 {
		return 0
	}
	return scale / (float64(rate) * g.speed.perSlot)
}

// isContended reports whether more urgent work that may pause work of the rank
// waits, or overloads the replica.
func (g *Gate) isContended(rank int) bool {
	for i := range rank {
		if g.options.Ranks[i].Preempts && g.pressure[i].isLasting {
			return true
		}
	}
	return g.hasUrgentWaiting(rank)
}
