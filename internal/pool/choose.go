package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// Query describes a request that needs a server.
type Query struct {
	Service string
	// Affinity is the key of the part of the prompt that servers may have
	// cached. It is empty for requests without a prompt.
	Affinity string
	// ColdReadTime is the time to read the prompt when nothing of it is cached.
	// CachedReadTimes holds the time for the servers that have parts of it
	// cached.
	ColdReadTime    time.Duration
	CachedReadTimes map[prefix.Server]time.Duration
	// DataCentre is the local data centre, preferred between otherwise equal
	// servers.
	DataCentre string
	// RemotePenalty is the engine time that is added for an engine in another
	// data centre. It stands for the price of the transferred bytes.
	RemotePenalty time.Duration
	// Versions restricts the versions that may be chosen.
	Versions Versions
	// Exclude lists servers that were already tried.
	Exclude []*Member
	// ExcludeLimited excludes the servers for which requests need a permit.
	ExcludeLimited bool
	// ignoreSpeed is set if most servers are slow: the speed then says nothing about a
	// single one, and all nodes would turn to the few others.
	ignoreSpeed bool
	// Tokens is the memory that the request takes at a server, MemoryTokens what a server
	// has, in tokens. A MemoryTokens of 0 means that it is not known.
	Tokens       float64
	MemoryTokens float64
	// Draw returns random numbers from 0 to 1.
	Draw func() float64
}

// Versions restricts the versions of servers. The zero value allows all.
type Versions struct {
	// Only is the one allowed version, Except the one that is not allowed.
	// Empty means no restriction.
	Only   string
	Except string
	// Prefer is the version to choose if a server of it can be chosen.
	Prefer string
	// Share is the share of requests that the preferred version gets. Only as
	// many of its servers are used as that share needs. Zero uses all of them.
	Share float64
}

func (v Versions) allows(version string) bool {
	return (v.Only == "" || version == v.Only) && (v.Except == "" || version != v.Except)
}

const (
	// remoteOccupancyPenalty is added to the occupancy of a plain server in
	// another data centre. Its links add a few milliseconds to answers that
	// take tens of milliseconds.
	remoteOccupancyPenalty = 0.15
	// randomCandidates is the number of engines that are compared in addition
	// to those that may have the prompt cached. A small number keeps nodes with
	// the same outdated load information from choosing the same engine.
	randomCandidates = 2
	// fullOccupancy is the occupancy from which an engine counts as full.
	// fullWaitPenalty is then added to its expected wait.
	fullOccupancy   = 0.9
	fullWaitPenalty = time.Second
)

// Choose returns the server for a request and the expected time to read the
// prompt there. The server is nil if none may take the request. Ejected servers
// are chosen only if all servers are ejected. Servers without a permit for a request
// are not chosen.
func (p *Pool) Choose(q Query, now time.Time) (*Member, time.Duration) {
	if version := q.Versions.Prefer; version != "" {
		preferred := q
		preferred.Versions = Versions{Only: version, Share: q.Versions.Share}
		if m, read := p.Choose(preferred, now); m != nil {
			return m, read
		}
		q.Versions = Versions{}
	}
	members := p.Members(q.Service)
	look := survey{limit: q.memoryLimit()}
	usable := filter(members, q, now, func(m *Member) bool { return look.accept(m, now, false) })
	if len(usable) == 0 {
		usable = filter(members, q, now, func(m *Member) bool { return look.accept(m, now, true) })
	}
	if len(usable) == 0 {
		return nil, 0
	}
	usable = limitToShare(usable, q.Versions)
	q.ignoreSpeed = 2*look.slow > len(usable)
	if look.full > 0 {
		usable = withRoom(usable, look.limit, now)
	}
	if q.Affinity != "" {
		return chooseForPrompt(usable, q, now)
	}
	return leastLoaded(usable, q, now), 0
}

// limitToShare returns as many servers as a version's share of the requests
// needs. All nodes pick the same servers. A canary's servers then carry the
// load that they will have with all requests, and only a few caches are filled.
func limitToShare(members []*Member, v Versions) []*Member {
	n := int(math.Ceil(v.Share * float64(len(members))))
	if n <= 0 || n >= len(members) {
		return members
	}
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b *Member) int {
		return cmp.Compare(routing.Score(b.ID, v.Only), routing.Score(a.ID, v.Only))
	})
	return members[:n]
}

func filter(members []*Member, q Query, now time.Time, accept func(*Member) bool) []*Member {
	accepted := make([]*Member, 0, len(members))
	for _, m := range members {
		if q.Versions.allows(m.Version) && !contains(q.Exclude, m) && !(q.ExcludeLimited && m.PermitRate(now) != permit.NoLimit) && accept(m) {
			accepted = append(accepted, m)
		}
	}
	return accepted
}

func contains(members []*Member, m *Member) bool {
	for _, other := range members {
		if other.ID == m.ID {
			return true
		}
	}
	return false
}

