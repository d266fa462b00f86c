// Package pool tracks the backend servers of each service with their load and
// health, and selects a server for each request.
package pool

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Server is the entry of a backend server in the list of servers.
type Server struct {
	ID         string
	Address    string
	Service    string
	DataCentre string
	// Version is the version of the server's software.
	Version string
	Slots   int
	// Draining servers get no new requests.
	Draining bool
	// Started distinguishes the incarnations of a server under one ID.
	Started int64
	// WarmupLeft is how long the server is still cold by its entry, negative if the entry
	// does not tell. It is no part of the list, see Pool.SetEntryWarmup.
	WarmupLeft time.Duration
}

// Pool holds the backend servers of all services. It is safe for concurrent
// use. Lock order: Pool.rulesMu before Pool.mu before Member.mu.
type Pool struct {
	mu           sync.RWMutex
	members      map[string]*Member        // guarded by mu; by server ID
	services     map[string][]*Member      // guarded by mu; sorted by ID; slices are replaced, never modified
	delisted     map[string]delistedMember // guarded by mu; by server ID
	drainNotices map[string]drainNotice    // guarded by mu; by server ID
	limits       map[string]limitNotice    // guarded by mu; by server ID
	coldNotices  map[string]coldNotice     // guarded by mu; by server ID
	// listedSince is when a server was first listed.
	listedSince time.Time  // guarded by mu
	rulesMu     sync.Mutex // held while rules are replaced
	rules       atomic.Pointer[rules]
}

// New returns an empty pool.
func New() *Pool {
	p := &Pool{
		members: map[string]*Member{}, services: map[string][]*Member{}, delisted: map[string]delistedMember{}, drainNotices: map[string]drainNotice{}, limits: map[string]limitNotice{}, coldNotices: map[string]coldNotice{},
	}
	p.rules.Store(&rules{})
	return p
}

// Update replaces the whole list of servers. Members that stay, or are listed
// again with the same incarnation, keep their learned state.
func (p *Pool) Update(servers []Server, now time.Time) {
	p.mu.Lock()
	next := make(map[string]*Member, len(servers))
	services := map[string][]*Member{}
	for _, s := range servers {
		m := p.members[s.ID]
		if m == nil || m.restarted(s) {
			m = p.restoreOrCreate(s, now)
		}
		m.updateFromList(s)
		next[s.ID] = m
		services[s.Service] = append(services[s.Service], m)
	}
	var delisted []*Member
	for id, m := range p.members {
		if next[id] != m {
			delisted = append(delisted, m)
			p.rememberDelisted(m, now)
		}
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	if p.listedSince.IsZero() && len(next) > 0 {
		p.listedSince = now
	}
	p.members, p.services = next, services
	p.mu.Unlock()
	for _, m := range delisted {
		m.markDelisted()
	}
}

// Addresses returns the addresses of the listed servers.
func (p *Pool) Addresses() map[string]bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[string]bool, len(p.members))
	for _, m := range p.members {
		out[m.Address] = true
	}
	return out
}

// HasAddress reports whether a listed server has an address.
func (p *Pool) HasAddress(address string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, m := range p.members {
		if m.Address == address {
			return true
		}
	}
	return false
}

// IsReplaced reports whether a server that started later than m is listed at its address. The
// entry of one that has ended without a word stays for a while.
func (p *Pool) IsReplaced(m *Member) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, other := range p.members {
		if other.Address == m.Address && other.Started > m.Started {
			return true
		}
	}
	return false
}

// Members returns the servers of a service, sorted by ID. The caller must not
// modify the slice.
func (p *Pool) Members(service string) []*Member {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.services[service]
}

// Member returns the server with the given ID, or nil.
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

// Each calls fn for each server.
func (p *Pool) Each(fn func(*Member)) {
	p.mu.RLock()
	list := make([]*Member, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, m)
	}
	p.mu.RUnlock()
	for _, m := range list {
		fn(m)
	}
}
