package pool

import "time"

const (
	// brittleTTL is how long a server counts as brittle after an answer that says so.
	brittleTTL = 5 * time.Second
	// refusalSafety is how many times rarer than it may be a node is refused by a brittle
	// server: requests that are under way when it becomes full are refused together.
	refusalSafety = 2
	// maxBrittleHold bounds the time for which a node leaves a server alone. Only a request
	// shows that the server is no longer brittle.
	maxBrittleHold = 15 * time.Second
)

// brittleness is what is known of a server that falls over if it has to refuse too many
// requests. The member's lock guards it.
type brittleness struct {
	// refusals is how many requests the server may refuse in a second, all nodes together.
	refusals float64
	until    time.Time
	// window is how many requests of this node may be under way. It does not grow while the
	// server is brittle: only refusals would show how far.
	window    int
	heldUntil time.Time
}

func (b *brittleness) isInForce(now time.Time) bool {
	return now.Before(b.until) || now.Before(b.heldUntil)
}

// RecordSound records that an answer of the server does not say that it is brittle.
func (m *Member) RecordSound() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.brittle = brittleness{}
}

// RecordBrittle records how many requests the server says that it may refuse in a second.
func (m *Member) RecordBrittle(refusals float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.brittle.isInForce(now) {
		m.brittle = brittleness{window: max(m.running, 1)}
	}
	m.brittle.refusals, m.brittle.until = refusals, now.Add(brittleTTL)
}

// RecordRefusal records that a server refused a request for want of room. A brittle one is
// left alone for a time that keeps the refusals of all nodes together within its bound; draw is
// a random number from 0 to 1.
func (m *Member) RecordRefusal(nodes int, now time.Time, draw float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := &m.brittle
	if !b.isInForce(now) {
		return
	}
	b.window = max(b.window/2, 1)
	seconds := maxBrittleHold.Seconds()
	if b.refusals > 0 {
		seconds = min(refusalSafety*float64(max(nodes, 1))/b.refusals*(0.5+draw), seconds)
	}
	b.heldUntil = now.Add(time.Duration(seconds * float64(time.Second)))
}

// hasRoom reports whether a brittle server is expected to take another request; other servers
// always are. The caller holds mu.
func (m *Member) hasRoom(now time.Time) bool {
	b := &m.brittle
	if !b.isInForce(now) {
		return true
	}
	return !now.Before(b.heldUntil) && m.running < b.window && m.estimateLoad(now).Busy() < m.Slots
}
