package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/permit"
)

// limit is the rate limit that a server names in its answers.
type limit struct {
	// rate is the number of requests per second that the server takes from all
	// nodes together, or permit.NoLimit.
	rate float64
	// since is when the rate was learned.
	since time.Time
	// invalid describes the last invalid limit.
	invalid string
	// heldUntil is when the server may have a permit for a request again.
	heldUntil time.Time
	// heldCold is set if the server was cold when it had no permit.
	heldCold bool
}

// limitNotice is a limit that another node learned of one incarnation of a server.
type limitNotice struct {
	started int64
	rate    float64
	at      time.Time
}

// Limit returns the number of requests per second that the server says that it takes from
// all nodes together, or permit.NoLimit.
func (m *Member) Limit() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit.rate
}

// RecordLimit records the limit, or permit.NoLimit, of an answer to a request that
// began at the given time, and reports whether the limit in force changes.
// Answers may overtake each other: a higher limit, or none, counts only if its
// request began after the limit in force was learned.
func (m *Member) RecordLimit(rate float64, began, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.limit.rate
	isLower := rate != permit.NoLimit && (old == permit.NoLimit || rate < old)
	if rate == old || !isLower && !began.After(m.limit.since) {
		return false
	}
	m.limit.rate, m.limit.since = rate, now
	return true
}

// RecordInvalidLimit records why a limit is invalid and reports whether the
// reason is new.
func (m *Member) RecordInvalidLimit(reason string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	isNew := m.limit.invalid != reason
	m.limit.invalid = reason
	return isNew
}

// CountLimited returns the number of servers whose limit is in force.
func (p *Pool) CountLimited() int {
	n := 0
	p.Each(func(m *Member) {
		if m.Limit() != permit.NoLimit {
			n++
		}
	})
	return n
}

// SetLimit records the limit, or permit.NoLimit, that another node learned.
func (m *Member) SetLimit(rate float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rate != m.limit.rate {
		m.limit.rate, m.limit.since = rate, now
	}
}

// SetLimit records the limit, or permit.NoLimit, that another node learned of a server. The
// server's entry may not have been received yet.
func (p *Pool) SetLimit(id string, started int64, rate float64, now time.Time) {
	p.mu.Lock()
	for id, n := range p.limits {
		if now.Sub(n.at) > memoryTTL {
			delete(p.limits, id)
		}
	}
	if old, ok := p.limits[id]; !ok || started >= old.started {
		p.limits[id] = limitNotice{started, rate, now}
	}
	m := p.members[id]
	p.mu.Unlock()
	if m != nil && m.Started == started {
		m.SetLimit(rate, now)
	}
}

// HoldOff keeps the server from being chosen for a time in which it has no permit for a
// request.
func (m *Member) HoldOff(d time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit.heldUntil, m.limit.heldCold = now.Add(d), m.warmupRate(now) != permit.NoLimit
}

// isHeldOff reports whether the server has no permit for a request. It is false for
// servers without a limit, and for those that were cold then and are no longer: a cold server
// is passed over for longer than one with a limit of its own.
func (m *Member) isHeldOff(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heldOff(now)
}

// heldOff is isHeldOff for callers that hold mu.
func (m *Member) heldOff(now time.Time) bool {
	if m.limit.heldCold && m.warmupRate(now) == permit.NoLimit {
		return false
	}
	return now.Before(m.limit.heldUntil) && m.permitRate(now) != permit.NoLimit
}

// HasUnlimited reports whether requests to a usable server of a query need no permit.
// Servers that were tried count as well.
func (p *Pool) HasUnlimited(q Query, now time.Time) bool {
	q.allowFallbackVersions()
	return slices.ContainsFunc(p.Members(q.Service), func(m *Member) bool {
		return q.Versions.allows(m.Version) && m.PermitRate(now) == permit.NoLimit && m.IsUsable(now)
	})
}

// Limited returns the usable servers of a query that need permits, those of the preferred
// version and the best ones first.
func (p *Pool) Limited(q Query, now time.Time) []*Member {
	preferred := q.Versions.Prefer
	q.allowFallbackVersions()
	members := filter(p.Members(q.Service), q, now, func(m *Member) bool { return m.IsUsable(now) && m.PermitRate(now) != permit.NoLimit })
	slices.SortStableFunc(members, func(a, b *Member) int {
		if isPreferred := a.Version == preferred; isPreferred != (b.Version == preferred) {
			if isPreferred {
				return -1
			}
			return 1
		}
		if q.Affinity != "" {
			return cmp.Compare(q.estimatedCost(a, q.ReadTime(a), now), q.estimatedCost(b, q.ReadTime(b), now))
		}
		return cmp.Compare(a.Occupancy(now), b.Occupancy(now))
	})
	return members
}

// allowFallbackVersions lifts the preference for a version, as Choose does if no server
// of that version can be chosen.
func (q *Query) allowFallbackVersions() {
	if q.Versions.Prefer != "" {
		q.Versions = Versions{}
	}
}
