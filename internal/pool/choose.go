package pool

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// Query tells what a server is chosen for.
type Query struct {
	Service string
	// Affinity is the key of what the servers may have cached; empty for none.
	Affinity string
	// DataCentre is preferred where servers are alike.
	DataCentre string
	// Versions restricts the versions that may be chosen.
	Versions Versions
	// Exclude lists servers that were tried.
	Exclude []*Member
	// Draw is a random number within 0 to 1.
	Draw float64
}

// Versions restricts the versions of servers. Its zero value allows all.
type Versions struct {
	// Only is the one version allowed, Except one that is not; empty for none.
	Only   string
	Except string
	// Prefer is chosen where it has a server.
	Prefer string
}

func (v Versions) allows(version string) bool {
	return (v.Only == "" || version == v.Only) && (v.Except == "" || version != v.Except)
}

const (
	// farPenalty is what another data centre adds to the occupancy: its links
	// add a few milliseconds to answers that take tens of them.
	farPenalty = 0.15
	// spillOccupancy is the occupancy above which the server that holds a
	// prompt's head is passed over for the next one in its order.
	spillOccupancy = 0.55
	// backlogPerSlot converts unread prompt tokens into occupancy: a chunk of
	// 4,096 tokens delays a step as much as some running streams.
	backlogOccupancy = 1.0 / 40000
	// twinFactor is how much lower the occupancy of the next server in the
	// order must be to take a full server's work.
	twinFactor = 0.7
)

// Choose returns the server for a request, or nil if none may take it. Ejected
// servers are chosen only when all are ejected.
func (p *Pool) Choose(q Query, now time.Time) *Member {
	if to := q.Versions.Prefer; to != "" {
		q.Versions.Prefer, q.Versions.Only = "", to
		if m := p.Choose(q, now); m != nil {
			return m
		}
		q.Versions.Only = ""
	}
	members := p.Members(q.Service)
	usable := filter(members, q, func(m *Member) bool { return m.Usable(now) })
	if len(usable) == 0 {
		usable = filter(members, q, (*Member).Present)
	}
	if len(usable) == 0 {
		return nil
	}
	if q.Affinity != "" {
		return byAffinity(usable, q, now)
	}
	return leastLoaded(usable, q, now)
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

func (m *Member) pressure(now time.Time) float64 {
	return m.Occupancy(now) + m.Backlog()*backlogOccupancy
}

// byAffinity returns the first server in the key's rendezvous order with room,
// or the least loaded of the first ones.
func byAffinity(members []*Member, q Query, now time.Time) *Member {
	first, second := topTwo(members, q.Affinity)
	load := first.pressure(now)
	if load < spillOccupancy || second == nil {
		return first
	}
	if other := second.pressure(now); other < load*twinFactor {
		first, load = second, other
	}
	if load < spillOccupancy {
		return first
	}
	if least := leastLoaded(members, q, now); least.pressure(now) < load*twinFactor {
		return least
	}
	return first
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
	start := int(q.Draw * float64(len(members)))
	var best *Member
	lowest := 0.0
	for i := range members {
		m := members[(start+i)%len(members)]
		load := m.pressure(now)
		if m.DataCentre != q.DataCentre {
			load += farPenalty
		}
		if best == nil || load < lowest {
			best, lowest = m, load
		}
	}
	return best
}
