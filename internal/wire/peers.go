package wire

import (
	"context"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout = time.Second
	// redialDelay is the time after a failed connection during which a peer is
	// not dialed again.
	redialDelay = 500 * time.Millisecond
	// silenceLimit is how long a connection with a call in progress may receive
	// nothing before it is pinged, and how long the ping may take.
	silenceLimit = time.Second
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = time.Minute
)

// ErrPeerUnreachable means that the peer could not be reached or did not answer.
var ErrPeerUnreachable = errors.New("the peer did not answer: it counts as unreachable until it does")

// ErrUnsupported means that the peer runs an older program without this call.
var ErrUnsupported = errors.New("the peer's program does not know this call: upgrade it")

// unknownMethodPrefix is the start of net/rpc's answer to an unknown method.
const unknownMethodPrefix = "rpc: can't find method"

// DialFunc opens a connection to a peer's inner address. Tests replace it.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a plain connection within dialTimeout. All code except tests uses
// it.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// activityConn is a connection that records when it last received bytes.
type activityConn struct {
	net.Conn
	lastRead atomic.Int64
}

func (c *activityConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// silence returns the time since the connection last received bytes.
func (c *activityConn) silence() time.Duration {
	return time.Duration(time.Now().UnixNano() - c.lastRead.Load())
}

// connection is one connection to a peer.
type connection struct {
	client    *rpc.Client
	conn      *activityConn
	lastUsed  atomic.Int64 // Unix nanoseconds
	isPinging atomic.Bool
}

// peer holds the connection to one address and when to dial again.
type peer struct {
	// dialing holds a value while a call dials.
	dialing chan struct{}
	mu      sync.Mutex
	conn    *connection // guarded by mu
	retryAt time.Time   // guarded by mu
}

// Peers keeps one connection to each peer. It is safe for concurrent use.
// Lock order: Peers.mu before peer.mu.
type Peers struct {
	secret   []byte
	versions Versions
	dial     DialFunc
	mu       sync.Mutex
	peers    map[string]*peer // guarded by mu, by address
	isClosed bool             // guarded by mu
}

// NewPeers returns an empty set of connections.
func NewPeers(secret string, dial DialFunc) *Peers {
	return &Peers{secret: []byte(secret), versions: SupportedVersions, dial: dial, peers: map[string]*peer{}}
}

// peer returns the entry of an address, new if there was none. It returns
// ErrPeerUnreachable after Close.
func (p *Peers) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return nil, errors.Wrap(ErrPeerUnreachable, "this node has stopped")
	}
	remote := p.peers[address]
	if remote == nil {
		remote = &peer{dialing: make(chan struct{}, 1)}
		p.peers[address] = remote
	}
	return remote, nil
}

// current returns the open connection, nil if the caller may dial, or
// ErrPeerUnreachable within redialDelay of a failure.
func (p *peer) current() (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.lastUsed.Store(time.Now().UnixNano())
		return p.conn, nil
	}
	if time.Now().Before(p.retryAt) {
		return nil, errors.Wrap(ErrPeerUnreachable, "it could not be reached a moment ago")
	}
	return nil, nil
}

// setConnection records a new connection, or a failure to connect if c is nil.
func (p *peer) setConnection(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
	if c == nil {
		p.retryAt = time.Now().Add(redialDelay)
	}
}

// drop closes and removes a broken connection. Calls in progress on it fail.
func (p *peer) drop(c *connection) {
	c.client.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.conn = nil
		p.retryAt = time.Now().Add(redialDelay)
	}
}

