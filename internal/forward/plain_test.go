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

// A confirmation whose answer was lost is never sent again: the caller is told
// that it may have run.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		for _, id := range []string{"x", "y"} {
			b.server(id, func(c net.Conn, _ *http.Request) { time.Sleep(10 * time.Millisecond) }) // closes without an answer
		}
		resp, _, err := b.call(t.Context(), http.MethodGet, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(len(b.arrived()), 1)
	})
}

// A server's promise that it did not run the request lets another one have it.
func TestRefusedConfirmationGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		b.firstAnswers(http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "")
		resp, body, err := b.call(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "ok")
	})
}

// Without any run the refusal says so and when to come back.
func TestRefusalIsTrueAndTellsWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		b.server("x", func(c net.Conn, r *http.Request) { answer(c, r, 503, "T-Not-Run: 1\r\n", "") })
		began := time.Now()
		resp, _, err := b.call(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Header.Get("Retry-After") != "")
		is.True(time.Since(began) < 50*time.Millisecond) // not held back
	})
}

// A server's failure of a repeatable request is repeated elsewhere.
func TestIdempotentFailureIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		b.firstAnswers(http.StatusInternalServerError, "", "no")
		resp, body, err := b.call(t.Context(), http.MethodGet, "/read/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "ok")
	})
}

// Each attempt has its step in the request's line, a repeated failure too.
func TestRepeatedFailureIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		core, lines := observer.New(zap.InfoLevel)
		b.f.o.Log = zap.New(core)
		for _, id := range []string{"x", "y", "z"} {
			b.server(id, func(c net.Conn, r *http.Request) { answer(c, r, http.StatusInternalServerError, "", "no") })
		}
		_, _, err := b.call(t.Context(), http.MethodGet, "/read/1", nil)
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

// The last failure of a server is passed on as it is, with its seal.
func TestLastFailureIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		for _, id := range []string{"x", "y", "z"} {
			b.server(id, func(c net.Conn, r *http.Request) { answer(c, r, http.StatusInternalServerError, "", "no") })
		}
		resp, body, err := b.call(t.Context(), http.MethodGet, "/read/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusInternalServerError)
		is.Equal(resp.Header.Get("T-Seal"), "seal")
		is.Equal(body, "no")
		is.Equal(len(b.arrived()), 2) // the route's attempts
	})
}

// An answer that bears another request's identity is not passed on.
func TestForeignAnswerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		b.server("x", func(c net.Conn, r *http.Request) {
			r.Header.Set("T-Id", "other")
			answer(c, r, http.StatusOK, "", "theirs")
		})
		resp, body, err := b.call(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.True(body != "theirs")
	})
}

// A truncated answer does not look complete.
func TestTruncatedAnswerIsNoSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		b.server("x", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: r1\r\nContent-Length: 100\r\n\r\nhalf")
		})
		resp, _, err := b.call(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
	})
}

// What only the system may set is dropped from a caller's request, the key is
// not passed on, and the organisation is the key's holder.
func TestHeadersToTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		b.server("x", func(c net.Conn, r *http.Request) { answer(c, r, http.StatusOK, "", "ok") })
		_, _, err := b.call(t.Context(), http.MethodPost, "/once/a%2Fb?q=1", map[string]string{"T-Internal": "x", "T-Organisation": "forged", "T-Priority": "0", "X-Own": "kept"})
		is.NoErr(err)
		r := b.arrived()[0]
		is.Equal(r.RequestURI, "/once/a%2Fb?q=1")
		is.Equal(r.Header.Get("T-Internal"), "")
		is.Equal(r.Header.Get("T-Key"), "")
		is.Equal(r.Header.Get("T-Organisation"), "org")
		is.Equal(r.Header.Get("T-Instance"), "x")
		is.Equal(r.Header.Get("X-Own"), "kept")
	})
}

// Requests without a route, with an unknown key or too large are refused with
// a status of their own.
func TestRefusedBeforeForwarding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		for _, c := range []struct {
			path, key string
			status    int
		}{{"/none/", "key", 404}, {"/once/1", "wrong", 401}} {
			resp, _, err := b.call(t.Context(), http.MethodPost, c.path, map[string]string{"T-Key": c.key})
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
		}
		b.suspects.convicted = 1
		resp, _, err := b.call(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(len(b.arrived()), 0)
	})
}

// A route's timeout ends a request although its caller would wait longer.
func TestRouteTimeoutEndsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		b.server("x", func(net.Conn, *http.Request) { time.Sleep(time.Minute) })
		began := time.Now()
		resp, _, err := b.call(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
		is.True(time.Since(began) <= 1100*time.Millisecond)
		time.Sleep(time.Minute)
	})
}

// A request under which a server dies is noted; one whose answer breaks off at
// a server that lives on is not.
func TestOnlyDeadServersCountAsCrashes(t *testing.T) {
	for _, dies := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newBench(t)
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
			_, _, err := b.call(t.Context(), http.MethodGet, "/read/1", nil)
			is.NoErr(err)
			time.Sleep(time.Second)
			crashes := b.suspects.crashes.Load()
			is.Equal(crashes > 0, dies)
		})
	}
}
