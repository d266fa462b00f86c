package routing

import (
	"cmp"
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
	// Room is the part of its slots, 0 to 1, that it keeps free for the most
	// urgent rank.
	Room float64
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
	// Choices is how many replicas are looked at beside those that hold a
	// prefix; 0 stands for all.
	Choices int
	// Cached lists replicas that hold the head of the prompt.
	Cached []CachedAt
	// Began is the replica where the answer began and whose prefix cache holds
	// it; empty if it has not begun.
	Began string
	// Recent counts what was sent since loads were published; nil counts
	// nothing. Now is the present time.
	Recent *Recent
	Now    time.Time
}

// Costs that make choices comparable, as time.
const (
	farPenalty      = 15 * time.Millisecond
	prefillPerBlock = 6 * time.Millisecond
	occupiedPenalty = 40 * time.Millisecond
	queuedPenalty   = 60 * time.Millisecond
)

const (
	// QuickWait is the published wait up to which an owner is expected to
	// answer at once.
	QuickWait = 100 * time.Millisecond
	// QuickAnswer is how long such an answer may take before another owner is
	// asked.
	QuickAnswer = 500 * time.Millisecond
)

// DefaultChoices is how many replicas a choice looks at, so that nodes with
// the same late view do not all choose the same one.
const DefaultChoices = 8

// roomyChoices is how many replicas with headroom the most urgent work looks
// at beside.
const roomyChoices = 4

// ChooseReplica returns the index of the best replica for the request, or -1
// if none can run it. Replicas must be sorted by ID.
func ChooseReplica(replicas []Replica, req ReplicaRequest) int {
	c := choice{replicas: replicas, req: &req, best: -1}
	for _, held := range req.Cached {
		if at := Find(replicas, held.Replica); at >= 0 {
			c.consider(at, held.Blocks)
		}
	}
	if req.Choices > 0 && req.Choices < len(replicas) {
		c.sample()
	} else {
		for i := range replicas {
			c.consider(i, 0)
		}
	}
	c.comeBack()
	return c.best
}

// Find returns the index of the replica with the given ID, or -1. Replicas must
// be sorted by ID.
func Find(replicas []Replica, id string) int {
	at, ok := slices.BinarySearchFunc(replicas, id, func(r Replica, id string) int { return cmp.Compare(r.ID, id) })
	if !ok {
		return -1
	}
	return at
}

// choice is the search for the cheapest replica.
type choice struct {
	replicas []Replica
	req      *ReplicaRequest
	best     int
	cost     time.Duration
	ties     uint64
}

// consider looks at one replica and tells whether it may run the request.
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

// comeBack prefers the replica where the answer began to those where it would
// have to queue as well: elsewhere all of its prompt is read again.
func (c *choice) comeBack() {
	at := Find(c.replicas, c.req.Began)
	if at < 0 || c.best < 0 || c.replicas[c.best].wait(c.req.Rank) <= QuickWait {
		return
	}
	if eligible(&c.replicas[at], c.req) {
		c.best = at
	}
}

// sample considers some replicas drawn at random, every second one from the
// own data centre if there is one. The most urgent work also looks at some
// that keep headroom for it.
func (c *choice) sample() {
	n := uint64(len(c.replicas))
	for k := range c.req.Choices {
		start := Mix(c.req.Draw, uint64(k)) % n
		near := k%2 == 0
		if !c.probe(start, near, false) && near {
			c.probe(start, false, false)
		}
		if c.req.Rank <= 0 && k < roomyChoices {
			c.probe(start, near, true)
		}
	}
}

// probe considers the first eligible replica from start on, and tells whether
// there was one.
func (c *choice) probe(start uint64, near, roomy bool) bool {
	n := uint64(len(c.replicas))
	for i := range n {
		at := int((start + i) % n)
		r := &c.replicas[at]
		if near && r.DataCentre != c.req.DataCentre || roomy && r.Room <= 0 {
			continue
		}
		if c.consider(at, 0) {
			return true
		}
	}
	return false
}

// Mix scrambles two numbers into one.
func Mix(a, b uint64) uint64 {
	x := a ^ (b+1)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

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
	if req.Closed != nil && req.Closed(r.DataCentre, r.Pool) {
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

// replicaCost estimates the time to the first token, without what a cached
// prefix saves.
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
		cost += farPenalty
	}
	return cost
}
