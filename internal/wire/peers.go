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
	// redialAfter is how long a peer that could not be reached is left alone.
	redialAfter = 500 * time.Millisecond
	// silentAfter is how long a connection with a call under way may stay
	// silent before it is tested, and how long that test may take.
	silentAfter = time.Second
	// idleAfter is how long an unused connection is kept.
	idleAfter = time.Minute
)

// ErrPeer means that the peer could not be reached or did not answer.
var ErrPeer = errors.New("the peer did not answer: it is taken for dead until it does")

// ErrUnsupported means that the peer's program is older and does not know the
// call.
var ErrUnsupported = errors.New("the peer's program does not know this call: upgrade it")

// unknownMethod begins net/rpc's answer to a call that it does not know.
const unknownMethod = "rpc: can't find method"

// Dial opens a connection to a peer's inner address. Tests replace it.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// TCP is the Dial used outside tests.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// readClock notes when a connection last brought anything.
type readClock struct {
	net.Conn
	last atomic.Int64
}

func (c *readClock) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.last.Store(time.Now().UnixNano())
	}
	return n, err
}

// silence returns how long ago the connection last brought anything.
func (c *readClock) silence() time.Duration {
	return time.Duration(time.Now().UnixNano() - c.last.Load())
}

// connection is one connection to a peer.
type connection struct {
	client  *rpc.Client
	clock   *readClock
	used    atomic.Int64
	testing atomic.Bool
}

// peer is what is kept of one address.
type peer struct {
	// turn is held by the one call that dials.
	turn    chan struct{}
	mu      sync.Mutex
	conn    *connection // guarded by mu
	retryAt time.Time   // guarded by mu
}

// Peers keeps one connection to each peer. It is safe for concurrent use.
// Lock order: Peers.mu before peer.mu.
type Peers struct {
	secret   []byte
	versions Versions
	dial     Dial
	mu       sync.Mutex
	peers    map[string]*peer // guarded by mu, by address
	closed   bool             // guarded by mu
}

// NewPeers returns an empty set of connections.
func NewPeers(secret string, dial Dial) *Peers {
	return &Peers{secret: []byte(secret), versions: Spoken, dial: dial, peers: map[string]*peer{}}
}

func (p *Peers) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.Wrap(ErrPeer, "this node has stopped")
	}
	got := p.peers[address]
	if got == nil {
		got = &peer{turn: make(chan struct{}, 1)}
		p.peers[address] = got
	}
	return got, nil
}

// current returns the open connection, or whether dialing must wait.
func (p *peer) current() (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.used.Store(time.Now().UnixNano())
		return p.conn, nil
	}
	if time.Now().Before(p.retryAt) {
		return nil, errors.Wrap(ErrPeer, "it could not be reached a moment ago")
	}
	return nil, nil
}

// set takes a new connection, or notes that there is none for now.
func (p *peer) set(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
	if c == nil {
		p.retryAt = time.Now().Add(redialAfter)
	}
}

// drop forgets a broken connection; calls under way on it fail.
func (p *peer) drop(c *connection) {
	c.client.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.conn = nil
		p.retryAt = time.Now().Add(redialAfter)
	}
}

// connect returns the open connection or dials.
func (p *Peers) connect(ctx context.Context, to *peer, address string) (*connection, error) {
	if c, err := to.current(); c != nil || err != nil {
		return c, err
	}
	select {
	case to.turn <- struct{}{}:
		defer func() { <-to.turn }()
	case <-ctx.Done():
		return nil, errors.Wrap(ErrPeer, ctx.Err().Error())
	}
	if c, err := to.current(); c != nil || err != nil {
		return c, err
	}
	c, err := p.open(ctx, address)
	if err != nil {
		to.set(nil)
		return nil, err
	}
	to.set(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		to.drop(c)
	}
	return c, nil
}

func (p *Peers) open(ctx context.Context, address string) (*connection, error) {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrPeer, err.Error())
	}
	if err := respond(conn, p.secret, p.versions); err != nil {
		conn.Close()
		return nil, err
	}
	clock := &readClock{Conn: conn}
	now := time.Now().UnixNano()
	clock.last.Store(now)
	c := &connection{client: rpc.NewClient(clock), clock: clock}
	c.used.Store(now)
	return c, nil
}

// Call calls method, such as "Exchange", of the peer at address. It returns
// ErrPeer if the peer does not answer before ctx ends. A peer whose connection
// stays silent is tested meanwhile, so that the call fails soon after the
// peer froze.
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
	timer := time.NewTimer(silentAfter)
	defer timer.Stop()
	for {
		select {
		case <-call.Done:
			return to.result(c, call)
		case <-ctx.Done():
			return errors.Wrap(ErrPeer, ctx.Err().Error())
		case <-timer.C:
			to.test(c)
			timer.Reset(silentAfter)
		}
	}
}

// result turns a finished call into its error.
func (p *peer) result(c *connection, call *rpc.Call) error {
	var remote rpc.ServerError
	switch {
	case call.Error == nil:
		return nil
	case !errors.As(call.Error, &remote):
		p.drop(c)
		return errors.Wrap(ErrPeer, call.Error.Error())
	case strings.HasPrefix(remote.Error(), unknownMethod):
		return errors.Wrap(ErrUnsupported, remote.Error())
	case remote.Error() == ErrBusy.Error():
		return ErrBusy
	}
	return call.Error
}

// test pings a silent connection in the background and drops it if nothing
// comes back.
func (p *peer) test(c *connection) {
	if c.clock.silence() < silentAfter || !c.testing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.testing.Store(false)
		call := c.client.Go(linkName+".Ping", Empty{}, &Empty{}, make(chan *rpc.Call, 1))
		timer := time.NewTimer(silentAfter)
		defer timer.Stop()
		select {
		case <-call.Done:
		case <-timer.C:
			p.drop(c)
		}
	}()
}

// Sweep closes connections that no call has used for a while.
func (p *Peers) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, to := range p.peers {
		to.mu.Lock()
		c := to.conn
		idle := c != nil && time.Since(time.Unix(0, c.used.Load())) > idleAfter && c.clock.silence() > idleAfter
		gone := c == nil && time.Since(to.retryAt) > idleAfter
		to.mu.Unlock()
		if idle {
			to.drop(c)
		}
		if gone {
			delete(p.peers, address)
		}
	}
}

// Close cuts all connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, to := range p.peers {
		to.mu.Lock()
		c := to.conn
		to.mu.Unlock()
		if c != nil {
			to.drop(c)
		}
	}
}
