package fleet

import (
	"context"
	"net"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// network connects in-memory listeners and can cut the connections between hosts.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener // guarded by mu; by address
	cuts      map[[2]string]bool   // guarded by mu; by host names
	conns     map[*link]bool       // guarded by mu
}

// newNetwork returns a network without listeners or cuts.
func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, cuts: map[[2]string]bool{}, conns: map[*link]bool{}}
}

// listener accepts in-memory connections.
type listener struct {
	net     *network
	address string
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// memAddr is the address of an in-memory listener.
type memAddr string

func (a memAddr) Network() string { return "mem" }
func (a memAddr) String() string  { return string(a) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.address)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return memAddr(l.address) }

// listen opens an address of the form "host:service".
func (n *network) listen(address string) *listener {
	l := &listener{net: n, address: address, queue: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// link is one connection, with the hosts at its ends.
type link struct {
	net.Conn
	net  *network
	ends [2]string
}

func (c *link) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// host returns the host of an address.
func host(address string) string { return strings.Split(address, ":")[0] }

// hostPair returns two hosts in an order that does not depend on the direction.
func hostPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// dial returns the dial function of one host.
func (n *network) dial(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		isCut := n.cuts[hostPair(from, host(address))]
		n.mu.Unlock()
		if l == nil || isCut {
			return nil, errors.Errorf("%s cannot reach %s", from, address)
		}
		clientEnd, serverEnd := net.Pipe()
		c := &link{Conn: clientEnd, net: n, ends: hostPair(from, host(address))}
		select {
		case l.queue <- serverEnd:
		case <-l.closed:
			return nil, errors.Errorf("%s is closed", address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		return c, nil
	}
}

// setCut cuts two hosts off from each other, or reconnects them.
func (n *network) setCut(a, b string, isCut bool) {
	n.mu.Lock()
	n.cuts[hostPair(a, b)] = isCut
	var broken []*link
	for c := range n.conns {
		if isCut && c.ends == hostPair(a, b) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}
