package pool

import (
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// Load is what a server last said of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
	At      time.Time
}

const (
	// loadLife is how long a reported load counts; two of the slowest report
	// intervals seen on a quiet pool.
	loadLife = 2 * time.Second
	// othersLife is the same for what other nodes told, which comes every
	// 500 ms over two hubs.
	othersLife = 3 * time.Second
	// waitingCost is the wait that one request in a server's queue stands for.
	waitingCost = 30 * time.Millisecond
)

// Member is one backend server and what this node has learned of it.
type Member struct {
	Server
	key      prefix.Server
	mu       sync.Mutex
	draining bool // guarded by mu
	gone     bool // guarded by mu
	leaving  bool // guarded by mu; the server said so itself
	// heldUntil is when the server wants requests of this node again.
	heldUntil time.Time       // guarded by mu
	running   int             // guarded by mu; requests of this node
	unread    time.Duration   // guarded by mu; work on prompts of this node that were not yet read
	load      Load            // guarded by mu
	sent      int             // guarded by mu; requests sent since the load was reported
	health    routing.Outlier // guarded by mu
	progress  time.Time       // guarded by mu; of the last event or answer
	probed    time.Time       // guarded by mu; when a probe began or ended
	cutOff    bool            // guarded by mu; the last probe failed
	others    others          // guarded by mu
}

// others is what other nodes have at a server.
type others struct {
	running int
	unread  time.Duration
	at      time.Time
}

func newMember(s Server, now time.Time) *Member {
	return &Member{Server: s, key: prefix.ServerOf(s.ID, s.Started), load: Load{Slots: s.Slots, At: now}}
}

// restarted tells whether s is another start of the member's server.
func (m *Member) restarted(s Server) bool {
	return m.Started != s.Started || m.Address != s.Address || m.Service != s.Service
}

// Key identifies this start of the server in an index of prompts.
func (m *Member) Key() prefix.Server { return m.key }

func (m *Member) announce(s Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = s.Draining
}

func (m *Member) depart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = true
}

// rejoin takes up a member whose entry came back.
func (m *Member) rejoin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = false
}

// Usable tells whether the server takes new requests as far as is known.
func (m *Member) Usable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.available(now) && !m.health.IsEjected(now)
}

// Present tells whether the server is listed and not leaving.
func (m *Member) Present() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.present()
}

// Begin counts a request whose prompt takes the given time to read; it returns
// false if the server takes none any more since it was chosen.
func (m *Member) Begin(now time.Time, unread time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.available(now) {
		return false
	}
	m.running++
	m.sent++
	m.unread += unread
	m.health.RecordAttempt(now)
	return true
}

// Prefilled notes that a request's prompt was read.
func (m *Member) Prefilled(unread time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unread = max(m.unread-unread, 0)
}

// End counts the end of a request.
func (m *Member) End() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

// Own returns this node's requests at the server, and the time that it needs
// for those of their prompts that were not yet read.
func (m *Member) Own() (running int, unread time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running, m.unread
}

// Others takes the same of all other nodes.
func (m *Member) Others(running int, unread time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others = others{running, unread, now}
}

// Healthy tells whether no failure stands against the server.
func (m *Member) Healthy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.IsHealthy()
}

// Succeed notes a sound answer.
func (m *Member) Succeed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.RecordSuccess()
}

// Fail notes a failure of a request that began at the given time, and tells
// whether the server is ejected by it. draw is a random number within 0 to 1.
func (m *Member) Fail(now, began time.Time, draw float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := m.health.IsEjected(now)
	m.health.RecordFailure(now, began, draw)
	return !was && m.health.IsEjected(now)
}

// Report takes a load that the server told.
func (m *Member) Report(l Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load, m.sent = l, 0
}

// Progress notes that the server sent something.
func (m *Member) Progress(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.progress = now
}

// LastProgress returns when the server last sent something to this node.
func (m *Member) LastProgress() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.progress
}

// ProbeDue tells whether a probe is due, and takes it for begun.
func (m *Member) ProbeDue(now time.Time, life time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.probed) < life {
		return false
	}
	m.probed = now
	return true
}

// Probed notes whether a connection could be made.
func (m *Member) Probed(reached bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probed, m.cutOff = now, !reached
}

// Unreachable tells whether a probe within life failed and nothing was heard
// since.
func (m *Member) Unreachable(now time.Time, life time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cutOff && now.Sub(m.probed) < life && m.progress.Before(m.probed)
}

// Occupancy estimates the share of slots in use, above 1 if work waits: the
// larger of what the server reported, with this node's sends since, and what
// the nodes together hold there.
func (m *Member) Occupancy(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	busy := m.running
	if now.Sub(m.others.at) < othersLife {
		busy += m.others.running
	}
	if now.Sub(m.load.At) < loadLife {
		busy = max(busy, m.load.Running+m.load.Waiting+m.sent)
	}
	return float64(busy) / float64(max(m.Slots, 1))
}

// Wait estimates how long a new prompt waits until the server begins to read
// it.
func (m *Member) Wait(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait := m.unread
	if now.Sub(m.others.at) < othersLife {
		wait += m.others.unread
	}
	if now.Sub(m.load.At) < loadLife {
		wait += time.Duration(m.load.Waiting) * waitingCost
	}
	return wait
}
