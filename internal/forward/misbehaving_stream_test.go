package forward

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	streamHead   = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nT-Confidence: 90\r\nContent-Type: text/event-stream\r\n"
	chunkedHead  = streamHead + "Transfer-Encoding: chunked\r\n\r\n"
	unframedHead = streamHead + "\r\n"
	errorHead    = "HTTP/1.1 500 Internal Server Error\r\nT-Id: ID\r\nContent-Type: text/plain\r\n"
)

// eventText returns the text of the events numbered from first to last.
func eventText(first, last int) string {
	var s strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return s.String()
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// resumeTo returns an answer with the events after the last one that the
// request names.
func resumeTo(end int) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		writeStreamHeader(c, r, 90)
		writeChunk(c, eventText(last+1, end))
		writeLastChunk(c)
	}
}

// brokenStreams are streams that break off after their second event.
var brokenStreams = []struct {
	name    string
	raw     string
	isReset bool
}{
	{"chunked, closed", chunkedHead + chunk(eventText(1, 2)), false},
	{"chunked, reset", chunkedHead + chunk(eventText(1, 2)), true},
	{"chunked, closed within an event", chunkedHead + chunk(eventText(1, 2)+"id: 3\nda"), false},
	{"chunked, closed within a chunk", chunkedHead + chunk(eventText(1, 2)) + "ff\r\nid: 3\nda", false},
	{"chunked, ended within an event", chunkedHead + chunk(eventText(1, 2)+"id: 3\ndata: p") + "0\r\n\r\n", false},
	{"chunked, invalid size", chunkedHead + chunk(eventText(1, 2)) + "zz\r\n" + eventText(3, 4), false},
	{"chunked, head in place of a size", chunkedHead + chunk(eventText(1, 2)) + errorHead + "Content-Length: 4\r\n\r\noops", false},
	{"length, closed", streamHead + "Content-Length: 500\r\n\r\n" + eventText(1, 2), false},
	{"unframed, reset", unframedHead + eventText(1, 2), true},
	{"unframed, reset within an event", unframedHead + eventText(1, 2) + "id: 3\nda", true},
	{"unframed, closed within an event", unframedHead + eventText(1, 2) + "id: 3\ndata: p", false},
	{"unframed, closed before the blank line", unframedHead + eventText(1, 2) + "id: 3\ndata: piece 3\n", false},
	{"unframed, head after an event", unframedHead + eventText(1, 2) + errorHead + "Content-Length: 4\r\n\r\noops", false},
	{"unframed, head with blank line after body", unframedHead + eventText(1, 2) + errorHead + "\r\nout of memory\n\n", false},
	{"chunked, head within a chunk", chunkedHead + chunk(eventText(1, 2)+errorHead+"\r\noops\n\n") + "0\r\n\r\n", false},
}

