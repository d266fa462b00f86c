package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleGuard closes callers' connections that carry no request for longer than the
// configuration allows. The timeout may change while connections are open, so the HTTP
// server's fixed timeout does not suffice.
type idleGuard struct {
	// limit returns the timeout in force.
	limit func() time.Duration
	mu    sync.Mutex
	idle  map[net.Conn]*idleConn // guarded by mu; connections without a request
}

// idleConn is a connection without a request.
type idleConn struct {
	since   time.Time
	timer   *time.Timer
	expired bool // its read deadline has passed
}

func newIdleGuard(limit func() time.Duration) *idleGuard {
	return &idleGuard{limit: limit, idle: map[net.Conn]*idleConn{}}
}

// observe is the server's ConnState hook.
func (g *idleGuard) observe(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.idle[c]; old != nil {
		old.timer.Stop()
		delete(g.idle, c)
		if old.expired && state == http.StateActive {
			// The server had read a request's header when the deadline was set. It
			// sets no deadline of its own before the body.
			_ = c.SetReadDeadline(time.Time{})
		}
	}
	if state == http.StateNew || state == http.StateIdle {
		i := &idleConn{since: time.Now()}
		i.timer = time.AfterFunc(g.limit(), func() { g.expire(c, i) })
		g.idle[c] = i
	}
}

// expire sets a past read deadline on a connection that is still without a request, so
// that its next read fails as it does at the server's own timeout. If the timeout was
// raised meanwhile, the connection is kept for the rest of it: callers may rely on it.
func (g *idleGuard) expire(c net.Conn, i *idleConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle[c] != i {
		return
	}
	if rest := g.limit() - time.Since(i.since); rest > 0 {
		i.timer.Reset(rest)
		return
	}
	i.expired = true
	_ = c.SetReadDeadline(time.Now())
}
