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
	// connectTimeout bounds a new connection; links take up to 20 ms one way.
	connectTimeout = 400 * time.Millisecond
	// unacknowledged is how long sent data may stay unacknowledged before the
	// connection counts as dead.
	unacknowledged = 5 * time.Second
	// keepAliveEvery is the interval of probes on a silent connection; some
	// without an answer end it.
	keepAliveEvery = time.Second
	keepAliveCount = 5
	// tcpUserTimeout is Linux' TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
	// idlePerServer bounds idle connections to one address.
	idlePerServer = 8
	// maxAnswerHeader bounds the header of an answer in bytes.
	maxAnswerHeader = 64 << 10
)

// ConnectError means that no connection was made, so that nothing was sent.
type ConnectError struct{ Err error }

// Error implements error.
func (e *ConnectError) Error() string { return "connect: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// TransportOptions shape a transport.
type TransportOptions struct {
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// Fresh connections carry one request each.
	Fresh bool
	// Dial opens connections; nil stands for TCP.
	Dial Dial
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// TCP opens TCP connections that notice a silent peer.
func TCP(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

var dialer = &net.Dialer{
	Timeout:         connectTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveCount},
	Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
		})
		return errors.Wrap(firstError(err, set), "set user timeout")
	},
}

// NewTransport returns a transport whose connections notice a silent peer.
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
		MaxIdleConnsPerHost: idlePerServer, IdleConnTimeout: o.IdleTimeout, DisableKeepAlives: o.Fresh,
		DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}
