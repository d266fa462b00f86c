package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// framings are the ways in which a head tells where its body ends, each with the start of a
// body that is to go on.
var framings = []struct{ name, header, body string }{
	{"length", "Content-Length: 9000000\r\n", "id: 1\ndata: x\n"},
	{"chunks", "Transfer-Encoding: chunked\r\n", chunk("id: 1\ndata: x\n")},
	{"chunks, part of one", "Transfer-Encoding: chunked\r\n", "ff\r\nid: 1\ndata: x\n"},
	{"chunks, none", "Transfer-Encoding: chunked\r\n", ""},
	{"no length", "", "id: 1\ndata: x\n"},
}

// attemptEnd is a way in which an attempt ends, other than by a whole answer.
type attemptEnd struct {
	name string
	// end is called once the server has sent the head and the start of the body.
	end func(b *harness, server string, c net.Conn)
	// prepare is called before the request is sent; it may be nil.
	prepare func(b *harness)
}

var attemptEnds = []attemptEnd{
	{name: "closed", end: func(*harness, string, net.Conn) {}},
	{name: "reset", end: func(_ *harness, _ string, c net.Conn) { reset(c) }},
	{name: "silent", end: func(_ *harness, _ string, c net.Conn) { _, _ = io.Copy(io.Discard, c) }},
	{name: "server ended", end: func(b *harness, server string, c net.Conn) {
		_ = c.Close()
		b.net.mu.Lock()
		defer b.net.mu.Unlock()
		_ = b.net.listeners[server].Close()
	}},
	{name: "relay lost", end: func(*harness, string, net.Conn) {}, prepare: func(b *harness) {
		b.relayThrough(func(c net.Conn) net.Conn { return lostRelayConn{c} })
	}},
	{name: "too long", end: func(_ *harness, _ string, c net.Conn) {
		for range maxPlainBody>>20 + 1 {
			_, _ = io.WriteString(c, strings.Repeat("x", 1<<20))
		}
	}},
	{name: "no memory", end: func(*harness, string, net.Conn) {}, prepare: func(b *harness) { b.f.memory.limit = minHeldBuffer }},
}

// lostRelayConn is a connection through another node that is lost when the server ends it.
type lostRelayConn struct{ net.Conn }

// Read implements io.Reader.
func (c lostRelayConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		err = ErrRelayLost
	}
	return n, err
}

// relayThrough lets all connections to servers lead through another node, which changes them.
func (b *harness) relayThrough(change func(net.Conn) net.Conn) {
	b.f.links.direct = func(context.Context, string, string) (net.Conn, error) { return nil, errRefused }
	b.f.links.relay = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := b.net.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return change(c), nil
	}
}

// faultyServers adds three servers that send a head and the start of a body, and then end.
func (b *harness) faultyServers(text string, e attemptEnd) {
	for _, id := range []string{"x", "y", "z"} {
		b.server(id, func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("T-Id")))
			e.end(b, id, c)
		})
	}
	if e.prepare != nil {
		e.prepare(b)
	}
}

// Guards against a request that may run only once and goes to a second server, or is refused
// as not run, after an attempt that may have run it: whatever the status, the framing and the
// end of that attempt.
func TestRequestThatMayHaveRunGoesToNoSecondServer(t *testing.T) {
	for _, path := range []string{"/once/1", "/story/1"} {
		for _, status := range []int{200, 204, 302, 404, 408, 429, 500, 503, 504, 999} {
			for _, framing := range framings {
				for _, end := range attemptEnds {
					t.Run(fmt.Sprintf("%s/%d/%s/%s", path, status, framing.name, end.name), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							is, b := is.New(t), newHarness(t)
							b.faultyServers(fmt.Sprintf("HTTP/1.1 %d X\r\nT-Id: ID\r\nT-Seal: seal\r\n%s\r\n%s", status, framing.header, framing.body), end)
							got := b.sendRaw(http.MethodPost, path, "HTTP/1.1", chatLines)
							is.Equal(len(b.receivedRequests()), 1)
							is.True(got.status != 0 && !promisesNoRun(got.status))
						})
					})
				}
			}
		}
		for _, faulty := range faultyAnswers {
			for _, isRelayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/relayed=%t", path, faulty.name, isRelayed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is, b := is.New(t), newHarness(t)
						b.scriptedServers(raw(faulty.raw, faulty.isReset))
						if isRelayed {
							b.relayThrough(func(c net.Conn) net.Conn { return c })
						}
						got := b.sendRaw(http.MethodPost, path, "HTTP/1.1", chatLines)
						is.Equal(len(b.receivedRequests()), 1)
						is.Equal(got.status, http.StatusBadGateway)
					})
				})
			}
		}
	}
}

// Guards against requests that may run more than once and are no longer sent to a second
// server after a failure that breaks off.
func TestRepeatableRequestGoesToASecondServerAfterABrokenFailure(t *testing.T) {
	for _, path := range []string{"/read/1", "/chat/1"} {
		for _, framing := range framings[:3] {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newHarness(t)
				broken := raw("HTTP/1.1 500 X\r\nT-Id: ID\r\nT-Seal: seal\r\n"+framing.header+"\r\n"+framing.body, true)
				b.scriptedServers(broken, resumeTo(2))
				got := b.sendRaw(http.MethodPost, path, "HTTP/1.1", chatLines)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, eventText(1, 2))
				is.Equal(len(b.receivedRequests()), 2)
			})
		}
	}
}
