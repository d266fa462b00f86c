package pool

import "time"

const (
	// rememberFor is how long what a server said of itself outlives its entry:
	// an entry that lapsed in an outage of the store comes back with it.
	rememberFor = 10 * time.Minute
	// longestHold bounds the time for which a server may ask for no requests.
	longestHold = 10 * time.Minute
)

// notice is that a start of a server leaves.
type notice struct {
	started int64
	at      time.Time
}

// departed is a member whose entry is gone.
type departed struct {
	*Member
	at time.Time
}

// Leave notes that the server said itself that it leaves, whatever its entry
// says until its next start. It tells whether that is new.
func (m *Member) Leave() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := m.leaving
	m.leaving = true
	return !was
}

// HoldOff notes that the server wants nothing from this node for some time, and
// returns the time that counts.
func (m *Member) HoldOff(d time.Duration, now time.Time) time.Duration {
	d = min(d, longestHold)
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := now.Add(d); until.After(m.heldUntil) {
		m.heldUntil = until
	}
	return d
}

// Hold returns for how long the server still wants nothing from this node.
func (m *Member) Hold(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.heldUntil.Sub(now), 0)
}

// Available tells whether requests may be sent to the server at all.
func (m *Member) Available(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.available(now)
}

// available is Available for callers that hold mu.
func (m *Member) available(now time.Time) bool {
	return m.present() && !now.Before(m.heldUntil)
}

// present is Present for callers that hold mu.
func (m *Member) present() bool { return !m.gone && !m.draining && !m.leaving }

// Leaving notes that another node was told by a server that it leaves. The
// server's entry may not be known yet.
func (p *Pool) Leaving(id string, started int64, now time.Time) {
	p.mu.Lock()
	for id, n := range p.notices {
		if now.Sub(n.at) > rememberFor {
			delete(p.notices, id)
		}
	}
	if old, ok := p.notices[id]; !ok || started >= old.started {
		p.notices[id] = notice{started, now}
	}
	m := p.members[id]
	p.mu.Unlock()
	if m != nil && m.Started == started {
		m.Leave()
	}
}

// recall returns what is remembered of an announced server: the member whose
// entry came back, or a new one that may have been said to leave. The caller
// holds mu.
func (p *Pool) recall(s Server, now time.Time) *Member {
	d, ok := p.departed[s.ID]
	delete(p.departed, s.ID)
	if ok && !d.restarted(s) && now.Sub(d.at) <= rememberFor {
		d.rejoin()
		return d.Member
	}
	m := newMember(s, now)
	if n, ok := p.notices[s.ID]; ok && n.started == s.Started {
		m.leaving = true
	}
	return m
}

// depart remembers a member without an entry. The caller holds mu.
func (p *Pool) depart(m *Member, now time.Time) {
	for id, d := range p.departed {
		if now.Sub(d.at) > rememberFor {
			delete(p.departed, id)
		}
	}
	p.departed[m.ID] = departed{m, now}
}

// ShortestHold returns after what time the first of a service's servers wants
// requests again; it is 0 if one takes them now, or none is listed.
func (p *Pool) ShortestHold(service string, now time.Time) time.Duration {
	var shortest time.Duration
	for _, m := range p.Members(service) {
		if !m.Present() {
			continue
		}
		hold := m.Hold(now)
		if hold == 0 {
			return 0
		}
		if shortest == 0 || hold < shortest {
			shortest = hold
		}
	}
	return shortest
}
