package forward

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// connectTimeout bounds the time to connect. Links take up to 20 ms one
	// way.
	connectTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is how long sent data may stay unacknowledged
	// before the connection counts as dead.
	unacknowledgedTimeout = 5 * time.Second
	// keepAliveInterval is the interval of keep-alive probes on an idle
	// connection. After keepAliveCount unanswered probes the connection ends.
	keepAliveInterval = time.Second
	keepAliveCount    = 5
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
	// maxIdleConnsPerServer bounds the idle connections to one address.
	maxIdleConnsPerServer = 8
	// maxAnswerHeaderBytes bounds the header of an answer in bytes.
	maxAnswerHeaderBytes = 64 << 10
)

// ConnectError means that no connection could be opened, so nothing was sent.
type ConnectError struct{ Err error }

// Error implements error.
func (e *ConnectError) Error() string { return "connect: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// TransportOptions are the options of a transport.
type TransportOptions struct {
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// SingleUse makes each connection carry only one request.
	SingleUse bool
	// Dial opens connections. Nil means TCP.
	Dial Dial
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// TCP opens TCP connections that detect an unresponsive peer.
func TCP(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &tcpConn{Conn: conn}, nil
}

// TCPFrom is TCP with a local address.
func TCPFrom(ctx context.Context, source net.Addr, address string) (net.Conn, error) {
	d := *dialer
	d.LocalAddr = source
	return d.DialContext(ctx, "tcp", address)
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}

var dialer = &net.Dialer{
	Timeout:         connectTimeout,
	KeepAliveConfig: keepAlive,
	Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
}

func setUserTimeout(c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Wrap(firstError(err, optErr), "set user timeout")
}

// DetectUnresponsivePeer makes an accepted connection end as those that TCP opens do when its
// peer no longer responds.
func DetectUnresponsivePeer(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket of the connection")
	}
	return firstError(c.SetKeepAliveConfig(keepAlive), setUserTimeout(raw))
}

// NewTransport returns a transport. Its default TCP connections detect an
// unresponsive peer.
func NewTransport(o TransportOptions) *http.Transport {
	if o.Dial == nil {
		o.Dial = TCP
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := o.Dial(ctx, network, address)
			if err != nil {
				return nil, &ConnectError{err}
			}
			return conn, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerServer, IdleConnTimeout: o.IdleTimeout, DisableKeepAlives: o.SingleUse,
		DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
