package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/tcp"
)

const (
	// connectTimeout bounds the time to connect. Links take up to 20 ms one
	// way.
	connectTimeout = 400 * time.Millisecond
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

// TCP opens connections to backend servers and the platform.
func TCP(ctx context.Context, network, address string) (net.Conn, error) {
	return tcp.Dialer{Timeout: connectTimeout}.Dial(ctx, network, address)
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
