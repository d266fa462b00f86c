package measure

import (
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// maxNodePrefixBlocks bounds an entry node's prefix index, in blocks.
const maxNodePrefixBlocks = 1 << 15

// prefixKnowledge selects what the choice of a replica learns of the replicas'
// prefix caches.
type prefixKnowledge int

const (
	prefixesUnknown      prefixKnowledge = iota
	prefixesSent                         // what the node itself sent
	prefixesSentOrHashed                 // the same, and a second guess by hash that all nodes share
	prefixesExact                        // each replica's true cache
)

// cachedReplicas returns the replicas expected to have the head of the
// request's prompt cached.
func (f *fleet) cachedReplicas(r *simRequest) []routing.CachedPrefix {
	switch f.policy.prefixKnowledge {
	case prefixesSent:
		return f.nodes[r.entryNode].sentPrefixes.Lookup(nil, r.blocks)
	case prefixesSentOrHashed:
		return f.addHashGuess(r, f.nodes[r.entryNode].sentPrefixes.Lookup(nil, r.blocks))
	case prefixesExact:
		var out []routing.CachedPrefix
		for _, o := range f.owners {
			if n := o.engine.prefixes.countLeading(r.blocks); n > 0 {
				out = append(out, routing.CachedPrefix{Replica: o.id, Blocks: n})
			}
		}
		return out
	default:
		return nil
	}
}

// addHashGuess adds the replica that all nodes guess from the request's first
// block.
func (f *fleet) addHashGuess(r *simRequest, cached []routing.CachedPrefix) []routing.CachedPrefix {
	id := f.owners[int(routing.Mix(r.blocks[0], 0)%uint64(len(f.owners)))].id
	for _, c := range cached {
		if c.Replica == id {
			return cached
		}
	}
	return append(cached, routing.CachedPrefix{Replica: id, Blocks: guessedBlocks})
}

// guessedBlocks is the number of cached blocks that a guess by hash counts for.
const guessedBlocks = 2
