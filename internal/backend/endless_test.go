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

// serveEndless starts a server that writes head and then repeats text until the
// connection is closed.
func serveEndless(t *testing.T, head, text string) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = conn.Write([]byte(head))
		for err == nil {
			_, err = conn.Write([]byte(text))
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// countingDialer returns a dialer and a count of the bytes read from its
// connections.
func countingDialer() (*HTTPDialer, *atomic.Int64) {
	d, bytesRead := NewHTTPDialer(), &atomic.Int64{}
	for _, client := range []*http.Client{d.http, d.oneShot} {
		transport := client.Transport.(*http.Transport)
		dial := transport.DialContext
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			return countingConn{conn, bytesRead}, err
		}
	}
	return d, bytesRead
}

// countingConn adds the bytes read from a connection to a count.
type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesRead.Add(int64(n))
	return n, err
}

// Faulty servers send an endless run of bytes that is no valid answer. The client
// ends each such answer within seconds and after a bounded number of bytes.
func TestEndlessAnswersAreEnded(t *testing.T) {
	const maxBytes, statusLine = 18 << 20, "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("x", 16<<10)
	for _, c := range []struct{ name, head, text string }{
		{"no answer", "", long},
		{"header line", statusLine + "A: ", long},
		{"header lines", statusLine, "A: " + long + "\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nA: " + long + "\r\n\r\n"},
		{"one line", statusLine + "\r\n", long},
		{"comments", statusLine + "\r\n", strings.Repeat(": still here\n\n", 100)},
		{"blank lines", statusLine + "\r\n", strings.Repeat("\n", 4<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := serveEndless(t, c.head, c.text)
			dialer, bytesRead := countingDialer()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			start := time.Now()
			_, err := dialer.Service(address).Do(ctx, Call{Method: http.MethodGet, Path: "/"})
			is.True(err != nil)
			stream, err := dialer.Engine(address).Generate(ctx, GenerateRequest{})
			if err == nil {
				_, err = stream.Next()
				is.NoErr(stream.Close())
			}
			is.True(err != nil)
			is.True(time.Since(start) < 10*time.Second)
			is.True(bytesRead.Load() < maxBytes)
		})
	}
}
