package pool

import "time"

// NoLimit is the limit of a server that names none.
const NoLimit = -1.0

// limit is the rate limit that a server names in its answers.
type limit struct {
	// rate is the number of requests per second that the server takes from all
	// nodes together, or NoLimit.
	rate float64
	// since is when the rate was learned.
	since time.Time
	// invalid describes the last invalid limit.
	invalid string
}

// Limit returns the number of requests per second that the server takes from
// all nodes together, or NoLimit.
func (m *Member) Limit() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit.rate
}

// RecordLimit records the limit, or NoLimit, of an answer to a request that
// began at the given time, and reports whether the limit in force changes.
// Answers may overtake each other: a higher limit, or none, counts only if its
// request began after the limit in force was learned.
func (m *Member) RecordLimit(rate float64, began, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.limit.rate
	isLower := rate != NoLimit && (old == NoLimit || rate < old)
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
		if m.Limit() != NoLimit {
			n++
		}
	})
	return n
}
