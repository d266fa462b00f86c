package routing

import (
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// Waits holds the shortest predicted wait of each version's usable replicas, by
// rank. It is computed once for each view of the replicas.
type Waits map[config.Target][]time.Duration

// NewWaits computes the shortest waits of the replicas.
func NewWaits(replicas []Replica) Waits {
	w := Waits{}
	for i := range replicas {
		r := &replicas[i]
		if !r.Usable {
			continue
		}
		for _, t := range r.Targets {
			w.add(t, r.Waits)
		}
	}
	return w
}

// add lowers the waits of a version to those of one more replica.
func (w Waits) add(t config.Target, waits []time.Duration) {
	best, ok := w[t]
	if !ok || len(best) != len(waits) {
		w[t] = slices.Clone(waits)
		return
	}
	for rank, wait := range waits {
		best[rank] = min(best[rank], wait)
	}
}

// Shortest returns the shortest wait of a rank. It returns false if no usable
// replica has loaded the version.
func (w Waits) Shortest(t config.Target, rank int) (time.Duration, bool) {
	waits, ok := w[t]
	if len(waits) == 0 {
		return 0, ok
	}
	return waits[min(max(rank, 0), len(waits)-1)], true
}

// Overflow moves the first version that can start within the given time to the
// front if the preferred version cannot. The order of the others does not
// change. If no version can start in time, nothing changes, because waiting for
// the preferred version is then equally good. Overflow reports whether the order
// changed.
func Overflow(waits Waits, targets []config.Target, rank int, within time.Duration) bool {
	for i, t := range targets {
		wait, ok := waits.Shortest(t, rank)
		if !ok || wait > within {
			continue
		}
		copy(targets[1:i+1], targets[:i])
		targets[0] = t
		return i > 0
	}
	return false
}
