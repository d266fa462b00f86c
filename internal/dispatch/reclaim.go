package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Held is a place that a node was granted.
type Held struct {
	// Grant identifies the place, Replica tells where it is.
	Grant   string
	Replica string
}

// Held returns the places granted before the given time, by holder.
func (o *Owner) Held(before time.Time) map[string][]Held {
	o.mu.Lock()
	list := slices.Collect(maps.Values(o.replicas))
	o.mu.Unlock()
	out := map[string][]Held{}
	for _, r := range list {
		r.mu.Lock()
		for grant, h := range r.holders {
			if h.since.Before(before) {
				out[h.args.Node] = append(out[h.args.Node], Held{Grant: grant, Replica: r.id})
			}
		}
		r.mu.Unlock()
	}
	return out
}

// Reclaim takes back places that their holders do not hold any more.
func (o *Owner) Reclaim(list []Held) {
	for _, h := range list {
		o.Release(wire.ReleaseArgs{Grant: h.Grant, Replica: h.Replica})
	}
}
