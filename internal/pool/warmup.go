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
	// toldAt is when another node last told the loss, zero if this node lost contact itself.
	// What was only told holds for the time of a warm-up.
	toldAt time.Time
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
	return !c.lostAt.IsZero() && (c.toldAt.IsZero() || now.Before(c.toldAt.Add(warmup)))
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
	m.cold.lostAt, m.cold.toldAt, m.cold.breaksSince = now, time.Time{}, time.Time{}
}

// recordToldLoss records that another node told at the given time that it lost contact. The
// caller holds mu.
func (m *Member) recordToldLoss(at time.Time) {
	m.cold.breaksSince = time.Time{}
	if !m.cold.isLost(at, m.warmup().Time) || !m.cold.toldAt.IsZero() {
		m.cold.toldAt = at
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
// is that what another node told of it is over.
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

// coldNotice is what is known of how long one incarnation of a server is cold.
type coldNotice struct {
	started int64
	cause   ColdCause
	until   time.Time
	// isLost is set if another node lost contact.
	isLost bool
	// at is when the notice was received, sent when it was sent as far as this node can tell.
	at, sent time.Time
}

// SetEntryWarmup records how long a server's entry says that it is still cold. The pool's
// list may not have the entry yet.
func (p *Pool) SetEntryWarmup(id string, started int64, left time.Duration, now time.Time) {
	p.setEntryWarmup(id, started, left, true, now)
}

// SetOldEntryWarmup is SetEntryWarmup for an entry that may be older than entryDelay. It does
// not show that the server is running.
func (p *Pool) SetOldEntryWarmup(id string, started int64, left time.Duration, now time.Time) {
	p.setEntryWarmup(id, started, left, false, now)
}

func (p *Pool) setEntryWarmup(id string, started int64, left time.Duration, isRecent bool, now time.Time) {
	m := p.keepColdNotice(id, coldNotice{started, ColdByEntry, now.Add(min(left, maxWarmup)), false, now, now})
	if m != nil && m.Started == started {
		m.recordEntryWarmup(left, isRecent, now)
	}
}

// SetWarmup records how long another node says that a server is still cold, or that the
// node found no process at the server's address. age is how long ago it said so. The notice
// also holds for an earlier start, whose entry is late.
func (p *Pool) SetWarmup(id string, started int64, left time.Duration, isLost bool, age time.Duration, now time.Time) {
	sent := now.Add(-age)
	n := coldNotice{started, ColdByNode, sent.Add(min(left, maxWarmup)), isLost, now, sent}
	if m := p.keepColdNotice(id, n); m != nil && m.Started <= started {
		m.applyColdNotice(n, now)
	}
}

// combine returns the notice of the newer start, and for equal starts the stricter of the
// loss and of the time that each of them tells.
func (n coldNotice) combine(old coldNotice) coldNotice {
	if n.started != old.started {
		if n.started < old.started {
			return old
		}
		return n
	}
	if old.until.After(n.until) {
		n.cause, n.until = old.cause, old.until
	}
	n.isLost = n.isLost || old.isLost
	return n
}

// keepColdNotice keeps a notice for an entry that is listed later, and returns the server
// that is listed now, or nil.
func (p *Pool) keepColdNotice(id string, n coldNotice) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[id]
	if m != nil && m.Started >= n.started {
		return m
	}
	for id, old := range p.coldNotices {
		if n.at.Sub(old.at) > memoryTTL {
			delete(p.coldNotices, id)
		}
	}
	if old, ok := p.coldNotices[id]; ok {
		n = n.combine(old)
	}
	p.coldNotices[id] = n
	return m
}

// applyColdNotice records a notice of the server's present or next start. One that is older
// than a warm-up tells nothing any more.
func (m *Member) applyColdNotice(n coldNotice, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if warmup := m.warmup().Time; warmup > 0 && now.Sub(n.sent) > warmup {
		return
	}
	if n.isLost {
		m.recordToldLoss(n.at)
	}
	if !n.isLost || n.until.After(now) {
		m.cold.set(n.cause, n.sent, n.until)
	}
}

// applyListed records what is known of the warm-up of a server that is listed with a new
// start. The caller holds Pool.mu.
func (p *Pool) applyListed(m *Member, now time.Time) {
	if !p.listedSince.IsZero() && now.Sub(p.listedSince) > firstListTime {
		m.cold.set(ColdByStart, now, now.Add(m.warmup().Time))
	}
	p.applyKeptColdNotice(m, now)
}

// applyKeptColdNotice records the notice that was kept for a server. The caller holds
// Pool.mu.
func (p *Pool) applyKeptColdNotice(m *Member, now time.Time) {
	if n, ok := p.coldNotices[m.ID]; ok && n.started == m.Started {
		delete(p.coldNotices, m.ID)
		m.applyColdNotice(n, now)
	}
}

// SetWarmups sets how the cold servers of each service are treated.
func (p *Pool) SetWarmups(byService map[string]Warmup) {
	p.rulesMu.Lock()
	defer p.rulesMu.Unlock()
	p.rules.Store(&rules{p.rules.Load().evacuated, byService})
}

// SetEvacuated sets the evacuated data centres. The servers of those that are evacuated no
// more may have gone cold meanwhile, and count as cold for the time of a warm-up.
func (p *Pool) SetEvacuated(dataCentres map[string]bool, now time.Time) {
	p.rulesMu.Lock()
	defer p.rulesMu.Unlock()
	p.mu.RLock() // no server is listed meanwhile
	defer p.mu.RUnlock()
	old := p.rules.Load()
	endEvacuation := func(m *Member) {
		if old.evacuated[m.DataCentre] && !dataCentres[m.DataCentre] {
			m.mu.Lock()
			m.cold.set(ColdByEvacuation, now, now.Add(m.warmup().Time))
			m.mu.Unlock()
		}
	}
	for _, m := range p.members {
		endEvacuation(m)
	}
	for _, d := range p.delisted {
		endEvacuation(d.Member) // it may be listed again
	}
	p.rules.Store(&rules{dataCentres, old.warmups})
}

// CountEvacuated returns the number of evacuated data centres.
func (p *Pool) CountEvacuated() int { return len(p.rules.Load().evacuated) }

// IsEvacuated reports whether all servers of a service that are present are in evacuated
// data centres.
func (p *Pool) IsEvacuated(service string) bool {
	if p.CountEvacuated() == 0 {
		return false
	}
	for _, m := range p.Members(service) {
		if m.IsPresent() && !m.isEvacuated() {
			return false
		}
	}
	return true
}

// CountCold returns the number of cold servers.
func (p *Pool) CountCold(now time.Time) int {
	n := 0
	p.Each(func(m *Member) {
		if m.IsCold(now) {
			n++
		}
	})
	return n
}

// WarmupChange is a server that has turned cold, with the cause, or warm.
type WarmupChange struct {
	*Member
	IsCold bool
	Cause  ColdCause
	Until  time.Time
}

// WarmupChanges returns the servers that have turned cold or warm since the last call.
func (p *Pool) WarmupChanges(now time.Time) []WarmupChange {
	var changes []WarmupChange
	p.Each(func(m *Member) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if isCold := m.warmupRate(now) != permit.NoLimit; isCold != m.cold.wasCold {
			m.cold.wasCold = isCold
			changes = append(changes, WarmupChange{m, isCold, m.cold.cause(now, m.warmup().Time), m.cold.until})
		}
	})
	return changes
}
