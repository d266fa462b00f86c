package dispatch

import "time"

// TrialInterval is the least time between a crash and the next request with a part that
// is suspected for it, so that the next crash has a moment of its own.
const TrialInterval = momentGap + 50*time.Millisecond

// SuspectedParts returns those of the parts that are suspected and not quarantined, and
// when this node learned of the last crash of one of them.
func (s *Suspects) SuspectedParts(parts []Part) (suspected []Part, lastCrash time.Time) {
	if s.suspectedParts.Load() == 0 {
		return nil, time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range parts {
		r := s.parts.byKey[p.Key]
		if r == nil || !r.isCounted || r.isConvicted {
			continue
		}
		suspected = append(suspected, p)
		for _, c := range r.crashes {
			if c.seen.After(lastCrash) {
				lastCrash = c.seen
			}
		}
	}
	return suspected, lastCrash
}
