package edge

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// deadlineConn counts the read deadlines that are set on it.
type deadlineConn struct {
	net.Conn
	deadlines atomic.Int32
}

func (c *deadlineConn) SetReadDeadline(time.Time) error {
	c.deadlines.Add(1)
	return nil
}

// A connection without a request closes at the timeout in force, one that carries
// requests is kept, and a changed timeout applies from the next request on.
func TestIdleConnectionsCloseAtTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var limit atomic.Int64
		limit.Store(int64(10 * time.Second))
		g := newIdleGuard(func() time.Duration { return time.Duration(limit.Load()) })
		silent, busy := &deadlineConn{}, &deadlineConn{}
		g.observe(silent, http.StateNew)
		g.observe(busy, http.StateNew)
		for range 4 {
			time.Sleep(8 * time.Second) // callers reuse connections up to four fifths of the timeout
			g.observe(busy, http.StateActive)
			time.Sleep(20 * time.Second) // a stream
			g.observe(busy, http.StateIdle)
		}
		is.Equal(silent.deadlines.Load(), int32(1))
		is.Equal(busy.deadlines.Load(), int32(0))
		limit.Store(int64(time.Second))
		g.observe(busy, http.StateActive)
		g.observe(busy, http.StateIdle)
		time.Sleep(2 * time.Second)
		is.Equal(busy.deadlines.Load(), int32(1))
		g.observe(busy, http.StateClosed)
		g.observe(silent, http.StateClosed)
		is.Equal(len(g.idle), 0)
	})
}
