package pool

import "time"

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
// loss and of the time that each of them reports.
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
		m.recordReportedLoss(n.at)
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
