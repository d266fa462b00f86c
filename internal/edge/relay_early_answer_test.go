package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/forward"
)

// startEarlyServer starts a server that answers a request before it has read its body, sends a
// part of the answer and resets the connection up to 3 ms later. arrived counts its requests.
func startEarlyServer(t *testing.T) (address string, arrived *atomic.Int32) {
	t.Helper()
	arrived = new(atomic.Int32)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				arrived.Add(1)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nT-Id: %s\r\n\r\nid: 1\ndata: part\n\n", r.Header.Get("T-Id"))
				time.Sleep(rand.N(3 * time.Millisecond))
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return l.Addr().String(), arrived
}

// upload sends long requests by several senders at once and returns how many got a complete
// answer.
func upload(client *http.Client, url string, bytes int) int {
	const senders, perSender = 6, 15
	var mu sync.Mutex
	var all sync.WaitGroup
	complete := 0
	for s := range senders {
		all.Go(func() {
			for i := range perSender {
				r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(strings.Repeat("x", bytes)))
				if err != nil {
					return
				}
				r.Host, r.GetBody = "h", nil
				r.Header.Set("T-Id", fmt.Sprintf("r%d-%d", s, i))
				r.Header.Set("T-Left", "2000")
				resp, err := client.Do(r)
				if err != nil {
					continue
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if err == nil && resp.StatusCode == http.StatusOK {
					mu.Lock()
					complete++
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	return complete
}

// Guards against the part of an early answer that looks whole through another node: a server
// resets the connection while the request is being written, on either side of the relay, which
// relays in frames or, asked by a node of an earlier release, unchanged.
func TestRelayedEarlyAnswerThatIsResetIsBroken(t *testing.T) {
	address, arrived := startEarlyServer(t)
	nodes, _ := startFleet(t, 2, []string{address}, func(_ int, o *Options) { o.Schema = relaySchema{} })
	awaitMembers(t, nodes)
	for _, isFramed := range []bool{true, false} {
		t.Run(fmt.Sprintf("framed=%v", isFramed), func(t *testing.T) {
			is, relay := is.New(t), nodeState{Inner: nodes[0].innerAddress, RelaysInFrames: isFramed}
			transport := forward.NewTransport(forward.TransportOptions{SingleUse: true, Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
				return nodes[1].relay.ask(ctx, relay, address)
			}})
			arrived.Store(0)
			is.Equal(upload(&http.Client{Transport: transport}, "http://"+address+"/read/1", 3<<20), 0)
			is.True(arrived.Load() > 0)
		})
	}
}

// Guards against the part of an early answer that looks whole to a caller, whatever the kind of
// its route and whether the node reaches the server itself or through another one.
func TestEarlyAnswerThatIsResetIsBroken(t *testing.T) {
	for _, isCut := range []bool{false, true} {
		address, arrived := startEarlyServer(t)
		link := newCutLink()
		nodes, callers := startFleet(t, 2, []string{address}, func(i int, o *Options) {
			o.Schema, o.Headers.LastEventID = relaySchema{}, "Last-Event-Id"
			if i == 0 && isCut {
				o.Dial = link.dial
			}
		})
		awaitMembers(t, nodes)
		if isCut {
			link.set("refuse")
		}
		for _, kind := range []string{"once", "read", "chat"} {
			t.Run(fmt.Sprintf("%s cut=%v", kind, isCut), func(t *testing.T) {
				is, client := is.New(t), &http.Client{Timeout: 10 * time.Second}
				defer client.CloseIdleConnections()
				arrived.Store(0)
				is.Equal(upload(client, "http://"+callers[0]+"/"+kind+"/1", 900<<10), 0)
				is.True(arrived.Load() > 0)
			})
		}
	}
}
