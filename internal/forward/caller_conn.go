package forward

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// CallerListener returns a listener whose connections remember the error that ended
// reading from the caller, so that logs tell a caller that closed from one that was reset
// or timed out. ConnContext makes it available to requests.
func CallerListener(l net.Listener) net.Listener { return callerListener{l} }

type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	mu      sync.Mutex
	readErr error // guarded by mu
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.mu.Lock()
		c.readErr = err
		c.mu.Unlock()
	}
	return n, err
}

// SetLinger makes the server able to reset the connection; see net.TCPConn.
func (c *callerConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.New("connection has no linger time")
}

// CloseWrite makes the server able to close its sending side only; see net.TCPConn.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return errors.New("connection cannot be closed for writing only")
}

type callerConnKey struct{}

// ConnContext is the ConnContext hook of a server with a CallerListener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// cancelCause returns why a request was cancelled: the error of reading from the caller's
// connection if it is known.
func cancelCause(ctx context.Context) error {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return context.Cause(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr == nil {
		return errors.Wrap(context.Cause(ctx), "connection is still read")
	}
	return c.readErr
}
