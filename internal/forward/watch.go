package forward

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/probe"
)

const (
	// watchInterval is the interval at which a silent stream is checked.
	watchInterval = 250 * time.Millisecond
	// probeAfterSilence is the time after which a server that is silent on all
	// streams of this node is probed with a connection. A server that lost
	// power sends no reset.
	probeAfterSilence = 600 * time.Millisecond
	// probeResultTTL is how long the result of a probe is valid.
	probeResultTTL = 700 * time.Millisecond
	// busyWaitFactor is how many times longer a server is waited for while it
	// answers other requests of this node: it is slow, not unreachable.
	busyWaitFactor = 3
)

// stallWatch detects a server that sends nothing on one stream. An unreachable
// server is given up at once. A server that answers other requests meanwhile
// gets more time. The last server that may be tried is never given up.
type stallWatch struct {
	member       *pool.Member
	dial         Dial
	canMove      func() bool
	onStall      func()
	mu           sync.Mutex
	timer        *time.Timer   // guarded by mu
	lastProgress time.Time     // guarded by mu; time of the last event, or the start
	wait         time.Duration // guarded by mu
	stopped      bool          // guarded by mu
}

// newStallWatch calls onStall once the server has sent nothing for wait,
// provided that canMove reports that another server may be tried.
func newStallWatch(m *pool.Member, dial Dial, wait time.Duration, canMove func() bool, onStall func()) *stallWatch {
	w := &stallWatch{member: m, dial: dial, canMove: canMove, onStall: onStall, lastProgress: time.Now(), wait: wait}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, w.check)
	return w
}

// check runs at each interval.
func (w *stallWatch) check() {
	now := time.Now()
	w.mu.Lock()
	silence, wait, stopped := now.Sub(w.lastProgress), w.wait, w.stopped
	if !stopped {
		w.timer.Reset(watchInterval)
	}
	w.mu.Unlock()
	if !stopped && w.hasStalled(silence, wait, now) && w.canMove() {
		w.stop()
		w.onStall()
	}
}

// hasStalled reports whether the server is to be given up. It starts a probe if
// one is due.
func (w *stallWatch) hasStalled(silence, wait time.Duration, now time.Time) bool {
	serverSilence := now.Sub(w.member.LastProgress())
	if silence >= probeAfterSilence && serverSilence >= probeAfterSilence && w.member.RemainingBackoff(now) == 0 && w.member.BeginProbeIfDue(now, probeResultTTL) {
		go probeMember(w.member, w.dial)
	}
	if w.member.IsUnreachable(now, probeResultTTL+probe.Timeout) {
		return true
	}
	if serverSilence < probeAfterSilence {
		wait *= busyWaitFactor
	}
	return silence >= wait
}

// probeMember tries to connect to a server and records the result.
func probeMember(m *pool.Member, dial Dial) {
	ctx, cancel := context.WithTimeout(context.Background(), probe.Timeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", m.Address)
	if err == nil {
		_ = conn.Close()
	}
	m.RecordProbe(err == nil, time.Now())
}

// recordProgress records an event and sets the wait for the next one.
func (w *stallWatch) recordProgress(wait time.Duration) {
	now := time.Now()
	w.member.RecordProgress(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastProgress, w.wait = now, wait
}

// stop ends the checks.
func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
