package dispatch

import "time"

const (
	// maxRememberedSurvivals bounds the survivals that are remembered of a part without a
	// record. A part that begins to crash servers later is still found.
	maxRememberedSurvivals = 3
	// survivalTTL is how long they are remembered.
	survivalTTL = 10 * time.Minute
)

// survivals remembers parts that servers have survived before anything crashed, so that a
// part which many sound requests share is not blamed together with a rare one. The zero
// value is empty.
type survivals struct {
	current, previous map[uint64]uint64 // number of survivals by part
	rotatedAt         time.Time
}

// add counts a survival of each part.
func (s *survivals) add(parts []Part, now time.Time) {
	if s.current == nil || len(s.current) >= maxParts || now.Sub(s.rotatedAt) >= survivalTTL {
		s.current, s.previous, s.rotatedAt = map[uint64]uint64{}, s.current, now
	}
	for _, p := range parts {
		s.current[p.Key] = min(s.current[p.Key]+1, maxRememberedSurvivals)
	}
}

// count returns the number of remembered survivals of a part.
func (s *survivals) count(p Part, now time.Time) uint64 {
	if now.Sub(s.rotatedAt) >= 2*survivalTTL {
		return 0
	}
	return max(s.current[p.Key], s.previous[p.Key])
}
