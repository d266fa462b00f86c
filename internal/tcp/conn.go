package tcp

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// conn is a TCP connection whose reader also learns of an error that a write has met.
// Linux reports a reset once per socket: after a write that returned it, the next read reports
// a regular end, which would make an answer without a length look whole.
type conn struct {
	net.Conn
	mu       sync.Mutex // held while a write is under way
	writeErr error      // guarded by mu; the loss of the connection that a write has met
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if isLoss(err) {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		// A write under way may be the one that met the reset. After the end of the answer
		// the rest of the request is of no use, so it need not go on.
		_ = c.Conn.SetWriteDeadline(time.Now())
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.writeErr != nil {
			err = c.writeErr
		}
	}
	return n, err
}

// CloseWrite ends the sending half of the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// SetLinger sets the time in seconds for which a close waits for unacknowledged data, as
// net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// isLoss reports whether an error of a write means that the connection was lost. A broken pipe
// only says that the peer had ended it before.
func isLoss(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// IsLocalEnd reports whether an error of a connection was caused by its own user: by a deadline
// or a close.
func IsLocalEnd(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}
