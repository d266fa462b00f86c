package membership

import (
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// minWaitChange and waitDivisor bound the changes of a predicted wait that are not
	// published: it must change by more than minWaitChange, and by more than 1/waitDivisor
	// of its old value.
	minWaitChange = 50 * time.Millisecond
	waitDivisor   = 4
	// loadDivisor bounds the changes of load that are not published: the load must change
	// by more than 1/loadDivisor of the limit.
	loadDivisor = 8
)

// isSignificant reports whether a new state of a replica should be published.
func isSignificant(a, b wire.ReplicaState) bool {
	if !equalExceptLoad(a, b) || a.Limit != b.Limit || len(a.Waits) != len(b.Waits) {
		return true
	}
	if (a.Running == 0) != (b.Running == 0) || abs(a.Running-b.Running) > max(1, a.Limit/loadDivisor) {
		return true
	}
	for i := range a.Waits {
		if abs(a.Waits[i]-b.Waits[i]) > max(minWaitChange, a.Waits[i]/waitDivisor) {
			return true
		}
	}
	return false
}

func abs[N int | time.Duration](n N) N {
	if n < 0 {
		return -n
	}
	return n
}

// equalExceptLoad reports whether two states of a replica agree in all but load.
func equalExceptLoad(a, b wire.ReplicaState) bool {
	return a.Healthy == b.Healthy && a.Leaving == b.Leaving && slices.Equal[[]config.Target](a.Targets, b.Targets)
}
