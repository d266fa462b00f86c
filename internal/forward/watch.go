package forward

import (
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// watch notices a server that keeps silent. A server that answers other
// requests meanwhile is given longer.
type watch struct {
	member  *pool.Member
	stalled func()
	mu      sync.Mutex
	timer   *time.Timer   // guarded by mu
	since   time.Time     // guarded by mu; of the last progress
	wait    time.Duration // guarded by mu
	stopped bool          // guarded by mu
}

// newWatch calls stalled once the server kept silent for wait.
func newWatch(m *pool.Member, wait time.Duration, stalled func()) *watch {
	w := &watch{member: m, stalled: stalled, since: time.Now(), wait: wait}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(wait, w.check)
	return w
}

// check runs when the timer fires.
func (w *watch) check() {
	w.mu.Lock()
	now := time.Now()
	silent := now.Sub(w.since)
	limit := w.wait
	if now.Sub(w.member.LastProgress()) < w.wait/2 {
		limit *= busyFactor
	}
	over := silent >= limit && !w.stopped
	if !over && !w.stopped {
		w.timer.Reset(max(limit-silent, w.wait/4))
	}
	w.mu.Unlock()
	if over {
		w.stalled()
	}
}

// progress notes an event and gives the server wait for the next.
func (w *watch) progress(wait time.Duration) {
	now := time.Now()
	w.member.Progress(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since, w.wait = now, wait
	w.timer.Reset(wait)
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
