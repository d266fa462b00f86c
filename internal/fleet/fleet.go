// Package fleet brings model engines to the state that the configuration asks
// for: it sends orders to load and unload versions under a lease, with a
// fencing number, one holder for each pool.
//
// Orders are idempotent and made out of what the engines report, never out of
// what was ordered before. A holder that was paused may send a late order;
// engines that check fencing numbers refuse it, and at those that do not the
// present holder sees the wrong state in the next report and orders again.
package fleet

import (
	"slices"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
)

// Desired returns the versions that the engines of a pool should have loaded:
// those of the configuration that are not withdrawn.
func Desired(rev *config.Revision, pool string) []config.Target {
	p := rev.Config.Pools[pool]
	if p == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(p.Targets), rev.IsWithdrawn)
}

// Plan returns the orders that bring an engine from the versions it reports to
// the desired ones: loads first, so that it always has work.
func Plan(desired, reported []config.Target) []backend.Order {
	var orders []backend.Order
	for _, t := range desired {
		if !slices.Contains(reported, t) {
			orders = append(orders, backend.Order{Kind: backend.OrderLoad, Target: t})
		}
	}
	for _, t := range reported {
		if !slices.Contains(desired, t) {
			orders = append(orders, backend.Order{Kind: backend.OrderUnload, Target: t})
		}
	}
	return orders
}
