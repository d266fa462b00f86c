//go:build review

package harness

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// proxy stands between the nodes and the store. It can let open channels go silent: from then
// on nothing passes on them, and they are not closed. New ones work.
type proxy struct {
	address, target string
	record          *record
	mu              sync.Mutex
	channels        map[*channel]bool // guarded by mu
}

// channel is one connection of a node to the store.
type channel struct {
	node, store net.Conn
	mu          sync.Mutex
	waitsFor    string // guarded by mu; the watch that is open on it, "" if none
	isSilent    bool   // guarded by mu
}

func startProxy(rec *record, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &proxy{address: l.Addr().String(), target: target, record: rec, channels: map[*channel]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(conn)
		}
	}()
	return p
}

// carry passes requests and answers on, one after the other.
func (p *proxy) carry(conn net.Conn) {
	store, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	c := &channel{node: conn, store: store}
	p.mu.Lock()
	p.channels[c] = true
	p.mu.Unlock()
	c.pump()
	p.mu.Lock()
	delete(p.channels, c)
	p.mu.Unlock()
	_ = store.Close()
	if !c.silent() {
		_ = conn.Close()
	}
}

func (c *channel) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSilent
}

func (c *channel) setWatch(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitsFor = what
}

// pump carries the channel until it ends or is silent.
func (c *channel) pump() {
	requests, answers := bufio.NewReader(c.node), bufio.NewReader(c.store)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil || c.silent() {
			return
		}
		if r.URL.Path == "/rows-feed" {
			c.setWatch(r.URL.Query().Get("tableName"))
		}
		if r.Write(c.store) != nil {
			return
		}
		resp, err := http.ReadResponse(answers, r)
		if err != nil || c.silent() {
			return
		}
		c.setWatch("")
		err = resp.Write(c.node)
		_ = resp.Body.Close()
		if err != nil {
			return
		}
	}
}

// silence lets the channels with an open watch of a table go silent. The nodes set keep-alive
// probes, which the proxy's kernel answers in place of the lost peer; it therefore resets the
// channels once the probes would have.
func (p *proxy) silence(table string, probesFail time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for c := range p.channels {
		c.mu.Lock()
		if strings.EqualFold(c.waitsFor, table) {
			c.isSilent = true
			count++
			time.AfterFunc(probesFail, func() {
				if tcp, ok := c.node.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = c.node.Close()
				p.record.add("channel  of a node to the store is reset, as the node's own probes would do by now")
			})
		}
		c.mu.Unlock()
	}
	return count
}
