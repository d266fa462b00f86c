package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// GrantedSlot is a slot that a node was granted.
type GrantedSlot struct {
	// Grant identifies the slot. Replica is the replica that it belongs to.
	Grant   string
	Replica string
}

// GrantedBefore returns the slots granted before the given time, by holding node.
func (o *Owner) GrantedBefore(before time.Time) map[string][]GrantedSlot {
	o.mu.Lock()
	list := slices.Collect(maps.Values(o.replicas))
	o.mu.Unlock()
	out := map[string][]GrantedSlot{}
	for _, r := range list {
		r.mu.Lock()
		for grant, h := range r.holders {
			if h.since.Before(before) {
				out[h.args.Node] = append(out[h.args.Node], GrantedSlot{Grant: grant, Replica: r.id})
			}
		}
		r.mu.Unlock()
	}
	return out
}

// Reclaim frees slots that their holders no longer hold.
func (o *Owner) Reclaim(list []GrantedSlot) {
	for _, h := range list {
		o.Release(wire.ReleaseArgs{Grant: h.Grant, Replica: h.Replica})
	}
}
