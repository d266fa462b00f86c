package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// Query tells what a server is chosen for.
type Query struct {
	Service string
	// Affinity is the key of the part of the prompt that servers may have
	// cached; empty for requests without a prompt.
	Affinity string
	// Cold is the time to read the prompt where nothing of it is cached, Read
	// that at the servers that have parts of it.
	Cold time.Duration
	Read map[prefix.Server]time.Duration
	// DataCentre is preferred where servers are alike.
	DataCentre string
	// Far is what an engine in another data centre counts for: the price of the
	// bytes on the way stands for some time of an engine.
	Far time.Duration
	// Versions restricts the versions that may be chosen.
	Versions Versions
	// Exclude lists servers that were tried.
	Exclude []*Member
	// Draw returns random numbers from 0 to 1.
	Draw func() float64
}

// Versions restricts the versions of servers. Its zero value allows all.
type Versions struct {
	// Only is the one version allowed, Except one that is not; empty for none.
	Only   string
	Except string
	// Prefer is chosen where it has a server.
	Prefer string
	// Share is the share of requests that the preferred version gets; only as
	// many of its servers are used as it needs. Zero uses all.
	Share float64
}

func (v Versions) allows(version string) bool {
	return (v.Only == "" || version == v.Only) && (v.Except == "" || version != v.Except)
}

const (
	// farOccupancy is what another data centre adds to the occupancy of a
	// plain server: its links add a few milliseconds to answers that take tens
	// of them.
	farOccupancy = 0.15
	// randomChoices is how many engines beside those that may have the prompt
	// cached are compared. Few of them keep nodes with the same late news from
	// choosing the same engine.
	randomChoices = 2
	// fullOccupancy is the occupancy from which an engine counts as full, and
	// fullWait what that adds to its wait.
	fullOccupancy = 0.9
	fullWait      = time.Second
)

// Choose returns the server for a request, and how long it is expected to read
// the prompt; the server is nil if none may take the request. Ejected servers
// are chosen only when all are ejected.
func (p *Pool) Choose(q Query, now time.Time) (*Member, time.Duration) {
	if to := q.Versions.Prefer; to != "" {
		preferred := q
		preferred.Versions = Versions{Only: to, Share: q.Versions.Share}
		if m, read := p.Choose(preferred, now); m != nil {
			return m, read
		}
		q.Versions = Versions{}
	}
	members := p.Members(q.Service)
	usable := filter(members, q, func(m *Member) bool { return m.Usable(now) })
	if len(usable) == 0 {
		usable = filter(members, q, func(m *Member) bool { return m.Available(now) })
	}
	if len(usable) == 0 {
		return nil, 0
	}
	usable = concentrate(usable, q.Versions)
	if q.Affinity != "" {
		return soonest(usable, q, now)
	}
	return leastLoaded(usable, q, now), 0
}

// concentrate returns as many servers as a version's share of the requests
// needs, alike on all nodes: a canary's servers are loaded as they will be with
// all requests, and few caches are filled.
func concentrate(members []*Member, v Versions) []*Member {
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

func filter(members []*Member, q Query, ok func(*Member) bool) []*Member {
	var out []*Member
	for _, m := range members {
		if q.Versions.allows(m.Version) && !contains(q.Exclude, m) && ok(m) {
			out = append(out, m)
		}
	}
	return out
}

func contains(list []*Member, m *Member) bool {
	for _, x := range list {
		if x.ID == m.ID {
			return true
		}
	}
	return false
}

// soonest returns the engine that is expected to have read the prompt first, and
// how long it reads. Compared are two of those that have most of it cached and
// few others, one of them in the own data centre. Where none has any of it, the
// first in the key's rendezvous order stands in, so that nodes which have not
// heard of each other's prompts meet there.
func soonest(members []*Member, q Query, now time.Time) (*Member, time.Duration) {
	var best *Member
	var bestRead, least time.Duration
	consider := func(m *Member) {
		if m == nil || m == best {
			return
		}
		read := q.read(m)
		if t := q.expected(m, read, now); best == nil || t < least {
			best, bestRead, least = m, read, t
		}
	}
	first, second := topTwo(q.holders(members), q.Affinity)
	if first == nil {
		first, _ = topTwo(members, q.Affinity)
	}
	consider(first)
	consider(second)
	for range randomChoices {
		consider(q.random(members))
	}
	consider(q.random(q.near(members)))
	return best, bestRead
}

// random returns one of some engines, or nil of none.
func (q *Query) random(members []*Member) *Member {
	if len(members) == 0 {
		return nil
	}
	return members[int(q.Draw()*float64(len(members)))]
}

// near returns the engines of the own data centre.
func (q *Query) near(members []*Member) []*Member {
	var out []*Member
	for _, m := range members {
		if m.DataCentre == q.DataCentre {
			out = append(out, m)
		}
	}
	return out
}

// read returns the time to read the prompt at an engine.
func (q *Query) read(m *Member) time.Duration {
	if d, ok := q.Read[m.key]; ok {
		return d
	}
	return q.Cold
}

// holders returns the engines that have most of the prompt cached.
func (q *Query) holders(members []*Member) []*Member {
	shortest := q.Cold
	var out []*Member
	for _, m := range members {
		switch d := q.read(m); {
		case d < shortest:
			shortest, out = d, append(out[:0], m)
		case d == shortest && d < q.Cold:
			out = append(out, m)
		}
	}
	return out
}

// expected is the time until an engine has read the prompt, with what else
// speaks against it.
func (q *Query) expected(m *Member, read time.Duration, now time.Time) time.Duration {
	t := m.Wait(now) + read
	if m.DataCentre != q.DataCentre {
		t += q.Far
	}
	if m.Occupancy(now) >= fullOccupancy {
		t += fullWait
	}
	return t
}

// topTwo returns the two servers with the highest rendezvous scores.
func topTwo(members []*Member, key string) (first, second *Member) {
	var a, b uint64
	for _, m := range members {
		s := routing.Score(m.ID, key)
		switch {
		case first == nil || s > a:
			first, second, a, b = m, first, s, a
		case second == nil || s > b:
			second, b = m, s
		}
	}
	return first, second
}

// leastLoaded returns the server with the lowest occupancy, the own data
// centre preferred. Ties are broken at random, so that nodes which see the
// same loads spread their requests.
func leastLoaded(members []*Member, q Query, now time.Time) *Member {
	start := int(q.Draw() * float64(len(members)))
	var best *Member
	lowest := 0.0
	for i := range members {
		m := members[(start+i)%len(members)]
		load := m.Occupancy(now)
		if m.DataCentre != q.DataCentre {
			load += farOccupancy
		}
		if best == nil || load < lowest {
			best, lowest = m, load
		}
	}
	return best
}

// MeanWait returns the mean of the usable servers' waits of a service.
func (p *Pool) MeanWait(service string, now time.Time) time.Duration {
	var total time.Duration
	n := 0
	for _, m := range p.Members(service) {
		if m.Usable(now) {
			total += m.Wait(now)
			n++
		}
	}
	return total / time.Duration(max(n, 1))
}
