package pool

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/permit"
)

const (
	// firstListTime is how long the first list of servers may take to arrive. Servers that
	// are listed later have started while this node was running.
	firstListTime = 2 * time.Second
	// entryDelay is how old an entry may be when it arrives. An entry that arrives sooner
	// after contact was lost may have been written before.
	entryDelay = 2 * time.Second
	// breakWindow is how long before a broken connection the server must have been seen
	// running, so that it cannot have restarted when it is probed: a restart takes longer.
	breakWindow = 200 * time.Millisecond
	// maxWarmup bounds the remaining warm-up that servers and other nodes may name.
	maxWarmup = time.Hour
)

// Warmup is how the servers of a service are treated while they are cold.
type Warmup struct {
	// Time is how long a server is cold after a start.
	Time time.Duration
	// Rate is the number of requests per second that one cold server gets from all nodes
	// together. 0 sets no limit.
	Rate float64
}

// rules hold for whole data centres and services. They are replaced, never modified.
type rules struct {
	evacuated map[string]bool   // by data centre
	warmups   map[string]Warmup // by service
}

// ColdCause is why a server counts as cold.
type ColdCause int

// The causes for which a server counts as cold.
const (
	// ColdByEntry and ColdByAnswer: the server says so in its entry, or in an answer.
	ColdByEntry ColdCause = iota
	ColdByAnswer
	// ColdByNode: another node says so.
	ColdByNode
	// ColdByStart: the server is listed with a new start.
	ColdByStart
	// ColdByEvacuation: the evacuation of its data centre has ended.
	ColdByEvacuation
	// ColdByLostContact: contact was lost, so the server may have restarted.
	ColdByLostContact
	coldCauses
)

// String implements fmt.Stringer.
func (c ColdCause) String() string {
	return [...]string{"entry", "answer", "other node", "start", "evacuation", "lost contact"}[c]
}

// coldPeriod is the time for which a server is cold by one cause.
type coldPeriod struct{ since, until time.Time }

// coldness is until when a server is cold, by cause. The member's lock guards it.
type coldness struct {
	periods [coldCauses]coldPeriod
	until   time.Time // the latest of the periods
	// lostAt is when contact was last lost, zero if it was not or there was contact since.
	lostAt time.Time
	// breaksSince is when the first of the losses without contact since was, if all were
	// breaks of a server that was seen running shortly before, else zero.
	breaksSince time.Time
	// reportedAt is when another node last reported the loss, zero if this node lost contact itself.
	// What was only reported holds for the time of a warm-up.
	reportedAt time.Time
	// seenAt is when the server last accepted a connection or answered.
	seenAt time.Time
	// wasCold is whether WarmupChanges last found the server cold.
	wasCold bool
}

// set replaces the period of a cause.
func (c *coldness) set(cause ColdCause, since, until time.Time) {
	c.periods[cause] = coldPeriod{since, until}
	c.until = time.Time{}
	for _, p := range c.periods {
		if p.until.After(c.until) {
			c.until = p.until
		}
	}
}

// isLost reports whether contact was lost, in a service with the given time of a warm-up.
func (c *coldness) isLost(now time.Time, warmup time.Duration) bool {
	return !c.lostAt.IsZero() && (c.reportedAt.IsZero() || now.Before(c.reportedAt.Add(warmup)))
}

// cause returns the cause that holds longest.
func (c *coldness) cause(now time.Time, warmup time.Duration) ColdCause {
	longest := ColdByLostContact
	for cause, p := range c.periods {
		if !c.isLost(now, warmup) && p.until.Equal(c.until) {
			longest = ColdCause(cause)
		}
	}
	return longest
}

// rulesInForce returns the rules of the member's pool.
func (m *Member) rulesInForce() rules {
	if m.rules == nil {
		return rules{}
	}
	return *m.rules.Load()
}

// isEvacuated reports whether the server's data centre is evacuated.
func (m *Member) isEvacuated() bool { return m.rulesInForce().evacuated[m.DataCentre] }

func (m *Member) warmup() Warmup { return m.rulesInForce().warmups[m.Service] }

// warmupRate returns the rate of a cold server, and permit.NoLimit for others and for
// services whose cold servers have no limit. The caller holds mu.
func (m *Member) warmupRate(now time.Time) float64 {
	if !m.cold.isLost(now, m.warmup().Time) && !now.Before(m.cold.until) {
		return permit.NoLimit
	}
	if rate := m.warmup().Rate; rate > 0 {
		return rate
	}
	return permit.NoLimit
}

// PermitRate returns the number of requests per second for which there are permits: the
// lower of the limit that the server names and its rate while it is cold. It is
// permit.NoLimit if requests need no permits.
func (m *Member) PermitRate(now time.Time) float64 {
	rate, _ := m.PermitTerms(now)
	return rate
}

// PermitTerms returns what PermitRate and IsCold do, as of one moment.
func (m *Member) PermitTerms(now time.Time) (rate float64, isCold bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.permitRate(now), m.warmupRate(now) != permit.NoLimit
}

