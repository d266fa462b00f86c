package pool

import "time"

const (
	// brittleTTL is how long a server counts as brittle after an answer that says so.
	brittleTTL = 5 * time.Second
	// refusalSafety is how many times rarer than it may be a node is refused by a brittle
	// server: requests that are under way when it becomes full are refused together.
	refusalSafety = 2
	// windowStep is the part of a request by which a brittle server's window grows with each
	// request that it took, once as many were under way as the window allows.
	windowStep = 0.2
)

// brittleness is what is known of a server that falls over if it has to refuse too many
// requests. The member's lock guards it.
type brittleness struct {
	// refusals is how many requests the server may refuse in a second, all nodes together.
	refusals float64
	until    time.Time
	// window is how many requests of this node may be under way.
	window    float64
	heldUntil time.Time
}

func (b *brittleness) isInForce(now time.Time) bool { return now.Before(b.until) }

// RecordBrittle records that the server says how many requests it may refuse in a second, or
// that it is not brittle if refusals is 0.
func (m *Member) RecordBrittle(refusals float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if refusals <= 0 {
		m.brittle = brittleness{}
		return
	}
	if !m.brittle.isInForce(now) {
		m.brittle = brittleness{window: float64(max(m.running, 1))}
	}
	m.brittle.refusals, m.brittle.until = refusals, now.Add(brittleTTL)
}

// RecordRoom records whether a server took or refused a request for want of room. A brittle
// one that refused is left alone for a time that keeps the refusals of all nodes together
// within its bound; draw is a random number from 0 to 1.
func (m *Member) RecordRoom(hasRoom bool, nodes int, now time.Time, draw float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := &m.brittle
	switch {
	case !b.isInForce(now):
	case !hasRoom:
		b.window = max(b.window/2, 1)
		pause := refusalSafety * float64(max(nodes, 1)) / b.refusals
		b.heldUntil = now.Add(time.Duration(pause * (0.5 + draw) * float64(time.Second)))
	case float64(m.running) >= b.window:
		b.window = min(b.window+windowStep, float64(max(m.Slots, 1)))
	}
}

// hasRoom reports whether a brittle server is expected to take another request; other servers
// always are. The caller holds mu.
func (m *Member) hasRoom(now time.Time) bool {
	b := &m.brittle
	if !b.isInForce(now) {
		return true
	}
	return !now.Before(b.heldUntil) && float64(m.running)+1 <= max(b.window, 1) && m.busy(now) < m.Slots
}
