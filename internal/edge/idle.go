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
	limit  func() time.Duration
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer // guarded by mu; of connections without a request
}

func newIdleGuard(limit func() time.Duration) *idleGuard {
	return &idleGuard{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// observe is the server's ConnState hook.
func (g *idleGuard) observe(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.timers[c]; t != nil {
		t.Stop()
		delete(g.timers, c)
	}
	if state == http.StateNew || state == http.StateIdle {
		g.timers[c] = time.AfterFunc(g.limit(), func() { g.expire(c) })
	}
}

// expire sets a past read deadline on a connection that is still without a request, so
// that its next read fails as it does at the server's own timeout.
func (g *idleGuard) expire(c net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timers[c] == nil {
		return
	}
	delete(g.timers, c)
	_ = c.SetReadDeadline(time.Now())
}
