package forward

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

const (
	// watchTick is how often a silent stream is looked at.
	watchTick = 250 * time.Millisecond
	// probeAfter is the silence of a server, on all of this node's streams,
	// after which a connection is tried: a server that lost power sends no
	// reset.
	probeAfter = 600 * time.Millisecond
	// probeTimeout bounds that connection; a busy server accepts within a few
	// milliseconds and two delays of the link.
	probeTimeout = 350 * time.Millisecond
	// probeLife is how long the result of a probe holds.
	probeLife = 700 * time.Millisecond
	// busyFactor is how many times longer a server is waited for while it
	// answers other requests of this node: it is slow, not silent.
	busyFactor = 3
)

// watch notices a server that keeps silent on one stream. One that cannot be
// reached any more is given up at once, one that answers other requests
// meanwhile is given longer, and the last that may be tried is never given up.
type watch struct {
	member  *pool.Member
	dial    Dial
	mayMove func() bool
	stalled func()
	mu      sync.Mutex
	timer   *time.Timer   // guarded by mu
	since   time.Time     // guarded by mu; of the last progress
	wait    time.Duration // guarded by mu
	stopped bool          // guarded by mu
}

// newWatch calls stalled once the server kept silent for wait, while mayMove
// tells that another one may be tried.
func newWatch(m *pool.Member, dial Dial, wait time.Duration, mayMove func() bool, stalled func()) *watch {
	w := &watch{member: m, dial: dial, mayMove: mayMove, stalled: stalled, since: time.Now(), wait: wait}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchTick, w.check)
	return w
}

// check runs at each tick.
func (w *watch) check() {
	now := time.Now()
	w.mu.Lock()
	silent, wait, stopped := now.Sub(w.since), w.wait, w.stopped
	if !stopped {
		w.timer.Reset(watchTick)
	}
	w.mu.Unlock()
	if !stopped && w.over(silent, wait, now) && w.mayMove() {
		w.stalled()
	}
}

// over tells whether the server is to be given up.
func (w *watch) over(silent, wait time.Duration, now time.Time) bool {
	quiet := now.Sub(w.member.LastProgress())
	if silent >= probeAfter && quiet >= probeAfter && w.member.Hold(now) == 0 && w.member.ProbeDue(now, probeLife) {
		go probe(w.member, w.dial)
	}
	if w.member.Unreachable(now, probeLife+probeTimeout) {
		return true
	}
	if quiet < probeAfter {
		wait *= busyFactor
	}
	return silent >= wait
}

// probe tries a connection to a server and notes the result.
func probe(m *pool.Member, dial Dial) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", m.Address)
	if err == nil {
		_ = conn.Close()
	}
	m.Probed(err == nil, time.Now())
}

// progress notes an event and gives the server wait for the next.
func (w *watch) progress(wait time.Duration) {
	now := time.Now()
	w.member.Progress(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since, w.wait = now, wait
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
