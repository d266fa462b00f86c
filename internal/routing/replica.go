package routing

import (
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// Replica is what the choice of a replica knows of one.
type Replica struct {
	// ID is the replica's VM name, Address where it serves.
	ID      string
	Address string
	// Pool is its pool or plain service, DataCentre where it stands.
	Pool       string
	DataCentre string
	// Owner is the node that queues for it.
	Owner string
	// Targets are the versions loaded.
	Targets []config.Target
	// Running counts granted streams, Limit how many may run.
	Running int
	Limit   int
	// Waits is the predicted queue wait by rank order.
	Waits []time.Duration
	// Usable is false for a replica that is unhealthy, leaving or without an
	// owner.
	Usable bool
}

// ReplicaRequest is what the choice of a replica needs to know.
type ReplicaRequest struct {
	// Target is the version to run; zero for a plain service.
	Target config.Target
	// Pool limits the choice to one plain service; empty for engines.
	Pool string
	// DataCentre is the asking node's.
	DataCentre string
	// Rank is the rank's order.
	Rank int
	// Excluded lists replicas that failed this request.
	Excluded []string
	// Closed tells where quiet hours forbid the work; may be nil.
	Closed func(dataCentre, pool string) bool
	// Draw is a random number that breaks ties.
	Draw uint64
	// Cached returns the number of prompt tokens cached at a replica; nil if
	// nothing is known.
	Cached func(replica string) int
}

// Costs that make choices comparable, as time.
const (
	farPenalty      = 15 * time.Millisecond
	prefillPerToken = 200 * time.Microsecond
	occupiedPenalty = 40 * time.Millisecond
)

// ChooseReplica returns the index of the best replica for the request, or -1
// if none can run it.
func ChooseReplica(replicas []Replica, req ReplicaRequest) int {
	best, bestCost, ties := -1, time.Duration(0), uint64(0)
	for i := range replicas {
		r := &replicas[i]
		if !eligible(r, req) {
			continue
		}
		cost := replicaCost(r, req)
		switch {
		case best < 0 || cost < bestCost:
			best, bestCost, ties = i, cost, 1
		case cost == bestCost:
			ties++
			if mix(req.Draw, uint64(i))%ties == 0 {
				best = i
			}
		}
	}
	return best
}

// mix scrambles two numbers into one.
func mix(a, b uint64) uint64 {
	x := a ^ (b+1)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

func eligible(r *Replica, req ReplicaRequest) bool {
	if !r.Usable {
		return false
	}
	if req.Pool != "" && r.Pool != req.Pool {
		return false
	}
	if req.Pool == "" && !slices.Contains(r.Targets, req.Target) {
		return false
	}
	if req.Closed != nil && req.Closed(r.DataCentre, r.Pool) {
		return false
	}
	return !slices.Contains(req.Excluded, r.ID)
}

// replicaCost estimates the time to the first token.
func replicaCost(r *Replica, req ReplicaRequest) time.Duration {
	cost := time.Duration(0)
	if n := len(r.Waits); n > 0 {
		cost += r.Waits[min(max(req.Rank, 0), n-1)]
	}
	if r.Limit > 0 {
		cost += occupiedPenalty * time.Duration(r.Running) / time.Duration(r.Limit)
	}
	if r.DataCentre != req.DataCentre {
		cost += farPenalty
	}
	if req.Cached != nil {
		cost -= time.Duration(req.Cached(r.ID)) * prefillPerToken
	}
	return cost
}
