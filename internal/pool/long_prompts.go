package pool

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// Streams pause while an engine reads a long prompt, and short prompts wait behind it.
// Reports of other nodes' prompts are older than most such reads take, so they cannot tell
// where a long prompt is read right now. Instead all nodes prefer the same engines for long
// prompts: the first of an order that follows from the servers' IDs, as many of each data
// centre as the long prompts that are not read yet need. Short prompts prefer the others.
// Both are preferences only, weighed in time against the expected waits.

const (
	// longReadShare is the share of the shortest target of a service's routes from
	// which the read time of a prompt counts as long. With 0.25, prompts of usual size
	// that are read in two chunks stay beside short ones, whose 99th percentile of the
	// time to the first event is more than twice as long then.
	longReadShare = 0.15
	// longBacklogPerEngine is the backlog of long prompts for which one more engine is
	// preferred, as a share of the shortest target.
	longBacklogPerEngine = 0.1
	// maxLongShare is the largest share of a data centre's engines that long prompts
	// prefer: short ones keep some. With 0.8, short prompts wait more than twice as long at
	// the 90th percentile at the usual load.
	maxLongShare = 0.75
	// longShareHalfLife is how fast the share falls. Streams that began on an engine
	// run for a few seconds.
	longShareHalfLife = 2 * time.Second
	// longShareInterval is how often the share is worked out.
	longShareInterval = 50 * time.Millisecond
	// pauseCost is the cost of reading a long prompt beside one stream, as a share of
	// its read time. maxPauseCost bounds the sum: with 4, twice
	// the usual number of long prompts waited a twentieth longer for the preferred engines.
	pauseCost    = 0.3
	maxPauseCost = 0.7
	// besideLongCost is the cost of a short prompt's stream beside long prompts, as a
	// share of the shortest target.
	besideLongCost = 1
)

// rankForLongPrompts gives each engine its place in the order of its data centre, from 0
// to 1. The caller holds Pool.mu.
func rankForLongPrompts(members []*Member) {
	byDataCentre := map[string][]*Member{}
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	for _, list := range byDataCentre {
		slices.SortFunc(list, func(a, b *Member) int {
			return cmp.Compare(routing.Score(b.ID, "long prompts"), routing.Score(a.ID, "long prompts"))
		})
		for i, m := range list {
			m.longRank.Store(uint32((float64(i) + 0.5) / float64(len(list)) * math.MaxUint32))
		}
	}
}

// longShares holds the share of each data centre's engines that long prompts prefer, by
// service. Its lock is taken before those of the pool and its members.
type longShares struct {
	mu       sync.Mutex
	services map[string]longShare // guarded by mu
}

// longShare holds the shares of one service.
type longShare struct {
	at           time.Time
	byDataCentre map[string]float64
}

// divide works out which engines of a service long prompts prefer, unless that was done a
// moment ago.
func (p *Pool) divide(service string, target time.Duration, now time.Time) {
	s := &p.longShares
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.services[service]
	if age := now.Sub(old.at); old.byDataCentre != nil && age >= 0 && age < longShareInterval {
		return
	}
	type sum struct {
		engines int
		backlog time.Duration
	}
	sums := map[string]sum{}
	members := p.Members(service)
	for _, m := range members {
		t := sums[m.DataCentre]
		sums[m.DataCentre] = sum{t.engines + 1, t.backlog + m.Picture(now).LongBacklog}
	}
	shares := make(map[string]float64, len(sums))
	for dc, t := range sums {
		shares[dc] = nextLongShare(old.byDataCentre[dc], now.Sub(old.at), t.engines, t.backlog, target)
	}
	if s.services == nil {
		s.services = map[string]longShare{}
	}
	s.services[service] = longShare{now, shares}
	for _, m := range members {
		m.prefersLong.Store(float64(m.longRank.Load()) < shares[m.DataCentre]*math.MaxUint32)
	}
}

// nextLongShare returns the share of a data centre's engines that long prompts prefer. It
// rises at once with the backlog of long prompts, and falls slowly from its value some time ago.
func nextLongShare(old float64, age time.Duration, engines int, backlog, target time.Duration) float64 {
	perEngine := longBacklogPerEngine * float64(target)
	needed := max(math.Ceil(float64(backlog)/perEngine), 1) / float64(engines)
	faded := old * math.Exp2(-max(age, 0).Seconds()/longShareHalfLife.Seconds())
	return min(max(needed, faded), maxLongShare)
}

// mix is how the engines of a service are divided between long and short prompts when a
// server is chosen. The zero value does not divide them.
type mix struct {
	target time.Duration
}

// mix returns the division for a query.
func (p *Pool) mix(q *Query, now time.Time) mix {
	if q.ShortestTarget <= 0 || q.Affinity == "" {
		return mix{}
	}
	p.divide(q.Service, q.ShortestTarget, now)
	return mix{q.ShortestTarget}
}

// isActive reports whether engines are divided.
func (x mix) isActive() bool { return x.target > 0 }

// isLong reports whether a read takes so long that others notice it.
func (x mix) isLong(read time.Duration) bool { return float64(read) >= longReadShare*float64(x.target) }

// cost returns what a prompt costs the requests beside it, or they cost it, at a server.
func (x mix) cost(m *Member, p Picture, read time.Duration) time.Duration {
	if !x.isActive() {
		return 0
	}
	isForLong := m.prefersLong.Load()
	switch {
	case x.isLong(read) && !isForLong:
		return scale(read, min(pauseCost*float64(p.Busy()), maxPauseCost))
	case !x.isLong(read) && isForLong:
		return scale(x.target, besideLongCost)
	}
	return 0
}

// preferred returns the engines that a prompt of some read time prefers, or all if it
// prefers none.
func (x mix) preferred(members []*Member, read time.Duration) []*Member {
	if !x.isActive() {
		return members
	}
	isLong := x.isLong(read)
	out := make([]*Member, 0, len(members))
	for _, m := range members {
		if m.prefersLong.Load() == isLong {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return members
	}
	return out
}

// IsLongRead reports whether the time that an engine needs to read a prompt is long for
// routes whose shortest target for pauses and first events is given.
func IsLongRead(read, shortestTarget time.Duration) bool {
	x := mix{target: shortestTarget}
	return x.isActive() && x.isLong(read)
}

// BeginWork adds the details of a request of this node.
func (m *Member) BeginWork(d Details) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.details = m.details.Add(d)
}

// EndWork reverses BeginWork.
func (m *Member) EndWork(d Details) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.details = m.details.Without(d)
}
