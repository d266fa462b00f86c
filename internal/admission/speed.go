package admission

import "time"

const (
	// firstPerSlot is a slot's assumed throughput before any stream was seen,
	// in tokens a second.
	firstPerSlot = 25.0
	speedGain    = 0.05
	// minPerSlot keeps predictions finite, in tokens a second.
	minPerSlot = 1.0
)

// speed learns how fast a replica works and how long answers are.
type speed struct {
	perSlot float64
	// ratio is the true length of answers over the estimate, by rank.
	ratio []float64
}

func newSpeed(ranks int) speed {
	s := speed{perSlot: firstPerSlot}
	s.resize(ranks)
	return s
}

func (s *speed) resize(ranks int) {
	for len(s.ratio) < ranks {
		s.ratio = append(s.ratio, 1)
	}
}

// estimate scales the tokens that a request may generate to what requests of
// its rank do generate.
func (s *speed) estimate(rank, tokens int) int {
	return max(int(s.ratio[rank]*float64(tokens)), 1)
}

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
	s.perSlot = max(s.perSlot+speedGain*(float64(u.Tokens)/held-s.perSlot), minPerSlot)
	if u.Whole {
		asked := float64(stream.Work.Tokens) / s.ratio[rank]
		s.ratio[rank] += speedGain * (min(float64(u.Tokens)/max(asked, 1), 1) - s.ratio[rank])
	}
}

// service is the mean time that a running stream holds its slot, in seconds.
func (s *speed) service(running map[string]*Stream) float64 {
	total := 0
	for _, r := range running {
		total += r.Work.Tokens
	}
	return float64(total) / float64(max(len(running), 1)) / s.perSlot
}
