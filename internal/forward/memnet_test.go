package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
)

// memNetwork connects addresses in memory, so that tests run on a virtual
// clock.
type memNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	// unresponsive addresses accept no connection and send no refusal.
	unresponsive map[string]bool
}

func newMemNetwork() *memNetwork {
	return &memNetwork{listeners: map[string]*memListener{}, unresponsive: map[string]bool{}}
}

var errRefused = errors.New("connection refused")

func (n *memNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	address = strings.TrimSuffix(address, ":80")
	l, unresponsive := n.listeners[address], n.unresponsive[address]
	n.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errRefused
	}
	local, remote := pipe()
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *memNetwork) setUnresponsive(address string, unresponsive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unresponsive[address] = unresponsive
}

func (n *memNetwork) listen(address string) *memListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

type memListener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

// serveRaw calls handle with each connection of l and its first request.
func serveRaw(l *memListener, handle func(net.Conn, *http.Request)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				handle(conn, r)
			}
		}()
	}
}
