package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// faultyAnswers are answers that break off or are no answers in the protocol.
var faultyAnswers = []struct {
	name    string
	raw     string
	isReset bool
}{
	{"nothing", "", false},
	{"nothing, reset", "", true},
	{"part of a status line", "HTTP/1.1 20", false},
	{"status line without end", "HTTP/1.1 200 OK", false},
	{"status line", "HTTP/1.1 200 OK\r\n", false},
	{"status line, reset", "HTTP/1.1 200 OK\r\n", true},
	{"part of a name", "HTTP/1.1 200 OK\r\nT-I", false},
	{"part of a value", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 1", false},
	{"part of a line end", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r", false},
	{"no blank line", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\n", false},
	{"no blank line, reset", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\n", true},
	{"no blank line after a length", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 0\r\n", false},
	{"part of a blank line", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 0\r\n\r", false},
	{"cut after an informational head", "HTTP/1.1 103 X\r\nT-Id: ID\r\n\r\n", false},
	{"cut in the head after an informational one", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nT-Id: ID\r\n", false},
	{"informational head with a body", "HTTP/1.1 100 X\r\nContent-Length: 4\r\n\r\noops", false},
	{"head without headers", "HTTP/1.1 200 OK\r\n\r\n", false},
	{"head without headers, and text", "HTTP/1.1 200 OK\r\n\r\noops", false},
	{"reset after the head", "HTTP/1.1 200 OK\r\nT-Id: ID\r\n\r\n", true},
	{"unframed body, reset", "HTTP/1.1 200 OK\r\nT-Id: ID\r\n\r\nid: 1\ndata: x\n", true},
	{"empty body with a length", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 5\r\n\r\n", false},
	{"body shorter than its length", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 50\r\n\r\nid: 1\ndata: x\n", false},
	{"two lengths", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\noops", false},
	{"negative length", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: -4\r\n\r\noops", false},
	{"length that is no number", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 4x\r\n\r\noops", false},
	{"no chunk", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	{"no last chunk", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: x\n"), false},
	{"part of the last chunk", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: x\n") + "0\r\n", false},
	{"part of a chunk", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nid: 1", false},
	{"invalid chunk size", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\noops\r\n0\r\n\r\n", false},
	{"unknown transfer coding", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nTransfer-Encoding: gzip\r\n\r\noops", false},
	{"no protocol", "oops", false},
	{"other protocol", "HTTP/3.0 200 OK\r\nT-Id: ID\r\nContent-Length: 4\r\n\r\noops", false},
	{"status of two digits", "HTTP/1.1 20 OK\r\nT-Id: ID\r\nContent-Length: 4\r\n\r\noops", false},
	{"status 000", "HTTP/1.1 000 X\r\nT-Id: ID\r\nContent-Length: 4\r\n\r\noops", false},
	{"status 099", "HTTP/1.1 099 X\r\nT-Id: ID\r\nContent-Length: 4\r\n\r\noops", false},
	{"switch of protocols", "HTTP/1.1 101 X\r\nT-Id: ID\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\noops", false},
	{"switch of protocols without a name", "HTTP/1.1 101 X\r\nT-Id: ID\r\n\r\n", false},
}

// Guards against an answer that broke off, or is none in the protocol, and that a
// caller receives as a whole one, or as no answer at all.
func TestFaultyAnswerIsNotForwarded(t *testing.T) {
	for _, caller := range callers {
		for _, path := range []string{"/once/1", "/read/1", "/chat/1"} {
			for _, faulty := range faultyAnswers {
				for _, recovers := range []bool{true, false} {
					name := strings.Join([]string{caller.name, path, faulty.name}, "/")
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							is, b := is.New(t), newHarness(t)
							last := raw(faulty.raw, faulty.isReset)
							if recovers {
								last = func(c net.Conn, r *http.Request) {
									if path == "/chat/1" {
										resumeTo(2)(c, r)
										return
									}
									writeAnswer(c, r, http.StatusOK, "", eventText(1, 2))
								}
							}
							b.scriptedServers(raw(faulty.raw, faulty.isReset), last)
							got := b.sendRaw(http.MethodPost, path, caller.proto, caller.header+chatLines)
							is.True(got.isWhole)
							if recovers && path != "/once/1" {
								is.Equal(got.status, http.StatusOK)
								is.Equal(got.body, eventText(1, 2))
								return
							}
							is.Equal(got.status, http.StatusBadGateway)
							is.Equal(got.body, `{"error":"backend server failed"}`)
							is.True(path != "/once/1" || len(b.receivedRequests()) == 1)
						})
					})
				}
			}
		}
	}
}

// Guards against checks of answers that change a sound one: each legal form of a
// head and of framing reaches the caller as it is.
func TestSoundAnswerIsUnchanged(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\n"
	for _, c := range []struct {
		raw    string
		status int
		body   string
	}{
		{head + "Content-Length: 4\r\n\r\nbody", 200, "body"},
		{head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
		{head + "Content-Length: 0\r\n\r\n", 200, ""},
		{head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("bo") + chunk("dy") + "0\r\n\r\n", 200, "body"},
		{head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n" + chunk("body") + "0\r\nA: b\r\n\r\n", 200, "body"},
		{head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200, ""},
		{head + "\r\nbody", 200, "body"},
		{head + "Connection: close\r\n\r\nbody", 200, "body"},
		{"HTTP/1.0 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\n\r\nbody", 200, "body"},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nT-Id: earlier\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody", 200, "body"},
		{"HTTP/1.1 404 X\r\nt-id: ID\r\nt-seal: seal\r\nContent-Length: 4\r\n\r\nnone", 404, "none"},
		{"HTTP/1.1 302 X\r\nT-Id: ID\r\nT-Seal: seal\r\nLocation: :none\r\nContent-Length: 4\r\n\r\nelse", 302, "else"},
		{"HTTP/1.1 999 X\r\nT-Id: ID\r\nT-Seal: seal\r\nContent-Length: 4\r\n\r\nbody", 999, "body"},
	} {
		for _, caller := range callers {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newHarness(t)
				b.scriptedServers(func(conn net.Conn, r *http.Request) {
					_, _ = io.WriteString(conn, strings.ReplaceAll(c.raw, "ID", r.Header.Get("T-Id")))
				})
				got := b.sendRaw(http.MethodPost, "/once/1", caller.proto, caller.header)
				is.Equal(got.status, c.status)
				seal, _ := headerValue(got.header, "T-Seal")
				is.Equal(seal, "seal")
				is.Equal(got.body, c.body)
				is.True(got.isWhole)
			})
		}
	}
}
