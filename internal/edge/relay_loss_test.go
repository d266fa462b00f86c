package edge

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
)

// startUnframedServer starts a server whose answers have neither a length nor chunks and end
// with their connection. Answers to /chat/ are streams of eight events.
func startUnframedServer(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		parts := []string{"answer ", "to ", string(body)}
		if strings.HasPrefix(r.URL.Path, "/chat/") {
			parts = nil
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for i := last + 1; i <= 8; i++ {
				parts = append(parts, fmt.Sprintf("id: %d\ndata: %s\n\n", i, body))
			}
		}
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nT-Id: %s\r\nConnection: close\r\n\r\n", r.Header.Get("T-Id"))
		for _, p := range parts {
			_, _ = out.WriteString(p)
			_ = out.Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// endingRelay is a node that carries connections to a server, of which it closes the first
// after it has passed on a given text: regularly, as the kernel does for a process that ends.
type endingRelay struct {
	listener net.Listener
	endAfter string
	asked    atomic.Int32
	prefaces chan byte
}

func startEndingRelay(t *testing.T, address, endAfter string) *endingRelay {
	t.Helper()
	l, err := net.Listen("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	r := &endingRelay{listener: l, endAfter: endAfter, prefaces: make(chan byte, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

func (r *endingRelay) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	preface, err := in.ReadByte()
	if err != nil || preface != relayPreface && preface != framedRelayPreface {
		return
	}
	r.prefaces <- preface
	address, err := in.ReadString('\n')
	if err != nil {
		return
	}
	server, err := net.Dial("tcp", strings.TrimSpace(address))
	if err != nil {
		return
	}
	defer server.Close()
	isFirst := r.asked.Add(1) == 1
	_, _ = io.WriteString(conn, relayAccepted+"\n")
	go func() { _, _ = io.Copy(server, in) }()
	var source io.Reader = server
	if isFirst {
		source = &readerUntil{src: server, text: []byte(r.endAfter)}
	}
	if preface == framedRelayPreface {
		_ = sendFrames(&withoutEndMark{Writer: conn, isActive: isFirst}, source, func() bool { return true })
	} else {
		_, _ = io.Copy(conn, source)
	}
}

// readerUntil ends after it has read a text.
type readerUntil struct {
	src  io.Reader
	text []byte
	seen []byte
}

// Read implements io.Reader.
func (r *readerUntil) Read(p []byte) (int, error) {
	if bytes.Contains(r.seen, r.text) {
		return 0, io.EOF
	}
	n, err := r.src.Read(p)
	r.seen = append(r.seen, p[:n]...)
	return n, err
}

// withoutEndMark drops the mark that tells how a server's connection ended.
type withoutEndMark struct {
	io.Writer
	isActive bool
}

// Write implements io.Writer.
func (w *withoutEndMark) Write(p []byte) (int, error) {
	if w.isActive && len(p) == frameHeaderBytes {
		return len(p), nil
	}
	return w.Writer.Write(p)
}

// Guards against an answer without a length that looks whole though the node that relays it
// has ended, of this release or of the one before.
func TestLostRelayIsNotTakenForTheEndOfAnAnswer(t *testing.T) {
	for _, isFramed := range []bool{true, false} {
		for _, c := range []struct {
			kind, endAfter string
			wantServed     bool
		}{{"chat", "id: 3\n", isFramed}, {"read", "answer to ", isFramed}, {"once", "answer to ", false}} {
			t.Run(fmt.Sprintf("%s framed=%v", c.kind, isFramed), func(t *testing.T) {
				is := is.New(t)
				address, link := startUnframedServer(t), newCutLink()
				nodes, callers := startFleet(t, 1, []string{address}, func(_ int, o *Options) {
					o.Schema, o.Headers.LastEventID, o.Dial = relaySchema{}, "Last-Event-Id", link.dial
				})
				inner := net.JoinHostPort(fleetIP(1), portOf(nodes[0].innerAddress))
				r := startEndingRelay(t, inner, c.endAfter)
				keepListed(t, nodes[0], nodeState{Node: "relay", Inner: inner, DataCentre: "a", Relays: true, RelaysInFrames: isFramed, Weight: 1})
				link.set("refuse")
				time.Sleep(300 * time.Millisecond)
				served, status, body := sendOne(t, callers[0], c.kind, "r1")
				t.Logf("status %d, whole as its framing says: %v, %q", status, served, body)
				wantPreface := byte(relayPreface)
				if isFramed {
					wantPreface = framedRelayPreface
				}
				is.Equal(<-r.prefaces, wantPreface)
				isWhole := body == "answer to r1" || strings.Count(body, "id: ") == 8 && strings.Contains(body, "id: 8\n")
				is.True(!served || isWhole) // no part of an answer passes for the whole
				if c.wantServed {
					is.True(served && isWhole)
				}
			})
		}
	}
}

// keepListed keeps a node in another node's list of members until the test ends.
func keepListed(t *testing.T, n *Node, s nodeState) {
	t.Helper()
	list := encode(t, []nodeState{s})
	apply := func() {
		n.members.applyMemberLists([]gossip.Row{{Key: "h", Data: list}}, time.Now())
	}
	apply()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			apply()
			time.Sleep(20 * time.Millisecond)
		}
	}()
	t.Cleanup(func() { stop(); <-done })
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// sendOne sends one request. It reports whether a successful answer ended as its framing says.
func sendOne(t *testing.T, address, kind, id string) (ended bool, status int, body string) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+kind+"/1", strings.NewReader(id))
	is.NoErr(err)
	r.Host, r.GetBody = "h", nil
	r.Header.Set("T-Id", id)
	r.Header.Set("T-Left", "2500")
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		return false, 0, err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK, resp.StatusCode, string(raw)
}

