package routing

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Nodes of different releases must agree on the scores, whichever way they are worked out.
func TestScorerAgreesWithScore(t *testing.T) {
	is := is.New(t)
	for _, key := range []string{"", "k", strings.Repeat("key", 90)} {
		s := NewScorer(key)
		for _, node := range []string{"", "node-1", strings.Repeat("n", 200), "node-2"} {
			is.Equal(s.Score(node), Score(node, key))
		}
	}
}