// nextAnswers are answers of the next server that continue no stream.
var nextAnswers = []struct {
	name    string
	raw     string
	isReset bool
}{
	{"500", "HTTP/1.1 500 X\r\nT-Id: ID\r\nContent-Length: 12\r\n\r\ndata: oops\n\n", false},
	{"500 in chunks", "HTTP/1.1 500 X\r\nT-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("data: oops\n\n") + "0\r\n\r\n", false},
	{"500 unframed", "HTTP/1.1 500 X\r\nT-Id: ID\r\n\r\ndata: oops\n\n", false},
	{"500 cut", "HTTP/1.1 500 X\r\nT-Id: ID\r\nContent-Length: 100\r\n\r\ndata: oops\n\n", false},
	{"404", "HTTP/1.1 404 X\r\nT-Id: ID\r\nContent-Length: 4\r\n\r\nnone", false},
	{"410 event stream", "HTTP/1.1 410 X\r\nT-Id: ID\r\nContent-Type: text/event-stream\r\nContent-Length: 12\r\n\r\ndata: oops\n\n", false},
	{"204", "HTTP/1.1 204 X\r\nT-Id: ID\r\n\r\n", false},
	{"302", "HTTP/1.1 302 X\r\nT-Id: ID\r\nLocation: /chat/2\r\nContent-Length: 0\r\n\r\n", false},
	{"421", "HTTP/1.1 421 X\r\nT-Id: ID\r\nContent-Length: 0\r\n\r\n", false},
	{"503 not run", "HTTP/1.1 503 X\r\nT-Id: ID\r\nT-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull", false},
	{"503 not run, no ID", "HTTP/1.1 503 X\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"503 not run, other ID", "HTTP/1.1 503 X\r\nT-Id: r0\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"429", "HTTP/1.1 429 X\r\nT-Id: ID\r\nContent-Length: 0\r\n\r\n", false},
	{"200 JSON", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"error\":\"oops\"}", false},
	{"200 JSON with a blank line", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Type: application/json\r\nContent-Length: 18\r\n\r\n{\"error\":\"oops\"}\n\n", false},
	{"200 text with data", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\ndata: oops\n\n", false},
	{"200 without type", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 0\r\n\r\n", false},
	{"event stream of error text", chunkedHead + chunk("out of memory\n\n") + "0\r\n\r\n", false},
	{"event stream of JSON", chunkedHead + chunk("{\"error\":\"oops\"}\n\n") + "0\r\n\r\n", false},
	{"event stream of a field that is none", chunkedHead + chunk("error: oops\n\n") + "0\r\n\r\n", false},
	{"event stream of a head", unframedHead + errorHead + "\r\n", false},
	{"event stream of a page", chunkedHead + chunk("<html>\n<body>oops</body>\n</html>\n\n") + "0\r\n\r\n", false},
	{"head without body", "HTTP/1.1 200 OK\r\n\r\n", false},
	{"event stream without body", unframedHead, false},
	{"event stream without body, reset", unframedHead, true},
	{"event stream of blank lines", unframedHead + "\n\n", false},
	{"status line only", "HTTP/1.1 200 OK\r\n", false},
	{"head cut", "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Ty", false},
	{"no answer", "", false},
	{"101", "HTTP/1.1 101 X\r\nT-Id: ID\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\ndata: oops\n\n", false},
	{"000", "HTTP/1.1 000 X\r\nT-Id: ID\r\nContent-Type: text/event-stream\r\nContent-Length: 24\r\n\r\nid: 3\ndata: piece 3\n\nid:", false},
	{"099", "HTTP/1.1 099 X\r\nT-Id: ID\r\nContent-Length: 4\r\n\r\noops", false},
	{"103, then closed", "HTTP/1.1 103 X\r\nT-Id: ID\r\n\r\n", false},
}

// Guards against the text or head of a server's error in the middle of a
// stream, and against an end that looks complete, after the stream broke off.
func TestBrokenStreamIsContinuedOrBroken(t *testing.T) {
	for _, caller := range callers {
		nextAnswers := nextAnswers
		if caller.name != "HTTP/1.1" {
			nextAnswers = nextAnswers[:1] // the caller's connection affects the end of the answer only
		}
		for _, first := range brokenStreams {
			for _, next := range nextAnswers {
				for _, recovers := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s/%s/%s/%t", caller.name, first.name, next.name, recovers), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							is, b := is.New(t), newHarness(t)
							last := raw(next.raw, next.isReset)
							if recovers {
								last = resumeTo(4)
							}
							b.scriptedServers(raw(first.raw, first.isReset), raw(next.raw, next.isReset), last)
							got := b.sendRaw(http.MethodPost, "/chat/1", caller.proto, caller.header+chatLines)
							is.Equal(got.status, http.StatusOK)
							seal, _ := headerValue(got.header, "T-Seal")
							is.Equal(seal, "seal")
							is.Equal(got.isWhole, recovers)
							want := eventText(1, 2)
							if recovers {
								want = eventText(1, 4)
							}
							is.Equal(got.body, want)
						})
					})
				}
			}
		}
	}
}

