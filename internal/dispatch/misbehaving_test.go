package dispatch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// serveRaw starts a server that reads one request of each connection, writes
// answer and closes the connection, by a reset if isReset is set.
func serveRaw(t *testing.T, answer string, isReset bool) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(conn, answer)
			if isReset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// frames returns the frames of attempt a with the given offsets.
func frames(first, last int) string {
	var s strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&s, "data: {\"attempt\":\"a\",\"offset\":%d,\"text\":\"t%d \"}\n\n", i, i)
	}
	return s.String()
}

type recordingSink struct{ strings.Builder }

// Token implements Sink.
func (s *recordingSink) Token(text string) error {
	_, err := s.WriteString(text)
	return err
}

// Guards against the text or the head of a server's error among the tokens of an
// answer, and against an end that looks complete, after its stream broke off.
func TestBrokenStreamIsContinuedOrFails(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	const errorHead = "HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\noops\n\n"
	const final = "data: {\"attempt\":\"a\",\"offset\":4,\"final\":true,\"finish_reason\":\"stop\"}\n\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	chunked, unframed := head+"Transfer-Encoding: chunked\r\n\r\n", head+"\r\n"
	for _, first := range []string{
		chunked + chunk(frames(0, 1)),
		chunked + chunk(frames(0, 1)) + "0\r\n\r\n",
		chunked + chunk(frames(0, 1)+"data: {\"attempt\":\"a\",\"off") + "0\r\n\r\n",
		chunked + chunk(frames(0, 1)) + errorHead,
		chunked + chunk(frames(0, 1)+errorHead) + "0\r\n\r\n",
		unframed + frames(0, 1),
		unframed + frames(0, 1) + errorHead,
		unframed + frames(0, 1) + "data: {\"attempt\":\"a\",\"off" + errorHead,
		unframed + frames(0, 1) + "data: {\"error\":\"oops\"}\n\n",
		head + "Content-Length: 900\r\n\r\n" + frames(0, 1),
	} {
		for _, next := range []struct {
			raw     string
			isWhole bool
		}{
			{chunked + chunk(frames(2, 3)+final) + "0\r\n\r\n", true},
			{unframed + frames(2, 3) + final, true},
			{unframed + frames(0, 3) + final, true}, // starts over
			{unframed + errorHead, false},
			{errorHead, false},
			{"HTTP/1.1 404 X\r\nContent-Length: 4\r\n\r\nnone", false},
			{"HTTP/1.1 503 X\r\nX-Error-Kind: busy\r\nContent-Length: 4\r\n\r\nfull", false},
			{"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 18\r\n\r\n{\"error\":\"oops\"}\n\n", false},
			{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
			{"HTTP/1.1 200 OK\r\n\r\n", false},
			{"HTTP/1.1 200 OK\r\n", false},
			{unframed + "data: {\"attempt\":\"b\",\"offset\":2,\"final\":true}\n\n", false}, // another attempt
			{unframed + "data: {\"final\":true}\n\n", false},
			{"", false},
		} {
			for _, isReset := range []bool{false, true} {
				is, sink := is.New(t), &recordingSink{}
				a := &answer{sink: sink}
				receive := func(raw string, isReset bool) (backend.Frame, error) {
					engine := backend.NewHTTPDialer().Engine(serveRaw(t, raw, isReset))
					s, err := engine.Generate(t.Context(), backend.GenerateRequest{Attempt: "a", Offset: a.offset})
					if err != nil {
						return backend.Frame{}, err
					}
					defer s.Close()
					f, _, err := new(Dispatcher).receiveFrames(t.Context(), a, &slot{}, newFrameReorderer("a", a.offset), streamEvents(t.Context(), s), func() {})
					return f, err
				}
				_, err := receive(first, isReset)
				is.True(err != nil)
				if sent := sink.String(); !isReset { // a reset may overtake what was sent before it
					is.Equal(sent, "t0 t1 ")
					is.Equal(a.ran, outcome.RanYes)
				}
				before := sink.String()
				f, err := receive(next.raw, false)
				if next.isWhole && before == "t0 t1 " {
					is.NoErr(err)
					is.True(f.Final)
					is.Equal(sink.String(), "t0 t1 t2 t3 ")
				} else if !next.isWhole {
					is.True(err != nil)
					is.True(!f.Final)
					is.Equal(sink.String(), before)
				}
			}
		}
	}
}
