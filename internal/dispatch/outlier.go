package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// outliers are the backend servers that fail the requests of this node, though
// their owners may reach them. It is safe for concurrent use.
type outliers struct {
	mu        sync.Mutex
	byReplica map[string]*routing.Outlier // guarded by mu; those with failures
}

func newOutliers() *outliers { return &outliers{byReplica: map[string]*routing.Outlier{}} }

// ejected lists the replicas that should get no request at now.
func (o *outliers) ejected(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for id, r := range o.byReplica {
		if r.Ejected(now) {
			out = append(out, id)
		}
	}
	return out
}

// try notes that a request is sent to a replica.
func (o *outliers) try(now time.Time, replica string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.byReplica[replica]; r != nil {
		r.Try(now)
	}
}

// note takes what a released place tells of its replica.
func (o *outliers) note(now, began time.Time, replica string, args wire.ReleaseArgs) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.byReplica[replica]
	switch {
	case failing(args.Failed):
		if r == nil {
			r = &routing.Outlier{}
			o.byReplica[replica] = r
		}
		r.Fail(now, began, rand.Float64())
	case r != nil && args.Failed == "" && args.Tokens > 0:
		r.Succeed()
		if r.Healthy() {
			delete(o.byReplica, replica)
		}
	}
}

// failing tells whether a failure speaks against the backend server.
func failing(kind backend.Kind) bool {
	return kind == backend.KindConnect || kind == backend.KindBroken
}
