package routing

import (
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// Waits holds the least predicted wait, by rank, at the usable replicas of each
// version. It is worked out once for each view of the replicas.
type Waits map[config.Target][]time.Duration

// NewWaits works the waits out.
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

// Shortest returns the least wait of a rank; false if no usable replica has
// the version loaded.
func (w Waits) Shortest(t config.Target, rank int) (time.Duration, bool) {
	waits, ok := w[t]
	if len(waits) == 0 {
		return 0, ok
	}
	return waits[min(max(rank, 0), len(waits)-1)], true
}

// Spill puts the first version in front that can begin within the given time,
// if the preferred one cannot; the order of the others stays. Where none can,
// nothing changes: waiting for the preferred version is then as good.
func Spill(waits Waits, targets []config.Target, rank int, within time.Duration) bool {
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
