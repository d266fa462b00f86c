package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

// The configuration limits the size of requests. A request above a limit must
// not reach a server.
func TestRequestsOverTheLimitsAreRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits route.Limits
		header string
		status int
	}{
		{"within", route.Limits{MaxHeaderBytes: 1 << 10, MaxBodyBytes: 4}, "x", http.StatusOK},
		{"no bounds", route.Limits{}, "x", http.StatusOK},
		{"header", route.Limits{MaxHeaderBytes: 1 << 10, MaxBodyBytes: 4}, strings.Repeat("x", 1<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"body", route.Limits{MaxHeaderBytes: 1 << 10, MaxBodyBytes: 3}, "x", http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newHarness(t)
				b.table.Limits = c.limits
				b.server("x", func(conn net.Conn, r *http.Request) { writeAnswer(conn, r, http.StatusOK, "", "ok") })
				resp, _, err := b.send(t.Context(), http.MethodPost, "/once/1", map[string]string{"T-Filler": c.header})
				is.NoErr(err)
				is.Equal(resp.StatusCode, c.status)
				is.Equal(len(b.receivedRequests()) == 1, c.status == http.StatusOK)
			})
		})
	}
}
