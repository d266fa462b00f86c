package backend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endless serves bytes until the connection is closed, after a head, and counts
// them.
func endless(t *testing.T, head, text string) (address string, sent *atomic.Int64) {
	t.Helper()
	sent = &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte(head))
		writeUntilClosed(conn, text, sent)
	}))
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), sent
}

func writeUntilClosed(conn net.Conn, text string, sent *atomic.Int64) {
	for {
		n, err := conn.Write([]byte(text))
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Servers in trouble send bytes that are no answer until the connection is
// closed. Each such answer ends soon, and after few bytes.
func TestAnswersWithoutEndAreEnded(t *testing.T) {
	const bound, head = 32 << 20, "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("x", 16<<10)
	for _, c := range []struct{ name, head, text string }{
		{"no answer", "", long},
		{"line of the head", head + "A: ", long},
		{"lines of the head", head, "A: " + long + "\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nA: " + long + "\r\n\r\n"},
		{"one line", head + "\r\n", long},
		{"comments", head + "\r\n", strings.Repeat(": still here\n\n", 100)},
		{"blank lines", head + "\r\n", strings.Repeat("\n", 4<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, sent := endless(t, c.head, c.text)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			began := time.Now()
			_, err := NewHTTPDialer().Service(address).Do(ctx, Call{Method: http.MethodGet, Path: "/"})
			is.True(err != nil)
			stream, err := NewHTTPDialer().Engine(address).Generate(ctx, GenerateRequest{})
			if err == nil {
				_, err = stream.Next()
				is.NoErr(stream.Close())
			}
			is.True(err != nil)
			is.True(time.Since(began) < 10*time.Second)
			is.True(sent.Load() < bound)
		})
	}
}
