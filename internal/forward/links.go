package forward

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// relayDelay is how long a connection to a server may take before another node is
	// asked to open one. A server accepts within a few milliseconds plus two link delays.
	relayDelay = 150 * time.Millisecond
	// relayRetryInterval is how long no node is asked for a server that none could reach.
	relayRetryInterval = time.Second
	// linkProbeInterval is the least time between two tries to reach a server directly
	// while its connections lead through other nodes.
	linkProbeInterval = time.Second
	// suspiciousCuts is how many links are lost, with no direct connection since, before
	// this node distrusts all its links and the connections that it has kept.
	suspiciousCuts = 2
)

// links opens connections to backend servers: directly, or through another node where only
// that node reaches the server. What tells a lost link from a server that is down is that
// another node connects. It is safe for concurrent use.
type links struct {
	direct Dial
	// relay opens a connection through another node. Nil if there is none.
	relay Dial
	// onChange is called when the link to a server is lost or has healed.
	onChange   func(address string, isCut bool)
	mu         sync.Mutex
	cut        map[string]time.Time // guarded by mu; by address, when it was last tried directly
	unrelayed  map[string]time.Time // guarded by mu; by address, when no other node reached it
	cutAt      time.Time            // guarded by mu; when a link was last found cut
	directedAt time.Time            // guarded by mu; when a direct connection was last made
}

func newLinks(direct, relay Dial, onChange func(address string, isCut bool)) *links {
	if onChange == nil {
		onChange = func(string, bool) {}
	}
	return &links{direct: direct, relay: relay, onChange: onChange, cut: map[string]time.Time{}, unrelayed: map[string]time.Time{}}
}

// Ends of a connection that leads through another node, other than its server's regular end.
var (
	// ErrRelayLost is returned if the other node has ended or cannot tell how the server's
	// connection did. The server is not to blame: send the request again if it may be.
	ErrRelayLost = errors.New("the node that relays the connection has ended, or does not tell how the server's connection ended")
	// ErrServerBrokeOff is returned if the server's connection was reset or timed out.
	ErrServerBrokeOff = errors.New("server's connection broke off at the node that relays it")
)

// relayedConn is a connection that leads through another node.
type relayedConn struct{ net.Conn }

// countCut returns the number of servers that are reached through other nodes.
func (l *links) countCut() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.cut)
}

func (l *links) isCut(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.cut[address]
	return ok
}

// isSuspicious reports whether this node seems to have lost all its links.
func (l *links) isSuspicious() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.cut) >= suspiciousCuts && l.directedAt.Before(l.cutAt)
}

// record records how a server was reached.
func (l *links) record(address string, isRelayed bool) {
	l.mu.Lock()
	_, wasCut := l.cut[address]
	now := time.Now()
	if isRelayed {
		if !wasCut {
			l.cut[address], l.cutAt = now, now
		}
	} else {
		delete(l.cut, address)
		l.directedAt = now
	}
	l.mu.Unlock()
	if wasCut != isRelayed {
		l.onChange(address, isRelayed)
	}
}

// keep drops the state of servers that are not listed.
func (l *links) keep(listed map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address := range l.cut {
		if !listed[address] {
			delete(l.cut, address)
		}
	}
	for address, at := range l.unrelayed {
		if time.Since(at) > relayRetryInterval {
			delete(l.unrelayed, address)
		}
	}
}

// canRelay reports whether another node may be asked for a server.
func (l *links) canRelay(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.relay != nil && time.Since(l.unrelayed[address]) > relayRetryInterval
}

// dialRelay opens a connection through another node.
func (l *links) dialRelay(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := l.relay(ctx, network, address)
	if err == nil {
		return relayedConn{c}, nil
	}
	if ctx.Err() == nil {
		l.mu.Lock()
		l.unrelayed[address] = time.Now()
		l.mu.Unlock()
	}
	return nil, err
}

// dialed is the result of one way to a server.
type dialed struct {
	conn      net.Conn
	err       error
	isRelayed bool
}

// dial connects to a server directly, and through another node if that fails or takes long.
func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !l.canRelay(address) {
		c, err := l.direct(ctx, network, address)
		if err == nil {
			l.record(address, false)
		}
		return c, err
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	delay := relayDelay
	if l.isSuspicious() {
		delay = 0
	}
	results, pending := make(chan dialed, 2), 1
	go func() {
		c, err := l.direct(ctx, network, address)
		results <- dialed{c, err, false}
	}()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	askRelay := sync.OnceFunc(func() {
		pending++
		go func() {
			c, err := l.dialRelay(ctx, network, address)
			results <- dialed{c, err, true}
		}()
	})
	var directErr error
	for pending > 0 {
		select {
		case <-timer.C:
			askRelay()
		case r := <-results:
			pending--
			if r.err == nil {
				l.record(address, r.isRelayed)
				go l.discard(cancel, results, pending, address)
				return r.conn, nil
			}
			if !r.isRelayed {
				directErr = r.err
				askRelay()
			}
		}
	}
	cancel()
	return nil, directErr
}

// discard closes the connection of the slower way. A direct one shows that the link is only
// slow.
func (l *links) discard(cancel context.CancelFunc, results <-chan dialed, pending int, address string) {
	defer cancel()
	for range pending {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
			if !r.isRelayed {
				l.record(address, false)
			}
		}
	}
}

// dialCut connects to a server whose link is cut. It returns to the direct way if the link
// has healed or no other node reaches the server.
func (l *links) dialCut(ctx context.Context, network, address string) (net.Conn, error) {
	l.probe(network, address)
	if l.canRelay(address) {
		if c, err := l.dialRelay(ctx, network, address); err == nil {
			return c, nil
		}
	}
	c, err := l.direct(ctx, network, address)
	if err == nil {
		l.record(address, false)
	}
	return c, err
}

// probe tries a cut link in the background if the last try is long enough ago.
func (l *links) probe(network, address string) {
	l.mu.Lock()
	last, isCut := l.cut[address]
	isDue := isCut && time.Since(last) >= linkProbeInterval
	if isDue {
		l.cut[address] = time.Now()
	}
	l.mu.Unlock()
	if !isDue {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		if c, err := l.direct(ctx, network, address); err == nil {
			_ = c.Close()
			l.record(address, false)
		}
	}()
}

// traceRelay returns a context in which the attempt records whether its connection leads
// through another node, and that its server has just accepted it.
func (a *attempt) traceRelay(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		_, isRelayed := info.Conn.(relayedConn)
		a.isRelayed.Store(isRelayed)
		if !info.Reused && !info.WasIdle {
			a.member.RecordAccepted(time.Now())
		}
	}})
}

// probeDial returns the way by which the attempt's server is probed: the one that its
// connection takes.
func (x *exchange) probeDial(a *attempt) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if a.isRelayed.Load() {
			return x.f.links.dialRelay(ctx, network, address)
		}
		return x.f.links.direct(ctx, network, address)
	}
}

// CutLinks returns the number of listed backend servers that this node reaches only
// through others.
func (f *Forwarder) CutLinks() int {
	if f.links.countCut() == 0 {
		return 0
	}
	f.links.keep(f.opts.Pool.Addresses())
	return f.links.countCut()
}
