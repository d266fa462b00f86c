package pool

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// Member is one backend server with the state that this node has learned of it.
type Member struct {
	Server
	key               prefix.Server
	mu                sync.Mutex
	listedDraining    bool // guarded by mu
	delisted          bool // guarded by mu
	announcedDraining bool // guarded by mu; announced in the server's answers
	// backoffUntil is when the server accepts requests of this node again.
	backoffUntil    time.Time       // guarded by mu
	running         int             // guarded by mu; requests of this node in progress
	pendingPrefill  time.Duration   // guarded by mu; time to read the unread prompts of this node
	details         Details         // guarded by mu; of this node's requests
	load            Load            // guarded by mu
	speed           speed           // guarded by mu; as last reported
	sentSinceReport int             // guarded by mu; requests sent since the last load report
	health          routing.Outlier // guarded by mu
	lastProgress    time.Time       // guarded by mu; time of the last event or answer
	lastProbe       time.Time       // guarded by mu; time at which the last probe began or ended
	probeFailed     bool            // guarded by mu; whether the last probe failed
	remote          remoteWork      // guarded by mu
	limit           limit           // guarded by mu
	brittle         brittleness     // guarded by mu
	cold            coldness        // guarded by mu
	// rules are those of the pool, nil for a member without one.
	rules *atomic.Pointer[rules]
}

// remoteWork is the work that all other nodes have at a server.
type remoteWork struct {
	running        int
	pendingPrefill time.Duration
	at             time.Time
	details        Details
	detailsAt      time.Time
}

func newMember(s Server, now time.Time) *Member {
	return &Member{Server: s, key: prefix.HashServer(s.ID, s.Started), load: Load{Slots: s.Slots, At: now}, limit: limit{rate: permit.NoLimit}}
}

// restarted reports whether s is another incarnation of the member's server.
func (m *Member) restarted(s Server) bool {
	return m.Started != s.Started || m.Address != s.Address || m.Service != s.Service
}

// Key identifies this incarnation of the server in a prefix index.
func (m *Member) Key() prefix.Server { return m.key }

// updateFromList records whether the entry of the server is marked as draining.
func (m *Member) updateFromList(s Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listedDraining = s.Draining
}

// markDelisted records that the entry of the server is gone.
func (m *Member) markDelisted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delisted = true
}

// markListed restores a member whose entry is listed again.
func (m *Member) markListed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delisted = false
}

// IsUsable reports whether the server takes new requests and is not ejected.
func (m *Member) IsUsable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.available(now) && !m.health.IsEjected(now)
}

// IsPresent reports whether the server is listed and not draining.
func (m *Member) IsPresent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.present()
}

// BeginRequest counts a request and adds the time to read its prompt to the pending
// prefill. It returns false if the server has stopped taking requests since it
// was chosen.
func (m *Member) BeginRequest(now time.Time, pendingPrefill time.Duration) bool {
	return m.BeginPermitted(now, pendingPrefill, permit.NoLimit)
}

// BeginPermitted is BeginRequest for a request with a permit. permitRate is the rate for
// which the permit was granted, or permit.NoLimit if there is none. It also returns false
// if the server has turned cold since and that permit is not enough.
func (m *Member) BeginPermitted(now time.Time, pendingPrefill time.Duration, permitRate float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.available(now) {
		return false
	}
	if rate := m.warmupRate(now); rate != permit.NoLimit && (permitRate == permit.NoLimit || permitRate > rate) {
		return false
	}
	m.running++
	m.sentSinceReport++
	m.pendingPrefill += pendingPrefill
	m.health.RecordAttempt(now)
	return true
}

// FinishPrefill removes the read time of a request's prompt from the pending
// prefill.
func (m *Member) FinishPrefill(pendingPrefill time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingPrefill = max(m.pendingPrefill-pendingPrefill, 0)
}

// EndRequest counts the end of a request.
func (m *Member) EndRequest() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

// LocalWork returns the number of this node's requests in progress at the
// server and the time to read those of their prompts that were not yet read.
func (m *Member) LocalWork() (running int, pendingPrefill time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running, m.pendingPrefill
}

// SetRemoteWork sets the figures that LocalWork returns for this node, summed
// over all other nodes.
func (m *Member) SetRemoteWork(running int, pendingPrefill time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remote.running, m.remote.pendingPrefill, m.remote.at = running, pendingPrefill, now
}

// IsHealthy reports whether no failure is counted against the server.
func (m *Member) IsHealthy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.IsHealthy()
}

// RecordSuccess records a successful answer.
func (m *Member) RecordSuccess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.RecordSuccess()
}

// RecordFailure records a failure of a request that began at the given time and
// reports whether the failure ejects the server. draw is a random number from 0
// to 1.
func (m *Member) RecordFailure(now, began time.Time, draw float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasEjected := m.health.IsEjected(now)
	m.health.RecordFailure(now, began, draw)
	return !wasEjected && m.health.IsEjected(now)
}

// RecordLoad records a load that the server reported.
func (m *Member) RecordLoad(l Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load, m.sentSinceReport = l, 0
	if l.Speed > 0 {
		m.speed.record(l.Speed, l.At)
	}
}

// RecordProgress records that the server sent an event or an answer.
func (m *Member) RecordProgress(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastProgress = now
}

// LastProgress returns the time at which the server last sent an event or an
// answer to this node.
func (m *Member) LastProgress() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastProgress
}

// BeginProbeIfDue reports whether the last probe is older than ttl, and if so
// records the start of a new one.
func (m *Member) BeginProbeIfDue(now time.Time, ttl time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastProbe) < ttl {
		return false
	}
	m.lastProbe = now
	return true
}

// RecordProbe records whether a connection could be made.
func (m *Member) RecordProbe(reached bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastProbe, m.probeFailed = now, !reached
	if !reached {
		m.recordLoss(now)
	}
}

// IsUnreachable reports whether a probe within ttl failed and the server has sent
// nothing since.
func (m *Member) IsUnreachable(now time.Time, ttl time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.probeFailed && now.Sub(m.lastProbe) < ttl && m.lastProgress.Before(m.lastProbe)
}

// Occupancy estimates the share of slots in use; it is above 1 if requests
// wait.
func (m *Member) Occupancy(now time.Time) float64 { return m.LoadEstimate(now).Occupancy() }

// Wait estimates how long a new prompt waits until the server begins to read
// it.
func (m *Member) Wait(now time.Time) time.Duration { return m.LoadEstimate(now).Wait() }