// chooseForPrompt returns the engine that is expected to finish reading the
// prompt first, and the read time there. It compares two of the engines that
// have most of the prompt cached with a few random ones, one of them in the
// local data centre. If no engine has any of the prompt cached, the first in
// the rendezvous order of the key is compared instead, so that nodes that have
// not yet received each other's prompts choose the same engine.
func chooseForPrompt(members []*Member, q Query, now time.Time) (*Member, time.Duration) {
	var best *Member
	var bestRead, lowest time.Duration
	consider := func(m *Member) {
		if m == nil || m == best {
			return
		}
		read := q.ReadTime(m)
		if cost := q.estimatedCost(m, read, now); best == nil || cost < lowest {
			best, bestRead, lowest = m, read, cost
		}
	}
	first, second := topTwoByScore(q.bestCached(members), q.Affinity)
	if first == nil {
		first, _ = topTwoByScore(members, q.Affinity)
	}
	consider(first)
	consider(second)
	for range randomCandidates {
		consider(q.randomMember(members))
	}
	consider(q.randomLocalMember(members))
	return best, bestRead
}

// randomMember returns a random engine of members, or nil if members is empty.
func (q *Query) randomMember(members []*Member) *Member {
	if len(members) == 0 {
		return nil
	}
	return members[int(q.Draw()*float64(len(members)))]
}

// randomLocalMember returns a random engine of members in the local data centre, or nil if
// there is none.
func (q *Query) randomLocalMember(members []*Member) *Member {
	local := 0
	for _, m := range members {
		if m.DataCentre == q.DataCentre {
			local++
		}
	}
	if local == 0 {
		return nil
	}
	skip := int(q.Draw() * float64(local))
	for _, m := range members {
		if m.DataCentre == q.DataCentre {
			if skip == 0 {
				return m
			}
			skip--
		}
	}
	return nil
}

// ReadTime returns the time to read the prompt at an engine.
func (q *Query) ReadTime(m *Member) time.Duration {
	if d, ok := q.CachedReadTimes[m.key]; ok {
		return d
	}
	return q.ColdReadTime
}

// bestCached returns the engines that have most of the prompt cached.
func (q *Query) bestCached(members []*Member) []*Member {
	if len(q.CachedReadTimes) == 0 {
		return nil
	}
	shortest := q.ColdReadTime
	var best []*Member
	for _, m := range members {
		switch d := q.ReadTime(m); {
		case d < shortest:
			shortest, best = d, append(best[:0], m)
		case d == shortest && d < q.ColdReadTime:
			best = append(best, m)
		}
	}
	return best
}

// estimatedCost returns the time until an engine has read the prompt, plus the
// penalties for a remote and for a full engine.
func (q *Query) estimatedCost(m *Member, read time.Duration, now time.Time) time.Duration {
	p := m.LoadEstimate(now)
	cost := scale(p.UsualWait()+read, q.comparedSpeed(p))
	if m.DataCentre != q.DataCentre {
		cost += q.RemotePenalty
	}
	if p.Occupancy() >= fullOccupancy {
		cost += fullWaitPenalty
	}
	return cost
}

// comparedSpeed returns the factor for the time that work takes at a server when servers
// are compared. It differs from 1 for slow servers only.
func (q *Query) comparedSpeed(p LoadEstimate) float64 {
	if q.ignoreSpeed || !p.IsSlow() {
		return 1
	}
	return p.Speed
}

// topTwoByScore returns the two servers with the highest rendezvous scores.
func topTwoByScore(members []*Member, key string) (first, second *Member) {
	var firstScore, secondScore uint64
	scorer := routing.NewScorer(key)
	for _, m := range members {
		score := scorer.Score(m.ID)
		switch {
		case first == nil || score > firstScore:
			first, second, firstScore, secondScore = m, first, score, firstScore
		case second == nil || score > secondScore:
			second, secondScore = m, score
		}
	}
	return first, second
}

// leastLoaded returns the server with the lowest occupancy and prefers the
// local data centre. Ties are broken at random, so that nodes that see the same
// loads spread their requests.
func leastLoaded(members []*Member, q Query, now time.Time) *Member {
	start := int(q.Draw() * float64(len(members)))
	var best *Member
	lowest := 0.0
	for i := range members {
		m := members[(start+i)%len(members)]
		p := m.LoadEstimate(now)
		load := p.Occupancy() * q.comparedSpeed(p)
		if m.DataCentre != q.DataCentre {
			load += remoteOccupancyPenalty
		}
		if best == nil || load < lowest {
			best, lowest = m, load
		}
	}
	return best
}

// MeanWait returns the mean expected wait of the usable servers of a service.
func (p *Pool) MeanWait(service string, now time.Time) time.Duration {
	var total time.Duration
	n := 0
	for _, m := range p.Members(service) {
		if m.IsUsable(now) {
			total += m.Wait(now)
			n++
		}
	}
	return total / time.Duration(max(n, 1))
}
