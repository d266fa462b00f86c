package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/matryer/is"
)

// resettableConn is one end of a connection in memory whose peer can be given a
// reset in place of an end of file.
type resettableConn struct {
	net.Conn
	wasReset *atomic.Bool // shared by both ends
}

// pipe returns the two ends of a connection in memory.
func pipe() (local, remote *resettableConn) {
	a, b := net.Pipe()
	wasReset := new(atomic.Bool)
	return &resettableConn{a, wasReset}, &resettableConn{b, wasReset}
}

// Read implements io.Reader.
func (c *resettableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.wasReset.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// SetLinger makes the next Close reset the connection, as for TCP.
func (c *resettableConn) SetLinger(seconds int) error {
	c.wasReset.Store(seconds == 0)
	return nil
}

// reset closes the connection by a reset.
func reset(c net.Conn) {
	_ = c.(*resettableConn).SetLinger(0)
	_ = c.Close()
}

// received is what a caller read from its connection, and how that ended.
type received struct {
	status int
	header string
	body   string // without its framing
	// isWhole is false if the caller sees that its answer broke off.
	isWhole bool
}

// callers are the kinds of callers' connections.
var callers = []struct{ name, proto, header string }{
	{"HTTP/1.1", "HTTP/1.1", ""},
	{"HTTP/1.1 close", "HTTP/1.1", "Connection: close\r\n"},
	{"HTTP/1.0", "HTTP/1.0", ""},
}

// sendRaw sends a request on a new connection and reads its bytes until the
// connection ends or falls silent.
func (b *harness) sendRaw(method, path, proto, header string) received {
	b.t.Helper()
	is := is.New(b.t)
	conn, err := b.net.dial(b.t.Context(), "tcp", "front")
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "%s %s %s\r\nHost: h\r\nT-Id: r1\r\nT-Key: key\r\nT-Left: 15000\r\n%sContent-Length: 4\r\n\r\nbody", method, path, proto, header)
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(30 * time.Second)))
	raw, err := io.ReadAll(conn)
	head, body, _ := strings.Cut(string(raw), "\r\n\r\n")
	r := received{header: head, body: body}
	if fields := strings.Fields(head); len(fields) > 1 {
		r.status, _ = strconv.Atoi(fields[1])
	}
	switch length, hasLength := headerValue(head, "Content-Length"); {
	case r.status == 0:
	case hasLength:
		r.isWhole = length == strconv.Itoa(len(body))
	case strings.Contains(head, "Transfer-Encoding: chunked"):
		text, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(body)))
		r.body, r.isWhole = string(text), err == nil
		is.True(!r.isWhole || strings.HasSuffix(body, "0\r\n\r\n")) // nothing follows the last chunk
	default:
		r.isWhole = err == nil // the end of the connection ends the answer
	}
	return r
}

// headerValue returns the value of a header of a raw answer.
func headerValue(head, name string) (string, bool) {
	for line := range strings.SplitSeq(head, "\r\n") {
		if n, v, _ := strings.Cut(line, ": "); n == name {
			return v, true
		}
	}
	return "", false
}

// chatLines are chatHeaders as lines of a raw request.
const chatLines = "T-Model: *\r\nT-Tokens: 700,400\r\nT-Prompt: a:100,b:100,c:500\r\nT-Session: s1\r\n"

// scriptedServers adds three servers. The nth request of all gets the nth answer,
// further ones the last.
func (b *harness) scriptedServers(answers ...func(net.Conn, *http.Request)) {
	var sent atomic.Int32
	for _, id := range []string{"x", "y", "z"} {
		b.server(id, func(c net.Conn, r *http.Request) {
			answers[min(int(sent.Add(1)), len(answers))-1](c, r)
		})
	}
}

// raw returns an answer of the given bytes, in which ID stands for the ID of the
// request. The connection then ends by a reset or an end of file.
func raw(answer string, isReset bool) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", r.Header.Get("T-Id")))
		if isReset {
			reset(c)
		}
	}
}