// permitRate is PermitRate for callers that hold mu.
func (m *Member) permitRate(now time.Time) float64 {
	rate := m.warmupRate(now)
	if named := m.limit.rate; rate == permit.NoLimit || named != permit.NoLimit && named < rate {
		return named
	}
	return rate
}

// IsCold reports whether the server is cold, in a service whose cold servers have a limit.
func (m *Member) IsCold(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.warmupRate(now) != permit.NoLimit
}

// RecordWarmup records how long the server says in an answer that it is still cold; 0 says
// that it is warm. The request began at the given time; what was learned later stays. It
// reports whether that is news for other nodes.
func (m *Member) RecordWarmup(left time.Duration, began, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	until := now.Add(min(left, maxWarmup))
	isNews := left > 0 && until.Sub(m.cold.until).Abs() > time.Second
	for cause, p := range m.cold.periods {
		if p.since.Before(began) {
			m.cold.set(ColdCause(cause), time.Time{}, time.Time{})
		}
	}
	if m.cold.lostAt.Before(began) {
		m.cold.lostAt = time.Time{}
	}
	if left > 0 {
		m.cold.set(ColdByAnswer, now, until)
	}
	return isNews
}

// RecordLostContact records that the server could not be reached, or broke off a
// connection. It may have restarted, so it counts as cold for the time of a warm-up from
// the next contact.
func (m *Member) RecordLostContact(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLoss(now)
}

// recordLoss records that this node lost contact. The caller holds mu.
func (m *Member) recordLoss(now time.Time) {
	m.cold.lostAt, m.cold.reportedAt, m.cold.breaksSince = now, time.Time{}, time.Time{}
}

// recordReportedLoss records that another node reported at the given time that it lost contact. The
// caller holds mu.
func (m *Member) recordReportedLoss(at time.Time) {
	m.cold.breaksSince = time.Time{}
	if !m.cold.isLost(at, m.warmup().Time) || !m.cold.reportedAt.IsZero() {
		m.cold.reportedAt = at
	}
	if at.After(m.cold.lostAt) {
		m.cold.lostAt = at
	}
}

// RecordAccepted records that the server accepted a connection.
func (m *Member) RecordAccepted(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cold.seenAt = now
}

// RecordBreak records that the server broke off a connection. It counts as lost contact, and
// RecordBreak reports whether RecordStillServes may end that: the server accepted a
// connection, answered or made progress shortly before. Otherwise it may have restarted
// before this node noticed the break.
func (m *Member) RecordBreak(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.cold.seenAt) > breakWindow && now.Sub(m.lastProgress) > breakWindow {
		m.recordLoss(now)
		return false
	}
	since := m.cold.breaksSince
	if !m.cold.isLost(now, m.warmup().Time) {
		since = now
	}
	m.recordLoss(now)
	m.cold.breaksSince = since
	return true
}

// RecordStillServes records that the server accepts connections after a break at the given
// time for which RecordBreak returned true, too soon for a restart. Other losses of contact
// stay, and so does what was learned later.
func (m *Member) RecordStillServes(brokeAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.cold.breaksSince
	if first.IsZero() {
		return
	}
	if !m.cold.lostAt.After(brokeAt) {
		m.cold.lostAt = time.Time{}
	}
	if since := m.cold.periods[ColdByLostContact].since; !since.Before(first) && !since.After(brokeAt) {
		m.cold.set(ColdByLostContact, time.Time{}, time.Time{})
	}
}

// forgetLoss records that the server did not restart when contact was lost up to the given
// time. The caller holds mu.
func (m *Member) forgetLoss(until time.Time) {
	if !m.cold.lostAt.After(until) {
		m.cold.lostAt = time.Time{}
	}
	if !m.cold.periods[ColdByLostContact].since.After(until) {
		m.cold.set(ColdByLostContact, time.Time{}, time.Time{})
	}
}

// RecordContact records an answer to a request that began at the given time.
func (m *Member) RecordContact(began, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cold.seenAt = now
	if lostAt := m.cold.lostAt; m.cold.isLost(now, m.warmup().Time) && lostAt.Before(began) {
		m.cold.lostAt = time.Time{}
		m.cold.set(ColdByLostContact, lostAt, now.Add(m.warmup().Time))
	}
}

// recordEntryWarmup records how long the server's entry says that it is still cold. Whether
// it restarted since contact was lost is known from an entry that was written later, and so
// is what another node reported of it is over.
func (m *Member) recordEntryWarmup(left time.Duration, isRecent bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cold.set(ColdByEntry, now, now.Add(min(left, maxWarmup)))
	if !isRecent {
		return
	}
	m.forgetLoss(now.Add(-entryDelay))
	if !m.cold.periods[ColdByNode].since.After(now.Add(-entryDelay)) && left == 0 {
		m.cold.set(ColdByNode, time.Time{}, time.Time{})
	}
}
