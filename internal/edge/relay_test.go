package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// relaySchema has a route of each kind.
type relaySchema struct{ testSchema }

func (relaySchema) Routes([]byte) (*route.Table, error) {
	newRoute := func(name string, kind route.Kind, attempts int) route.Route {
		return route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: kind == route.Stream, MaxAttempts: attempts, Timeout: 3 * time.Second,
			Target: 200 * time.Millisecond, MaxPause: time.Second, Anonymous: true, Backends: []route.Backend{{Service: "s", Weight: 1}},
		}
	}
	return route.NewTable(route.Definition{Version: 1, Routes: []route.Route{newRoute("once", route.NonIdempotent, 1), newRoute("read", route.Idempotent, 3), newRoute("chat", route.Stream, 3)}})
}

// cutLink is a node's link to all backend servers, which can be cut.
type cutLink struct {
	mu    sync.Mutex
	mode  string            // guarded by mu; "", "hang", "reset" or "refuse"
	conns map[net.Conn]bool // guarded by mu

}

func newCutLink() *cutLink { return &cutLink{conns: map[net.Conn]bool{}} }

// dial implements forward.Dial.
func (l *cutLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	switch mode {
	case "hang", "reset":
		ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, errors.New("timeout")
	case "refuse", "reset and refuse":
		return nil, errors.New("refused")
	}
	c, err := forward.TCP(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return &hangingConn{Conn: c, link: l}, nil
}

// set cuts the link or heals it. Open connections hang, are reset, or live on while new
// ones are refused.
func (l *cutLink) set(mode string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	if strings.HasPrefix(mode, "reset") {
		for c := range l.conns {
			_ = c.Close()
		}
	}
}

func (l *cutLink) isHanging() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode == "hang"
}

// hangingConn delivers nothing while the link hangs.
type hangingConn struct {
	net.Conn
	link *cutLink
}

// Read implements net.Conn.
func (c *hangingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.link.isHanging() {
		time.Sleep(20 * time.Millisecond)
	}
	return n, err
}

// Write implements net.Conn.
func (c *hangingConn) Write(p []byte) (int, error) {
	if c.link.isHanging() {
		return len(p), nil // lost on the way
	}
	return c.Conn.Write(p)
}

// ranServer counts how often each request ran at all servers together.
type ranServer struct {
	pause     time.Duration // between the events of a stream
	longPause time.Duration // after the third event in addition
	mu        sync.Mutex
	ran       map[string]int // guarded by mu; by request
}

// ServeHTTP implements http.Handler.
func (s *ranServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.ran[r.Header.Get("T-Id")]++
	s.mu.Unlock()
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	if !strings.HasPrefix(r.URL.Path, "/chat/") {
		time.Sleep(10 * time.Millisecond)
		_, _ = w.Write(append([]byte("answer to "), body...))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= 8; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, body)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(max(s.pause, 15*time.Millisecond))
		if i == 3 {
			time.Sleep(s.longPause)
		}
	}
}

// startRanServers starts servers that share their counts.
func startRanServers(t testing.TB, count int) (*ranServer, []string) {
	t.Helper()
	s := &ranServer{ran: map[string]int{}}
	var addresses []string
	for range count {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return s, addresses
}

// isServed sends one request and reports whether its whole answer arrived.
func isServed(client *http.Client, address, kind, id string) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+kind+"/1", strings.NewReader(id))
	if err != nil {
		return false
	}
	r.Host, r.GetBody = "h", nil
	r.Header.Set("T-Id", id)
	r.Header.Set("T-Left", strconv.FormatInt((client.Timeout/2).Milliseconds(), 10))
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	if kind == "chat" {
		return strings.Count(string(raw), "id: ") == 8 && strings.Count(string(raw), id) == 8
	}
	return string(raw) == "answer to "+id
}