// connect returns the open connection or dials a new one. Only one call dials at
// a time; the others wait for it.
func (p *Peers) connect(ctx context.Context, to *peer, address string) (*connection, error) {
	if c, err := to.current(); c != nil || err != nil {
		return c, err
	}
	select {
	case to.dialing <- struct{}{}:
		defer func() { <-to.dialing }()
	case <-ctx.Done():
		return nil, errors.Wrap(ErrPeerUnreachable, ctx.Err().Error())
	}
	if c, err := to.current(); c != nil || err != nil {
		return c, err
	}
	c, err := p.open(ctx, address)
	if err != nil {
		to.setConnection(nil)
		return nil, err
	}
	to.setConnection(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		to.drop(c)
	}
	return c, nil
}

// open dials an address and performs the handshake.
func (p *Peers) open(ctx context.Context, address string) (*connection, error) {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrPeerUnreachable, err.Error())
	}
	if err := respond(conn, p.secret, p.versions); err != nil {
		conn.Close()
		return nil, err
	}
	activity := &activityConn{Conn: conn}
	now := time.Now().UnixNano()
	activity.lastRead.Store(now)
	c := &connection{client: rpc.NewClient(activity), conn: activity}
	c.lastUsed.Store(now)
	return c, nil
}

// Call calls method, such as "Exchange", of the peer at address. It returns
// ErrPeerUnreachable if the peer does not answer before ctx ends, ErrBusy if the
// peer has too many calls in progress, ErrUnsupported if its program lacks the
// method, and other errors of the handler as rpc.ServerError. A silent connection
// is pinged during the call, so that the call fails soon after a peer freezes.
func (p *Peers) Call(ctx context.Context, address, method string, args, reply any) error {
	to, err := p.peer(address)
	if err != nil {
		return err
	}
	c, err := p.connect(ctx, to, address)
	if err != nil {
		return err
	}
	call := c.client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(silenceLimit)
	defer timer.Stop()
	for {
		select {
		case <-call.Done:
			return to.callError(c, call)
		case <-ctx.Done():
			return errors.Wrap(ErrPeerUnreachable, ctx.Err().Error())
		case <-timer.C:
			to.pingIfSilent(c)
			timer.Reset(silenceLimit)
		}
	}
}

// callError returns the error of a finished call. It drops the connection unless
// the peer answered.
func (p *peer) callError(c *connection, call *rpc.Call) error {
	var answered rpc.ServerError
	switch {
	case call.Error == nil:
		return nil
	case !errors.As(call.Error, &answered):
		p.drop(c)
		return errors.Wrap(ErrPeerUnreachable, call.Error.Error())
	case strings.HasPrefix(answered.Error(), unknownMethodPrefix):
		return errors.Wrap(ErrUnsupported, answered.Error())
	case answered.Error() == ErrBusy.Error():
		return ErrBusy
	}
	return call.Error
}

// pingIfSilent pings a connection that was silent for silenceLimit, in the
// background, and drops it if no answer arrives.
func (p *peer) pingIfSilent(c *connection) {
	if c.conn.silence() < silenceLimit || !c.isPinging.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.isPinging.Store(false)
		call := c.client.Go(linkName+".Ping", Empty{}, &Empty{}, make(chan *rpc.Call, 1))
		timer := time.NewTimer(silenceLimit)
		defer timer.Stop()
		select {
		case <-call.Done:
		case <-timer.C:
			p.drop(c)
		}
	}()
}

// CloseIdle closes connections that were idle for idleTimeout and removes peers
// without a connection.
func (p *Peers) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, to := range p.peers {
		to.mu.Lock()
		c := to.conn
		isIdle := c != nil && time.Since(time.Unix(0, c.lastUsed.Load())) > idleTimeout && c.conn.silence() > idleTimeout
		isUnused := c == nil && time.Since(to.retryAt) > idleTimeout
		to.mu.Unlock()
		if isIdle {
			to.drop(c)
		}
		if isUnused {
			delete(p.peers, address)
		}
	}
}

// Close closes all connections; calls in progress fail and new ones return
// ErrPeerUnreachable.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, to := range p.peers {
		to.mu.Lock()
		c := to.conn
		to.mu.Unlock()
		if c != nil {
			to.drop(c)
		}
	}
}
