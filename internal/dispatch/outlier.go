package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// outliers tracks the backend servers that fail requests of this node, although
// their owners may still reach them. It is safe for concurrent use.
type outliers struct {
	mu        sync.Mutex
	byReplica map[string]*routing.Outlier // guarded by mu; only replicas with failures
}

func newOutliers() *outliers { return &outliers{byReplica: map[string]*routing.Outlier{}} }

// ejected returns the replicas that should get no request at the given time.
func (o *outliers) ejected(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for id, r := range o.byReplica {
		if r.IsEjected(now) {
			out = append(out, id)
		}
	}
	return out
}

// recordAttempt records that a request is sent to a replica.
func (o *outliers) recordAttempt(now time.Time, replica string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.byReplica[replica]; r != nil {
		r.RecordAttempt(now)
	}
}

// recordRelease records the success or failure of a released slot.
func (o *outliers) recordRelease(now, began time.Time, replica string, args wire.ReleaseArgs) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.byReplica[replica]
	switch {
	case isServerFailure(args.Failed):
		if r == nil {
			r = &routing.Outlier{}
			o.byReplica[replica] = r
		}
		r.RecordFailure(now, began, rand.Float64())
	case r != nil && args.Failed == "" && args.Tokens > 0:
		r.RecordSuccess()
		if r.IsHealthy() {
			delete(o.byReplica, replica)
		}
	}
}

// isServerFailure reports whether a failure counts against the backend server.
func isServerFailure(kind backend.Kind) bool {
	return kind == backend.KindConnect || kind == backend.KindBroken
}