// sendAll sends requests of all kinds to a node and returns how many were sent and served.
func sendAll(address, prefix string, duration time.Duration) (sent, served int) {
	client := &http.Client{Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var senders sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		kind, id := []string{"once", "read", "chat"}[sent%3], prefix+strconv.Itoa(sent)
		sent++
		senders.Go(func() {
			if isServed(client, address, kind, id) {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	return sent, served
}

const (
	// cutSettleTime is from when on callers of a cut-off node are served as often as others.
	cutSettleTime = 3 * time.Second
	// maxFailedTries and maxFailedShare bound the first tries that fail there.
	maxFailedTries = 10
	maxFailedShare = 1.0 / 50
)

// Guards against a node that has lost its links to all backend servers, and refuses what the
// other nodes could serve.
func TestCutOffNodeServesItsCallers(t *testing.T) {
	for _, mode := range []string{"hang", "reset", "refuse"} {
		t.Run(mode, func(t *testing.T) {
			is := is.New(t)
			server, addresses := startRanServers(t, 6)
			links := []*cutLink{newCutLink(), newCutLink(), newCutLink(), newCutLink()}
			_, callers := startFleet(t, len(links), addresses, func(i int, o *Options) {
				o.Schema, o.Dial, o.Headers.LastEventID = relaySchema{}, links[i].dial, "Last-Event-Id"
			})
			time.Sleep(time.Second)
			sent, served := sendAll(callers[1], "before", time.Second)
			is.Equal(served, sent)
			links[1].set(mode)
			links[2].set(mode)
			sendAll(callers[1], "onset", cutSettleTime)
			sent, served = sendAll(callers[1], "cut", 3*time.Second)
			t.Logf("%d of %d served by the node that is cut off", served, sent)
			is.True(float64(sent-served) <= maxFailedTries+maxFailedShare*float64(sent))
			is.True(3*served >= 2*sent)
			links[1].set("")
			links[2].set("")
			time.Sleep(2 * time.Second)
			sent, served = sendAll(callers[1], "healed", time.Second)
			is.Equal(served, sent)
			server.mu.Lock()
			defer server.mu.Unlock()
			for id, n := range server.ran {
				// The last digits of an ID give its kind: once is sent first of three.
				number, _ := strconv.Atoi(strings.TrimLeft(id, "abcdefghijklmnopqrstuvwxyz"))
				if number%3 == 0 && n > 1 {
					t.Errorf("request %s ran %d times", id, n)
				}
			}
		})
	}
}

// countRuns returns how often a request ran.
func (s *ranServer) countRuns(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// A silent server is probed by the way that its stream takes: a node that reaches it through
// another must not give it up because the direct way is cut.
func TestSilentServerBehindARelayIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	server, addresses := startRanServers(t, 2)
	server.longPause = 1500 * time.Millisecond
	link := newCutLink()
	_, callers := startFleet(t, 2, addresses, func(i int, o *Options) {
		o.Schema, o.Headers.LastEventID = pausingSchema{}, "Last-Event-Id"
		if i == 1 {
			o.Dial = link.dial
		}
	})
	time.Sleep(2500 * time.Millisecond)
	link.set("refuse")
	client := &http.Client{Timeout: 20 * time.Second}
	is.True(isServed(client, callers[1], "chat", "silent"))
	is.Equal(server.countRuns("silent"), 1)
}

// pausingSchema has a route whose streams may pause for three seconds.
type pausingSchema struct{ testSchema }

func (pausingSchema) Routes([]byte) (*route.Table, error) {
	return route.NewTable(route.Definition{Version: 1, Routes: []route.Route{{
		Name: "chat", Host: "h", Prefix: "/chat/", Kind: route.Stream, Resumable: true, MaxAttempts: 3, Timeout: 10 * time.Second, Target: 5 * time.Second,
		MaxPause: 3 * time.Second, Anonymous: true, Backends: []route.Backend{{Service: "s", Weight: 1}},
	}}})
}

// A stream that breaks off because the node's links are reset, and whose server then refuses
// this node, has not crashed its server: other nodes reach it.
func TestCutLinkIsNotTakenForACrash(t *testing.T) {
	is := is.New(t)
	server, addresses := startRanServers(t, 3)
	server.pause = 150 * time.Millisecond
	link := newCutLink()
	nodes, callers := startFleet(t, 2, addresses, func(i int, o *Options) {
		o.Schema, o.Headers.LastEventID = pausingSchema{}, "Last-Event-Id"
		if i == 1 {
			o.Dial = link.dial
		}
	})
	awaitMembers(t, nodes)
	served := make(chan bool)
	go func() { served <- isServed(&http.Client{Timeout: 20 * time.Second}, callers[1], "chat", "broken") }()
	for server.countRuns("broken") == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	link.set("reset and refuse")
	is.True(<-served) // resumed through the other node
	time.Sleep(600 * time.Millisecond)
	suspects, _ := nodes[1].suspects.SnapshotIfChanged(time.Now())
	is.Equal(len(suspects), 0)
}
