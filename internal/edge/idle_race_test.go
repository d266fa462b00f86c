package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// slowConn delays the server between the moment at which it has read a request's
// header, when it removes the read deadline, and the moment at which it reports the
// connection as active.
type slowConn struct {
	net.Conn
	delay time.Duration
	once  sync.Once
}

// SetReadDeadline implements net.Conn.
func (c *slowConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if t.IsZero() {
		c.once.Do(func() { time.Sleep(c.delay) })
	}
	return err
}

// oneConnListener accepts a single connection.
type oneConnListener struct{ conns chan net.Conn }

func (l oneConnListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l oneConnListener) Close() error {
	close(l.conns)
	return nil
}

func (oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a request that is cancelled or loses its body because the idle timeout
// of its connection passes just after its header was read.
func TestRequestReadAtTheIdleTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const timeout = 10 * time.Second
		l := oneConnListener{conns: make(chan net.Conn, 1)}
		var cancelled, bodyErr error
		server := &http.Server{
			ReadHeaderTimeout: headerTimeout, ConnState: newIdleGuard(func() time.Duration { return timeout }).observe,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, bodyErr = io.ReadAll(r.Body)
				time.Sleep(time.Second)
				cancelled = r.Context().Err()
			}),
		}
		served := make(chan struct{})
		go func() {
			_ = server.Serve(l)
			close(served)
		}()
		caller, accepted := net.Pipe()
		l.conns <- &slowConn{Conn: accepted, delay: timeout + time.Second}
		go func() {
			_, _ = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
			_, _ = io.WriteString(caller, "body")
		}()
		resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
		_ = server.Close()
		<-served
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.NoErr(bodyErr)   // the body is read whole
		is.NoErr(cancelled) // the request is not cancelled
	})
}

// Guards against the closing of connections at an earlier, shorter timeout, which
// callers that have seen the longer one still reuse.
func TestIdleConnectionOutlastsARaisedTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var timeout atomic.Int64
		timeout.Store(int64(2 * time.Second))
		g := newIdleGuard(func() time.Duration { return time.Duration(timeout.Load()) })
		c := &deadlineConn{}
		g.observe(c, http.StateIdle)
		time.Sleep(time.Second)
		timeout.Store(int64(10 * time.Second))
		time.Sleep(8 * time.Second)
		is.Equal(c.deadlines.Load(), int32(0))
		time.Sleep(2 * time.Second)
		is.Equal(c.deadlines.Load(), int32(1))
		g.observe(c, http.StateClosed)
	})
}