// Guards against a relay that passes a reset of the server's connection off as its regular end.
func TestFramesTellHowTheServersConnectionEnded(t *testing.T) {
	for _, isReset := range []bool{true, false} {
		is := is.New(t)
		address := breakingServer(t, isReset)
		nodes, _ := startFleet(t, 2, []string{address}, func(_ int, o *Options) { o.Schema = relaySchema{} })
		awaitMembers(t, nodes)
		conn, err := nodes[1].relay.open(t.Context(), "tcp", address)
		is.NoErr(err)
		defer conn.Close()
		_, isFramed := conn.(*framedConn)
		is.True(isFramed) // the other node has told that it relays in frames
		_, err = io.WriteString(conn, "question\n")
		is.NoErr(err)
		raw, err := io.ReadAll(conn)
		is.Equal(string(raw), "part")
		is.Equal(errors.Is(err, forward.ErrServerBrokeOff), isReset)
		is.Equal(err != nil, isReset)
	}
}

// Guards against nodes of two releases that do not understand each other while a fleet is
// upgraded: what each sends is read by the other, and unknown fields are passed over.
func TestRelaysOfTheReleaseBeforeAreUnderstood(t *testing.T) {
	is := is.New(t)
	var s nodeState
	is.NoErr(json.Unmarshal([]byte(`{"node":"n","inner":"10.0.0.1:1","callers":"c","dc":"a","ready":true,"permits":true,"relays":true,"weight":1}`), &s))
	is.True(s.Relays)
	is.True(!s.RelaysInFrames)
	// The fields of nodeState in the release before.
	var before struct {
		Node, Inner, Callers string
		DataCentre           string `json:"dc"`
		Ready, Relays        bool
		Weight               float64
	}
	sent := nodeState{Node: "n", Inner: "10.0.0.1:1", Callers: "c", DataCentre: "a", Ready: true, Relays: true, RelaysInFrames: true, Weight: 1}
	is.NoErr(json.Unmarshal(encode(t, sent), &before))
	is.Equal(before.Inner, sent.Inner)
	is.True(before.Ready && before.Relays)

	_, addresses := startRanServers(t, 1)
	nodes, _ := startFleet(t, 2, addresses, func(_ int, o *Options) { o.Schema = relaySchema{} })
	awaitMembers(t, nodes)
	conn, line := relayFrom(t, "127.0.1.2", nodes[0].innerAddress, addresses[0])
	is.Equal(line, relayAccepted)
	_, err := io.WriteString(conn, "POST /read/1 HTTP/1.1\r\nHost: h\r\nT-Id: r\r\nContent-Length: 1\r\nConnection: close\r\n\r\nq")
	is.NoErr(err)
	raw, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(raw), "answer to q"))
}

// Guards against a relay that passes the end of a server's process off as the end of its answer.
func TestRelayTellsThatTheServerHasEnded(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	nodes, _ := startFleet(t, 2, []string{l.Addr().String()}, func(_ int, o *Options) { o.Schema = relaySchema{} })
	awaitMembers(t, nodes)
	for _, preface := range []byte{framedRelayPreface, relayPreface} {
		node := nodeState{Inner: nodes[0].innerAddress, RelaysInFrames: preface == framedRelayPreface}
		conn, err := nodes[1].relay.ask(t.Context(), node, l.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		server, err := l.Accept()
		is.NoErr(err)
		_, err = server.Write([]byte("part"))
		is.NoErr(err)
		is.NoErr(server.Close())
		is.NoErr(l.Close())
		raw, err := io.ReadAll(conn)
		is.Equal(string(raw), "part")
		is.True(err != nil)
		is.Equal(errors.Is(err, forward.ErrServerBrokeOff), node.RelaysInFrames)
		l, err = net.Listen("tcp", l.Addr().String())
		is.NoErr(err)
	}
	_ = l.Close()
}
