package measure

import (
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// nodePrefixes bounds what an entry node remembers, in blocks.
const nodePrefixes = 1 << 15

// prefixKnowledge tells what a choice knows of the replicas' prefix caches.
type prefixKnowledge int

const (
	knowsNothing prefixKnowledge = iota
	knowsOwn                     // what the node itself sent
	knowsShared                  // the same, and a common second guess by hash
	knowsAll                     // each replica's true cache
)

// cached returns the replicas that are thought to hold the request's head.
func (f *fleet) cached(r *simRequest) []routing.CachedPrefix {
	switch f.policy.prefixes {
	case knowsOwn:
		return f.nodes[r.home].memory.Lookup(nil, r.blocks)
	case knowsShared:
		return f.common(r, f.nodes[r.home].memory.Lookup(nil, r.blocks))
	case knowsAll:
		var out []routing.CachedPrefix
		for _, o := range f.owners {
			if n := o.engine.cached.match(r.blocks); n > 0 {
				out = append(out, routing.CachedPrefix{Replica: o.id, Blocks: n})
			}
		}
		return out
	default:
		return nil
	}
}

// common adds the replica that all nodes guess for the request's first block.
func (f *fleet) common(r *simRequest, known []routing.CachedPrefix) []routing.CachedPrefix {
	id := f.owners[int(routing.Mix(r.blocks[0], 0)%uint64(len(f.owners)))].id
	for _, k := range known {
		if k.Replica == id {
			return known
		}
	}
	return append(known, routing.CachedPrefix{Replica: id, Blocks: guessedBlocks})
}

// guessedBlocks is what a common guess is worth.
const guessedBlocks = 2
