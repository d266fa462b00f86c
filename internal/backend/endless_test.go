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

// endless serves bytes until the connection is closed, after a head.
func endless(t *testing.T, head, text string) (address string) {
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

// countingDialer is a dialer that counts the bytes read from its connections.
func countingDialer() (*HTTPDialer, *atomic.Int64) {
	d, read := NewHTTPDialer(), &atomic.Int64{}
	for _, client := range []*http.Client{d.http, d.once} {
		transport := client.Transport.(*http.Transport)
		dial := transport.DialContext
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			return countingConn{conn, read}, err
		}
	}
	return d, read
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Servers in trouble send bytes that are no answer until the connection is
// closed. Each such answer ends soon, and after few bytes.
func TestAnswersWithoutEndAreEnded(t *testing.T) {
	const bound, head = 18 << 20, "HTTP/1.1 200 OK\r\n"
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
			address := endless(t, c.head, c.text)
			dialer, read := countingDialer()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			began := time.Now()
			_, err := dialer.Service(address).Do(ctx, Call{Method: http.MethodGet, Path: "/"})
			is.True(err != nil)
			stream, err := dialer.Engine(address).Generate(ctx, GenerateRequest{})
			if err == nil {
				_, err = stream.Next()
				is.NoErr(stream.Close())
			}
			is.True(err != nil)
			is.True(time.Since(began) < 10*time.Second)
			is.True(read.Load() < bound)
		})
	}
}
