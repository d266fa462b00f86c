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
func (f *fleet) cached(r *simRequest) []routing.CachedAt {
	switch f.policy.prefixes {
	case knowsOwn:
		return f.nodes[r.home].memory.Lookup(nil, r.blocks)
	case knowsAll:
		var out []routing.CachedAt
		for _, o := range f.owners {
			if n := o.engine.cached.match(r.blocks); n > 0 {
				out = append(out, routing.CachedAt{Replica: o.id, Blocks: n})
			}
		}
		return out
	default:
		return nil
	}
}