// Guards against checks of streams that change or break a sound one: each legal
// form of events and of framing reaches the caller unchanged.
func TestSoundStreamIsUnchanged(t *testing.T) {
	for _, caller := range callers {
		for _, text := range []string{
			eventText(1, 4),
			strings.ReplaceAll(eventText(1, 4), "\n", "\r\n"),
			"\xef\xbb\xbf" + eventText(1, 4),
			": note\n\n" + eventText(1, 2) + ":\n\n" + eventText(3, 4) + "retry: 100\n\nevent: ping\n\n",
			"weights-version: 3\nid: 1\nevent: token\ndata\ndata: HTTP/1.1 500 X\ndata:{\"a\":1}\n\n",
			"data: without a number\n\ndata: another\n\n",
		} {
			for _, answer := range []string{
				chunkedHead + chunk(text) + "0\r\n\r\n",
				chunkedHead + chunk(text[:9]) + chunk(text[9:]) + "0\r\n\r\n",
				streamHead + "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text,
				unframedHead + text,
				"HTTP/1.0 200 OK" + strings.TrimPrefix(unframedHead, "HTTP/1.1 200 OK") + text,
				"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + unframedHead + text,
			} {
				synctest.Test(t, func(t *testing.T) {
					is, b := is.New(t), newHarness(t)
					b.scriptedServers(raw(answer, false))
					got := b.sendRaw(http.MethodPost, "/chat/1", caller.proto, caller.header+chatLines)
					is.Equal(got.status, http.StatusOK)
					is.True(got.isWhole)
					is.Equal(got.body, text)
					is.Equal(len(b.receivedRequests()), 1)
				})
			}
		}
	}
}

// Guards against a truncated answer to HTTP/1.0 whose end looks regular: over TCP
// the caller reads a reset.
func TestTruncatedAnswerIsResetOverTCP(t *testing.T) {
	is, b := is.New(t), newHarness(t)
	b.scriptedServers(raw(chunkedHead+chunk(eventText(1, 2)), false), raw("", false))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	front := &http.Server{Handler: b.f}
	defer front.Close()
	go func() { _ = front.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /chat/1 HTTP/1.0\r\nHost: h\r\nT-Id: r1\r\nT-Key: key\r\nT-Left: 15000\r\n"+chatLines+"\r\n")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.ReadAll(conn)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against events that a caller receives twice: a stream whose newest event
// has no ID cannot be continued, as no server knows where.
func TestStreamWithoutEventIDsIsNotContinued(t *testing.T) {
	const numbered, unnumbered = "id: 1\ndata: piece 1\n\n", "data: piece 2\n\n"
	for _, c := range []struct{ name, sent string }{
		{"no event has an ID", unnumbered},
		{"the newest event has none", numbered + unnumbered},
	} {
		for _, isReset := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newHarness(t)
				b.scriptedServers(raw(chunkedHead+chunk(c.sent), isReset), resumeTo(4))
				got := b.sendRaw(http.MethodPost, "/chat/1", "HTTP/1.1", chatLines)
				is.Equal(got.body, c.sent) // no other text
				is.True(!got.isWhole)
				is.Equal(len(b.receivedRequests()), 1)
			})
		}
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newHarness(t)
			b.scriptedServers(func(conn net.Conn, r *http.Request) {
				writeStreamHeader(conn, r, 90)
				writeChunk(conn, c.sent)
				time.Sleep(4 * time.Second) // longer than a server may be silent before a stream moves
				writeChunk(conn, "data: piece 3\n\n")
				writeLastChunk(conn)
			}, resumeTo(4))
			got := b.sendRaw(http.MethodPost, "/chat/1", "HTTP/1.1", chatLines)
			is.Equal(got.body, c.sent+"data: piece 3\n\n") // a silent server is waited for
			is.True(got.isWhole)
		})
	}
}
