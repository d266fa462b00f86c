package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous hash of a key for a node.
func Score(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Rendezvous returns the nodes sorted by their score for key, the highest
// first.
func Rendezvous(nodes []string, key string) []string {
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(b, key), Score(a, key)), cmp.Compare(a, b))
	})
	return out
}

// HighestScoring returns the node with the highest score for key, or "" if there are
// no nodes.
func HighestScoring(nodes []string, key string) string {
	best, bestScore := "", uint64(0)
	for _, n := range nodes {
		if s := Score(n, key); best == "" || s > bestScore || (s == bestScore && n < best) {
			best, bestScore = n, s
		}
	}
	return best
}
