package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// Replica is the state of one replica as used for routing.
type Replica struct {
	// ID is the name of the replica's VM. Address is where it serves requests.
	ID      string
	Address string
	// Pool is the replica's pool or plain service. DataCentre is its location.
	Pool       string
	DataCentre string
	// Owner is the node that queues requests for it.
	Owner string
	// Targets are the loaded versions.
	Targets []config.Target
	// Running counts the granted streams. Limit is how many may run.
	Running int
	Limit   int
	// Waits is the predicted queue wait by rank order.
	Waits []time.Duration
	// Usable is false for a replica that is unhealthy, draining or without an
	// owner.
	Usable bool
	// Headroom is the fraction of slots, 0 to 1, that the replica keeps free as
	// headroom for the most urgent rank.
	Headroom float64
}

// ReplicaRequest describes a choice of a replica.
type ReplicaRequest struct {
	// Target is the version to run. It is zero for a plain service.
	Target config.Target
	// Pool limits the choice to one plain service. It is empty for engines.
	Pool string
	// DataCentre is the data centre of the requesting node.
	DataCentre string
	// Rank is the position of the request's rank. 0 is the most urgent.
	Rank int
	// Excluded lists replicas that already failed or refused this request, or
	// that failed other requests recently.
	Excluded []string
	// InQuietHours reports where quiet hours forbid the work. It may be nil.
	InQuietHours func(dataCentre, pool string) bool
	// Draw is a random number that selects the sample and breaks ties.
	Draw uint64
	// Choices is the number of replicas to sample in addition to those with a
	// cached prefix. 0 means all replicas.
	Choices int
	// Cached lists replicas that have the start of the prompt in their cache.
	Cached []CachedPrefix
	// StartedOn is the replica on which the answer started and whose prefix cache
	// holds it. It is empty if the answer has not started.
	StartedOn string
	// Recent counts the requests sent since loads were published. Nil counts
	// nothing. Now is the current time.
	Recent *RecentSends
	Now    time.Time
}

// Penalties of the replica cost, as time to the first token.
const (
	remotePenalty   = 15 * time.Millisecond
	prefillPerBlock = 6 * time.Millisecond
	occupiedPenalty = 40 * time.Millisecond
	queuedPenalty   = 60 * time.Millisecond
)

const (
	// QuickWait is the longest published wait at which an owner is expected to
	// answer at once.
	QuickWait = 100 * time.Millisecond
	// QuickAnswer is how long an owner that is expected to answer at once may
	// take before another owner is asked.
	QuickAnswer = 500 * time.Millisecond
)

// DefaultChoices is the number of replicas that a choice samples, so that nodes
// with the same outdated view do not all choose the same replica.
const DefaultChoices = 8

// headroomChoices is the number of additional replicas with headroom that are
// sampled for the most urgent rank.
const headroomChoices = 4

// ChooseReplica returns the index of the best replica for the request, or -1 if
// none can run it. Replicas must be sorted by ID.
func ChooseReplica(replicas []Replica, req ReplicaRequest) int {
	c := choice{replicas: replicas, req: &req, best: -1}
	for _, prefix := range req.Cached {
		if at := FindReplica(replicas, prefix.Replica); at >= 0 {
			c.consider(at, prefix.Blocks)
		}
	}
	if req.Choices > 0 && req.Choices < len(replicas) {
		c.sample()
	} else {
		for i := range replicas {
			c.consider(i, 0)
		}
	}
	c.preferStarted()
	return c.best
}

// FindReplica returns the index of the replica with the given ID, or -1. Replicas must
// be sorted by ID.
func FindReplica(replicas []Replica, id string) int {
	at, ok := slices.BinarySearchFunc(replicas, id, func(r Replica, id string) int { return cmp.Compare(r.ID, id) })
	if !ok {
		return -1
	}
	return at
}

// choice is the state of a search for the cheapest replica.
type choice struct {
	replicas []Replica
	req      *ReplicaRequest
	best     int
	cost     time.Duration
	ties     uint64
}

// consider compares one replica with the best one so far and reports whether it
// is eligible. cached is the number of prompt blocks in its cache.
func (c *choice) consider(i, cached int) bool {
	r := &c.replicas[i]
	if !eligible(r, c.req) {
		return false
	}
	cost := replicaCost(r, c.req) - time.Duration(cached)*prefillPerBlock
	switch {
	case c.best < 0 || cost < c.cost:
		c.best, c.cost, c.ties = i, cost, 1
	case cost == c.cost && i != c.best:
		c.ties++
		if Mix(c.req.Draw, uint64(i))%c.ties == 0 {
			c.best = i
		}
	}
	return true
}

// preferStarted returns the answer to the replica on which it started if it
// would have to queue on the best one as well: any other replica has to process
// the whole prompt again.
func (c *choice) preferStarted() {
	started := FindReplica(c.replicas, c.req.StartedOn)
	if started < 0 || c.best < 0 || c.replicas[c.best].wait(c.req.Rank) <= QuickWait {
		return
	}
	if eligible(&c.replicas[started], c.req) {
		c.best = started
	}
}

// sample considers randomly drawn replicas. Every second one is from the node's
// data centre if that has an eligible one. For the most urgent rank, sample
// also considers some replicas with headroom.
func (c *choice) sample() {
	n := uint64(len(c.replicas))
	for k := range c.req.Choices {
		start := Mix(c.req.Draw, uint64(k)) % n
		preferLocal := k%2 == 0
		if !c.considerFrom(start, preferLocal, false) && preferLocal {
			c.considerFrom(start, false, false)
		}
		if c.req.Rank <= 0 && k < headroomChoices {
			c.considerFrom(start, preferLocal, true)
		}
	}
}

// considerFrom considers the first eligible replica from start on, and reports
// whether there was one.
func (c *choice) considerFrom(start uint64, localOnly, headroomOnly bool) bool {
	n := uint64(len(c.replicas))
	for i := range n {
		at := int((start + i) % n)
		r := &c.replicas[at]
		if localOnly && r.DataCentre != c.req.DataCentre || headroomOnly && r.Headroom <= 0 {
			continue
		}
		if c.consider(at, 0) {
			return true
		}
	}
	return false
}

// Mix hashes two numbers into one.
func Mix(a, b uint64) uint64 {
	x := a ^ (b+1)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

// eligible reports whether a replica may run the request.
func eligible(r *Replica, req *ReplicaRequest) bool {
	if !r.Usable {
		return false
	}
	if req.Pool != "" && r.Pool != req.Pool {
		return false
	}
	if req.Pool == "" && !slices.Contains(r.Targets, req.Target) {
		return false
	}
	if req.InQuietHours != nil && req.InQuietHours(r.DataCentre, r.Pool) {
		return false
	}
	return !slices.Contains(req.Excluded, r.ID)
}

// wait returns the published wait of a rank.
func (r *Replica) wait(rank int) time.Duration {
	n := len(r.Waits)
	if n == 0 {
		return 0
	}
	return r.Waits[min(max(rank, 0), n-1)]
}

// replicaCost estimates the time to the first token, without the savings of a
// cached prefix.
func replicaCost(r *Replica, req *ReplicaRequest) time.Duration {
	cost := r.wait(req.Rank)
	sent := req.Recent.count(req.Now, r.ID)
	if r.Limit > 0 {
		cost += occupiedPenalty * time.Duration(r.Running+sent) / time.Duration(r.Limit)
	}
	if over := r.Running + sent - r.Limit; sent > 0 && over > 0 {
		cost += queuedPenalty * time.Duration(min(over, sent))
	}
	if r.DataCentre != req.DataCentre {
		cost += remotePenalty
	}
	return cost
}
