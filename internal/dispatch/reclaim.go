package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Held is a slot that a node was granted.
type Held struct {
	// Grant identifies the slot. Replica is the replica that it belongs to.
	Grant   string
	Replica string
}

// Held returns the slots granted before the given time, by holding node.
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

// Reclaim frees slots that their holders no longer hold.
func (o *Owner) Reclaim(list []Held) {
	for _, h := range list {
		o.Release(wire.ReleaseArgs{Grant: h.Grant, Replica: h.Replica})
	}
}
