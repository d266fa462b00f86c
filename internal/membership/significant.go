package membership

import (
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// waitChange and waitShare are the least change of a predicted wait that
	// peers hear of, in time and as a share.
	waitChange = 50 * time.Millisecond
	waitShare  = 4
	// loadShare is the least change of load, as a share of the limit.
	loadShare = 8
)

// significant tells whether peers should hear of a new account.
func significant(a, b wire.ReplicaState) bool {
	if !sameService(a, b) || a.Limit != b.Limit || len(a.Waits) != len(b.Waits) {
		return true
	}
	if (a.Running == 0) != (b.Running == 0) || abs(a.Running-b.Running) > max(1, a.Limit/loadShare) {
		return true
	}
	for i := range a.Waits {
		if abs(a.Waits[i]-b.Waits[i]) > max(waitChange, a.Waits[i]/waitShare) {
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

// sameService tells whether two accounts of a replica agree in all but load.
func sameService(a, b wire.ReplicaState) bool {
	return a.Healthy == b.Healthy && a.Leaving == b.Leaving && slices.Equal[[]config.Target](a.Targets, b.Targets)
}
