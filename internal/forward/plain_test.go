package forward

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// A non-idempotent request whose answer was lost must not be sent again. The
// caller must learn that it may have run.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		for _, id := range []string{"x", "y"} {
			b.server(id, func(c net.Conn, _ *http.Request) { time.Sleep(10 * time.Millisecond) }) // closes without an answer
		}
		resp, _, err := b.send(t.Context(), http.MethodGet, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(len(b.receivedRequests()), 1)
	})
}

// A request that a server promises not to have run may be sent to another
// server.
func TestRequestRefusedAsNotRunIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.answerFirstWith(http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "")
		resp, body, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "ok")
	})
}

// A refusal of a request that did not run must say so and name a time to retry.
func TestRefusalHasRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(c net.Conn, r *http.Request) { writeAnswer(c, r, 503, "T-Not-Run: 1\r\n", "") })
		began := time.Now()
		resp, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Header.Get("Retry-After") != "")
		is.True(time.Since(began) < 50*time.Millisecond) // refused without delay
	})
}

// A server failure of an idempotent request must be retried at another server.
func TestIdempotentFailureIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.answerFirstWith(http.StatusInternalServerError, "", "no")
		resp, body, err := b.send(t.Context(), http.MethodGet, "/read/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "ok")
	})
}

// Each attempt must have a step in the request's log line, including a failure
// that was retried.
func TestRepeatedFailureIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		core, lines := observer.New(zap.InfoLevel)
		b.f.opts.Log = zap.New(core)
		for _, id := range []string{"x", "y", "z"} {
			b.server(id, func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusInternalServerError, "", "no") })
		}
		_, _, err := b.send(t.Context(), http.MethodGet, "/read/1", nil)
		is.NoErr(err)
		synctest.Wait()
		entries := lines.FilterMessage("request").All()
		is.Equal(len(entries), 1)
		steps, ok := entries[0].ContextMap()["steps"].([]step)
		is.True(ok)
		is.Equal(len(steps), 2)
		is.True(steps[0].Server != "" && steps[0].Server != steps[1].Server)
	})
}

// The last failure of a server is forwarded unchanged, including the server's
// seal header.
func TestLastFailureIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		for _, id := range []string{"x", "y", "z"} {
			b.server(id, func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusInternalServerError, "", "no") })
		}
		resp, body, err := b.send(t.Context(), http.MethodGet, "/read/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusInternalServerError)
		is.Equal(resp.Header.Get("T-Seal"), "seal")
		is.Equal(body, "no")
		is.Equal(len(b.receivedRequests()), 2) // the route's maximum
	})
}

// An answer with the ID of another request must not be forwarded.
func TestAnswerToAnotherRequestIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(c net.Conn, r *http.Request) {
			r.Header.Set("T-Id", "other")
			writeAnswer(c, r, http.StatusOK, "", "theirs")
		})
		resp, body, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.True(body != "theirs")
	})
}

// A truncated answer must not look complete.
func TestTruncatedAnswerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: r1\r\nContent-Length: 100\r\n\r\nhalf")
		})
		resp, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
	})
}

// Headers that only the router may set must be removed from a caller's request,
// the key must not be forwarded, and the organisation must be the key's holder.
func TestServerRequestHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusOK, "", "ok") })
		_, _, err := b.send(t.Context(), http.MethodPost, "/once/a%2Fb?q=1", map[string]string{"T-Internal": "x", "T-Organisation": "forged", "T-Priority": "0", "X-Own": "kept"})
		is.NoErr(err)
		r := b.receivedRequests()[0]
		is.Equal(r.RequestURI, "/once/a%2Fb?q=1")
		is.Equal(r.Header.Get("T-Internal"), "")
		is.Equal(r.Header.Get("T-Key"), "")
		is.Equal(r.Header.Get("T-Organisation"), "org")
		is.Equal(r.Header.Get("T-Instance"), "x")
		is.Equal(r.Header.Get("X-Own"), "kept")
	})
}

// Requests without a route, with an unknown key or in quarantine are refused
// with their own status and reach no server.
func TestRequestsRefusedBeforeForwarding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		for _, c := range []struct {
			path, key string
			status    int
		}{{"/none/", "key", 404}, {"/once/1", "wrong", 401}} {
			resp, _, err := b.send(t.Context(), http.MethodPost, c.path, map[string]string{"T-Key": c.key})
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
		}
		b.suspects.quarantined.Store(1)
		resp, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(len(b.receivedRequests()), 0)
	})
}

// The route's timeout must end a request even if its caller would wait longer.
func TestRouteTimeoutEndsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(net.Conn, *http.Request) { time.Sleep(time.Minute) })
		began := time.Now()
		resp, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
		is.True(time.Since(began) <= 1100*time.Millisecond)
		time.Sleep(time.Minute)
	})
}

// A request during which a server crashes must be recorded. A request whose
// answer breaks off at a server that keeps running must not.
func TestOnlyDeadServersCountAsCrashes(t *testing.T) {
	for _, dies := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newHarness(t)
			for _, id := range []string{"x", "y"} {
				b.server(id, func(net.Conn, *http.Request) {
					if dies {
						b.net.mu.Lock()
						l := b.net.listeners[id]
						delete(b.net.listeners, id)
						b.net.mu.Unlock()
						_ = l.Close()
					}
				})
			}
			_, _, err := b.send(t.Context(), http.MethodGet, "/read/1", nil)
			is.NoErr(err)
			time.Sleep(time.Second)
			crashes := b.suspects.crashes.Load()
			is.Equal(crashes > 0, dies)
		})
	}
}
