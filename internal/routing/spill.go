package routing

import (
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// ShortestWait returns the least predicted wait at a usable replica that has
// the version loaded; false if there is none.
func ShortestWait(replicas []Replica, t config.Target, rank int) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for i := range replicas {
		r := &replicas[i]
		if !r.Usable || !slices.Contains(r.Targets, t) {
			continue
		}
		wait := time.Duration(0)
		if n := len(r.Waits); n > 0 {
			wait = r.Waits[min(max(rank, 0), n-1)]
		}
		if !found || wait < best {
			best, found = wait, true
		}
		if best == 0 {
			return 0, true
		}
	}
	return best, found
}

// Spill puts the first version in front that can begin within the given time,
// if the preferred one cannot; the order of the others stays. Where none can,
// nothing changes: waiting for the preferred version is then as good.
func Spill(replicas []Replica, targets []config.Target, rank int, within time.Duration) bool {
	for i, t := range targets {
		wait, ok := ShortestWait(replicas, t, rank)
		if !ok || wait > within {
			continue
		}
		copy(targets[1:i+1], targets[:i])
		targets[0] = t
		return i > 0
	}
	return false
}
