package pool

import "time"

const (
	// memoryTTL is how long the announcements of a server are kept after its
	// entry is gone. An entry that expires during an outage of the store is
	// listed again afterwards.
	memoryTTL = 10 * time.Minute
	// maxBackoff bounds the backoff that a server may ask for.
	maxBackoff = 10 * time.Minute
)

// drainNotice records that one incarnation of a server is draining.
type drainNotice struct {
	started int64
	at      time.Time
}

// delistedMember is a member whose entry is gone.
type delistedMember struct {
	*Member
	at time.Time
}

// MarkDraining records that the server announced that it is draining. The
// announcement holds until the server's next start, whatever its entry says.
// MarkDraining reports whether the announcement is new.
func (m *Member) MarkDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasDraining := m.announcedDraining
	m.announcedDraining = true
	return !wasDraining
}

// StartBackoff records that the server accepts no requests from this node for the
// time d. It returns d, limited to maxBackoff.
func (m *Member) StartBackoff(d time.Duration, now time.Time) time.Duration {
	d = min(d, maxBackoff)
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := now.Add(d); until.After(m.backoffUntil) {
		m.backoffUntil = until
	}
	return d
}

// RemainingBackoff returns the remaining time for which the server accepts no requests
// from this node.
func (m *Member) RemainingBackoff(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.backoffUntil.Sub(now), 0)
}

// IsAvailable reports whether requests may be sent to the server. Ejection is not
// considered.
func (m *Member) IsAvailable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.available(now)
}

// available is IsAvailable for callers that hold mu.
func (m *Member) available(now time.Time) bool {
	return m.present() && !m.isEvacuated() && !now.Before(m.backoffUntil) && m.hasRoom(now)
}

// present is IsPresent for callers that hold mu.
func (m *Member) present() bool { return !m.delisted && !m.listedDraining && !m.announcedDraining }

// MarkDraining records that a server announced to another node that it is draining.
// The server's entry may not have been received yet.
func (p *Pool) MarkDraining(id string, started int64, now time.Time) {
	p.mu.Lock()
	for id, n := range p.drainNotices {
		if now.Sub(n.at) > memoryTTL {
			delete(p.drainNotices, id)
		}
	}
	if old, ok := p.drainNotices[id]; !ok || started >= old.started {
		p.drainNotices[id] = drainNotice{started, now}
	}
	m := p.members[id]
	p.mu.Unlock()
	if m != nil && m.Started == started {
		m.MarkDraining()
	}
}

// restoreOrCreate returns the member for a listed server: the earlier member if
// its entry is listed again, otherwise a new one, which may already be
// announced as draining. The caller holds mu.
func (p *Pool) restoreOrCreate(s Server, now time.Time) *Member {
	d, ok := p.delisted[s.ID]
	delete(p.delisted, s.ID)
	if ok && !d.restarted(s) && now.Sub(d.at) <= memoryTTL {
		d.markListed()
		p.applyKeptColdNotice(d.Member, now)
		return d.Member
	}
	m := newMember(s, now)
	m.rules = &p.rules
	p.applyListed(m, now)
	if n, ok := p.drainNotices[s.ID]; ok && n.started == s.Started {
		m.announcedDraining = true
	}
	if n, ok := p.limits[s.ID]; ok && n.started == s.Started {
		m.limit.rate, m.limit.since = n.rate, n.at
	}
	return m
}

// rememberDelisted keeps a member whose entry is gone. The caller holds mu.
func (p *Pool) rememberDelisted(m *Member, now time.Time) {
	for id, d := range p.delisted {
		if now.Sub(d.at) > memoryTTL {
			delete(p.delisted, id)
		}
	}
	p.delisted[m.ID] = delistedMember{m, now}
}

// ShortestBackoff returns the time until the first of a service's servers
// accepts requests again. It is 0 if a server accepts them now, or none is
// present outside of evacuated data centres.
func (p *Pool) ShortestBackoff(service string, now time.Time) time.Duration {
	var shortest time.Duration
	for _, m := range p.Members(service) {
		if !m.IsPresent() || m.isEvacuated() {
			continue
		}
		backoff := m.RemainingBackoff(now)
		if backoff == 0 {
			return 0
		}
		if shortest == 0 || backoff < shortest {
			shortest = backoff
		}
	}
	return shortest
}
