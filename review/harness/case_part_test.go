//go:build review

package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	headerPrompt = "X-Cowslipfall-Prompt-Prefix"
	deadlyPart   = "dead0002"
	partReplicas = 2
	partEvents   = 10
	partPause    = 100 * time.Millisecond
	// backAfter is how long a crashed replica is away.
	backAfter = 2200 * time.Millisecond
)

// engine is a stand-in of a model replica that crashes when it begins to write an answer on a
// deadly part of a prompt. It is back after some seconds, under the same ID.
type engine struct {
	b           *bench
	id, address string
	mu          sync.Mutex
	listener    net.Listener      // guarded by mu; nil while it is down
	conns       map[net.Conn]bool // guarded by mu
	crashes     *crashLog
}

// crashLog holds when replicas crashed and when deadly requests reached one.
type crashLog struct {
	mu               sync.Mutex
	crashes, reached []time.Time // guarded by mu
}

func (e *engine) start(address string) {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err)
	e.mu.Lock()
	e.listener, e.address, e.conns = l, l.Addr().String(), map[net.Conn]bool{}
	e.mu.Unlock()
	e.b.store.put("servers", e.id, map[string]any{
		"service": "drafts", "address": e.address, "zone": "lahti-1", "version": "v1", "slots": 12, "state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[conn] = true
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
}

// crash resets all connections and closes the port; the replica starts again later.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	_ = e.listener.Close()
	e.listener = nil
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	e.crashes.mu.Lock()
	e.crashes.crashes = append(e.crashes.crashes, time.Now())
	e.crashes.mu.Unlock()
	e.b.record.add("crash    %s", e.id)
	time.AfterFunc(backAfter, func() { e.start(e.address) })
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(headerID)
	isDeadly := strings.Contains(r.Header.Get(headerPrompt), deadlyPart)
	e.b.record.add("run      %s at %s, deadly %v", id, e.id, isDeadly)
	if isDeadly {
		e.crashes.mu.Lock()
		e.crashes.reached = append(e.crashes.reached, time.Now())
		e.crashes.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		e.crash()
		return
	}
	first := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: seal-%s\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", headerID, id, headerSeal, id)
	for i := first + 1; i <= partEvents; i++ {
		event := fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", i, i, id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		time.Sleep(partPause)
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// quickServers sends prompts with a part that crashes replicas beside sound ones.
func quickServers(b *bench) int {
	b.store = startStore()
	c := streamConfig()
	c["routes"].([]any)[0].(map[string]any)["sessionAffinity"] = true
	b.store.put("op", "config", c)
	var log crashLog
	for i := range partReplicas {
		e := &engine{b: b, id: fmt.Sprintf("i-engine-%d", i+1), crashes: &log}
		e.start("127.0.0.1:0")
	}
	b.nodes = newNodes(2, b.dir, b.store.address)
	if !awaitReady(b.nodes, 15*time.Second) {
		panic("the nodes are not ready in time")
	}
	time.Sleep(4 * time.Second)
	until := time.Now().Add(60 * time.Second)
	served, sent := 0, 0
	var mu sync.Mutex
	prompt := func(part string, count bool) func(n *node) {
		return func(n *node) {
			id := newID()
			r, err := http.NewRequest("POST", "http://"+n.callers+streamPath, strings.NewReader(id))
			check(err)
			r.Host = "booking.example"
			r.Header.Set(headerID, id)
			r.Header.Set(headerDeadline, "10000")
			r.Header.Set(headerKey, consumerKey)
			r.Header.Set("X-Cowslipfall-Token-Counts", "1450,40")
			r.Header.Set(headerPrompt, "aaaa0001:800,"+part+":400,"+id[:8]+":250")
			client := http.Client{Timeout: 11 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			b.record.add("sent     %s %s to %s", id, part, n.name)
			resp, err := client.Do(r)
			status, text := 0, ""
			if err == nil {
				raw, readErr := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if text = string(raw); readErr == nil {
					status = resp.StatusCode
				}
			}
			b.record.add("answered %s %d %.60q", id, status, text)
			if count {
				mu.Lock()
				sent++
				if status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		}
	}
	var flows sync.WaitGroup
	flow := func(every time.Duration, send func(n *node)) {
		flows.Go(func() {
			var calls sync.WaitGroup
			for i := 0; time.Now().Before(until); i++ {
				calls.Go(func() { send(b.nodes[i%len(b.nodes)]) })
				time.Sleep(every)
			}
			calls.Wait()
		})
	}
	flow(300*time.Millisecond, prompt("bbbb0003", true))
	if b.trouble {
		flow(200*time.Millisecond, prompt(deadlyPart, false))
	}
	flows.Wait()
	log.mu.Lock()
	defer log.mu.Unlock()
	late := 0
	if len(log.crashes) >= 5 {
		for _, at := range log.reached {
			if at.After(log.crashes[4].Add(contact)) {
				late++
			}
		}
	}
	b.record.note("crashes: %d; deadly requests that reached a replica: %d, later than contactMs after the fifth crash: %d; sound requests: %d sent, %d served", len(log.crashes), len(log.reached), late, sent, served)
	if late > 3 {
		b.record.note("BUDGET is broken")
		return exitBroken
	}
	return exitHeld
}
