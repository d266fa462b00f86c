package fleet

import (
	"context"
	"strings"
)

// calls returns how often each key was carried out, by all services.
func (w *world) calls() map[string]int {
	out := map[string]int{}
	for _, s := range w.dialer.services {
		for _, c := range s.Calls() {
			out[c.Key]++
		}
	}
	return out
}

// bills returns the keys of the bills stored.
func (w *world) bills() []string {
	rows, err := w.platform.List(context.Background(), "bill/", "", 100_000)
	w.faults.check(err == nil, "list bills: %v", err)
	out := []string{}
	for _, r := range rows {
		out = append(out, strings.TrimPrefix(r.Key, "bill/"))
	}
	return out
}
