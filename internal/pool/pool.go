// Package pool knows the backend servers of each service: who is there, how
// loaded each is and how its answers went, and chooses one for a request.
package pool

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Server is a backend server as it announced itself.
type Server struct {
	ID         string
	Address    string
	Service    string
	DataCentre string
	// Version is that of the server's software.
	Version string
	Slots   int
	// Draining servers get no new requests.
	Draining bool
	// Started distinguishes two starts under one ID.
	Started int64
}

// Pool holds the backend servers of all services. It is safe for concurrent
// use. Lock order: Pool.mu before Member.mu.
type Pool struct {
	mu       sync.RWMutex
	members  map[string]*Member   // guarded by mu; by server ID
	services map[string][]*Member // guarded by mu; sorted by ID; replaced, never changed
	departed map[string]departed  // guarded by mu; by server ID
	notices  map[string]notice    // guarded by mu; by server ID
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{
		members: map[string]*Member{}, services: map[string][]*Member{}, departed: map[string]departed{}, notices: map[string]notice{},
	}
}

// Update replaces the whole list of servers. Members that stay, or come back
// with the same start, keep what was learned of them.
func (p *Pool) Update(servers []Server, now time.Time) {
	p.mu.Lock()
	next := make(map[string]*Member, len(servers))
	services := map[string][]*Member{}
	for _, s := range servers {
		m := p.members[s.ID]
		if m == nil || m.restarted(s) {
			m = p.recall(s, now)
		}
		m.announce(s)
		next[s.ID] = m
		services[s.Service] = append(services[s.Service], m)
	}
	var gone []*Member
	for id, m := range p.members {
		if next[id] != m {
			gone = append(gone, m)
			p.depart(m, now)
		}
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	p.members, p.services = next, services
	p.mu.Unlock()
	for _, m := range gone {
		m.depart()
	}
}

// Members returns the servers of a service, sorted by ID. The caller does not
// change the list.
func (p *Pool) Members(service string) []*Member {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.services[service]
}

// Member returns a server by its ID, or nil.
func (p *Pool) Member(id string) *Member {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.members[id]
}

// Len returns the number of servers.
func (p *Pool) Len() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.members)
}

// Each calls do for each server.
func (p *Pool) Each(do func(*Member)) {
	p.mu.RLock()
	list := make([]*Member, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, m)
	}
	p.mu.RUnlock()
	for _, m := range list {
		do(m)
	}
}
