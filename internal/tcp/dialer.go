// Package tcp opens the connections on which the router reads answers. Their readers learn of
// each reset, and of a peer that no longer responds.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// unacknowledgedTimeout is how long sent data may stay unacknowledged
	// before the connection counts as dead.
	unacknowledgedTimeout = 5 * time.Second
	// keepAliveInterval is the interval of keep-alive probes on an idle
	// connection. After keepAliveCount unanswered probes the connection ends.
	keepAliveInterval = time.Second
	keepAliveCount    = 5
	// userTimeout is TCP_USER_TIMEOUT of Linux.
	userTimeout = 0x12
)

// Dialer opens connections. The zero value has no timeout and uses any local address.
type Dialer struct {
	// Timeout bounds the time to connect, 0 for no bound but the context's.
	Timeout time.Duration
	// LocalAddr is the local address, nil for any.
	LocalAddr net.Addr
}

// Dial opens a connection to an address.
func (d Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: d.Timeout, LocalAddr: d.LocalAddr, KeepAliveConfig: keepAlive,
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}

func setUserTimeout(c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Wrap(firstError(err, optErr), "set user timeout")
}

// DetectUnresponsivePeer makes an accepted connection end as those of a Dialer do when its
// peer no longer responds.
func DetectUnresponsivePeer(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket of the connection")
	}
	return firstError(c.SetKeepAliveConfig(keepAlive), setUserTimeout(raw))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
