package routing

import "github.com/cespare/xxhash/v2"

// Scorer returns the scores of one node. It hashes the node's name once.
type Scorer struct{ node xxhash.Digest }

// NewScorer returns the scorer of a node.
func NewScorer(node string) Scorer {
	var s Scorer
	s.node.Reset()
	_, _ = s.node.WriteString(node)
	_, _ = s.node.WriteString("\x00")
	return s
}

// Score returns the same as the function Score.
func (s *Scorer) Score(key string) uint64 {
	d := s.node
	_, _ = d.WriteString(key)
	return d.Sum64()
}
