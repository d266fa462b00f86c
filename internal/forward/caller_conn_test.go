package forward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a truncated answer to HTTP/1.0 that looks whole, because the listener of the
// callers hides how a connection is reset.
func TestTruncatedAnswerToHTTP10ResetsTheCallersConnection(t *testing.T) {
	is, b := is.New(t), newHarness(t)
	b.scriptedServers(raw(chunkedHead+chunk(eventText(1, 2)), false), raw("", false))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	front := &http.Server{Handler: b.f, ConnContext: ConnContext}
	defer front.Close()
	go func() { _ = front.Serve(CallerListener(l)) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /chat/1 HTTP/1.0\r\nHost: h\r\nT-Id: r1\r\nT-Key: key\r\nT-Left: 15000\r\n"+chatLines+"\r\n")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.ReadAll(conn)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
