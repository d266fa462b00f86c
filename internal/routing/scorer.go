package routing

import "github.com/cespare/xxhash/v2"

// Scorer returns scores of many nodes for one key. It is not safe for concurrent use.
type Scorer struct {
	key    string
	buffer []byte
}

// NewScorer returns a scorer for a key.
func NewScorer(key string) Scorer { return Scorer{key: key, buffer: make([]byte, 0, 128)} }

// Score returns the same as the function Score.
func (s *Scorer) Score(node string) uint64 {
	s.buffer = append(append(append(s.buffer[:0], node...), 0), s.key...)
	return xxhash.Sum64(s.buffer)
}
