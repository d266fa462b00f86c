package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// Guards against a failure that counts as not run though its server does not say so: the claim
// of a call that may run once would be given up, and the call would run again.
func TestOnlyAStatedRefusalCountsAsNotRun(t *testing.T) {
	framings := []struct{ header, body string }{
		{"Content-Length: 4\r\n", "oops"}, {"Content-Length: 50\r\n", "oops"},
		{"Transfer-Encoding: chunked\r\n", "4\r\noops\r\n0\r\n\r\n"}, {"Transfer-Encoding: chunked\r\n", "4\r\noops\r\n"}, {"", "oops"},
	}
	ends := map[string]func(net.Conn){
		"closed": func(net.Conn) {},
		"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
		"silent": func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
	}
	promises := map[string]bool{"busy": true, "draining": true, "not_loaded": true, "fenced": true}
	for _, kind := range []string{"", "busy", "draining", "not_loaded", "fenced", "rejected", "broken", "connect", "other"} {
		for _, status := range []int{200, 302, 400, 404, 409, 429, 500, 503} {
			for i, framing := range framings {
				for end, finish := range ends {
					t.Run(fmt.Sprintf("%s/%d/%d/%s", kind, status, i, end), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						errorKind := ""
						if kind != "" {
							errorKind = "X-Error-Kind: " + kind + "\r\n"
						}
						address := serveKept(t, func(c net.Conn, _ *http.Request, _, _ string) bool {
							fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s%s\r\n%s", status, errorKind, framing.header, framing.body)
							finish(c)
							return false
						})
						ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
						defer cancel()
						_, err := NewHTTPDialer().Service(address).Do(ctx, onceCall(http.MethodPost))
						if err == nil {
							is.Equal(kind, "") // the server's own answer
							return
						}
						promised := promises[kind] || kind == "rejected" && status < 500
						is.Equal(asError(err).Ran == outcome.RanNo, promised)
					})
				}
			}
		}
	}
}
