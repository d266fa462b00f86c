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

// network connects addresses in memory, so that tests run on a virtual clock.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// dark addresses answer no connection.
	dark map[string]bool
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, dark: map[string]bool{}}
}

var errRefused = errors.New("connection refused")

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	address = strings.TrimSuffix(address, ":80")
	l, dark := n.listeners[address], n.dark[address]
	n.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *network) setDark(address string, dark bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dark[address] = dark
}

func (n *network) listen(address string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

type listener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return memAddr(l.address) }

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

// serveRaw answers each connection of an address by do, which speaks bytes.
func serveRaw(l *listener, do func(net.Conn, *http.Request)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				do(conn, r)
			}
		}()
	}
}
