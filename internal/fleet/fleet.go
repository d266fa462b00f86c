// Package fleet keeps the model versions that model engines have loaded in line
// with the configuration. For each pool, the node that holds the pool's lease
// sends load and unload orders with a fencing number.
//
// Orders are idempotent and derived from the engines' reports, never from
// earlier orders. A holder that was paused may send a late order. Engines that
// check fencing numbers refuse it; for the others, the present holder sees the
// wrong state in the next report and orders again.
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

// Plan returns the orders that bring an engine from the reported versions to
// the desired ones: loads first, so that the engine can always serve.
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
