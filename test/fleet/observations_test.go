package fleet

import (
	"context"
	"strings"
)

// serviceCalls returns how often each idempotency key ran, over all services.
func (sim *simulation) serviceCalls() map[string]int {
	out := map[string]int{}
	for _, s := range sim.dialer.services {
		for _, c := range s.Calls() {
			out[c.Key]++
		}
	}
	return out
}

// storedBills returns the request IDs of the bills stored.
func (sim *simulation) storedBills() []string {
	rows, err := sim.platform.List(context.Background(), "bill/", "", 100_000)
	sim.failures.check(err == nil, "list bills: %v", err)
	out := []string{}
	for _, r := range rows {
		out = append(out, strings.TrimPrefix(r.Key, "bill/"))
	}
	return out
}
