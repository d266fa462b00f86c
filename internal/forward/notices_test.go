package forward

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// requestsByServer returns the number of requests that each server received.
func (b *harness) requestsByServer() map[string]int {
	out := map[string]int{}
	for _, r := range b.receivedRequests() {
		out[r.Header.Get("T-Instance")]++
	}
	return out
}

// serveFirstWith adds servers x and y. The first request is served by handle,
// all others succeed. The returned function names the server of the first
// request.
func (b *harness) serveFirstWith(handle func(net.Conn, *http.Request)) func() string {
	var first atomic.Value
	for _, id := range []string{"x", "y"} {
		b.server(id, func(c net.Conn, r *http.Request) {
			if first.CompareAndSwap(nil, id) {
				handle(c, r)
				return
			}
			if r.URL.Path == "/chat/1" {
				last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				writeStreamHeader(c, r, 90)
				writeEvents(c, last+1, 4, time.Millisecond)
				writeLastChunk(c)
				return
			}
			writeAnswer(c, r, http.StatusOK, "", "ok")
		})
	}
	return func() string { return first.Load().(string) }
}

// A server that announces in any answer that it is draining must get no new
// requests, even if its entry says that it is ready. Its requests in progress
// go on.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	const drainingHeader = "T-Leaving: 1\r\n"
	for _, c := range []struct {
		name, path string
		handle     func(net.Conn, *http.Request)
	}{
		{"stream header", "/chat/1", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: r1\r\n%sT-Confidence: 90\r\nTransfer-Encoding: chunked\r\n\r\n", drainingHeader)
			writeEvents(c, 1, 4, 500*time.Millisecond)
			writeLastChunk(c)
		}},
		{"answer", "/once/1", func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusOK, drainingHeader, "ok") }},
		{"refusal", "/once/1", func(c net.Conn, r *http.Request) {
			writeAnswer(c, r, http.StatusServiceUnavailable, drainingHeader+"T-Not-Run: 1\r\n", "")
		}},
		{"failure", "/once/1", func(c net.Conn, r *http.Request) {
			writeAnswer(c, r, http.StatusInternalServerError, drainingHeader, "")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newHarness(t)
				var reported []pool.Server
				b.f.opts.OnDraining = func(s pool.Server) { reported = append(reported, s) }
				first := b.serveFirstWith(c.handle)
				_, body, err := b.send(t.Context(), http.MethodPost, c.path, chatHeaders)
				is.NoErr(err)
				if c.path == "/chat/1" {
					is.Equal(eventIDs(body), "1 2 3 4")
				}
				for range 20 {
					_, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
					is.NoErr(err)
					_, _, err = b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
					is.NoErr(err)
				}
				is.Equal(b.requestsByServer()[first()], 1)
				is.Equal(len(reported), 1)
				is.Equal(reported[0].ID, first())
			})
		})
	}
}

// A new incarnation of a drained server takes requests again.
func TestRestartedServerIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusOK, "T-Leaving: 1\r\n", "ok") })
		for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			resp, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, want)
		}
		b.servers[0].Started = 7
		b.pool.Update(b.servers, time.Now())
		resp, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	})
}

// A server that answers 503 with Retry-After must get no request and no probe
// before that time, and requests again after it.
func TestServerGetsNoRequestsDuringBackoff(t *testing.T) {
	for _, path := range []string{"/once/1", "/read/1", "/chat/1"} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newHarness(t)
			first := b.serveFirstWith(func(c net.Conn, r *http.Request) {
				writeAnswer(c, r, http.StatusServiceUnavailable, "T-Not-Run: 1\r\nRetry-After: 2.5\r\n", "")
			})
			began := time.Now()
			for time.Since(began) < 2400*time.Millisecond {
				_, _, err := b.send(t.Context(), http.MethodPost, path, chatHeaders)
				is.NoErr(err)
				time.Sleep(20 * time.Millisecond)
			}
			is.Equal(b.requestsByServer()[first()], 1)
			time.Sleep(200 * time.Millisecond)
			for range 20 {
				_, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
				is.NoErr(err)
			}
			is.True(b.requestsByServer()[first()] > 1)
		})
	}
}

// If all servers back off, requests must be refused at once. Retry-After must
// name the time at which the first server accepts requests again.
func TestRefusedAtOnceWhileAllServersBackOff(t *testing.T) {
	for _, path := range []string{"/once/1", "/read/1", "/chat/1"} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newHarness(t)
			for id, backoff := range map[string]string{"x": "5", "y": "2"} {
				b.server(id, func(c net.Conn, r *http.Request) {
					writeAnswer(c, r, http.StatusServiceUnavailable, "T-Not-Run: 1\r\nRetry-After: "+backoff+"\r\n", "")
				})
			}
			retryAfters := map[string]bool{}
			for range 9 {
				began := time.Now()
				resp, _, err := b.send(t.Context(), http.MethodPost, path, chatHeaders)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				is.True(time.Since(began) < 50*time.Millisecond)
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(after >= 1.9 && after <= 2.7) // the shorter backoff with its jitter
				retryAfters[resp.Header.Get("Retry-After")] = true
			}
			is.Equal(len(b.receivedRequests()), 2)
			is.True(len(retryAfters) > 3) // callers do not retry together
		})
	}
}

// Invalid Retry-After values must be ignored and values of hours must be
// limited.
func TestBackoffIsBounded(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{"-1", "soon", "NaN", "-Inf", "1 2", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		_, err := parseRetryAfter(value)
		is.True(err != nil)
	}
	d, err := parseRetryAfter(" 0.25 ")
	is.NoErr(err)
	is.Equal(d, 250*time.Millisecond)
	for _, value := range []string{"7200", "1e300", "+Inf", strconv.Itoa(math.MaxInt64)} {
		d, err := parseRetryAfter(value)
		is.NoErr(err)
		p, now := pool.New(), time.Unix(1000, 0)
		p.Update([]pool.Server{{ID: "x", Service: "s"}}, now)
		p.Member("x").StartBackoff(d, now)
		is.Equal(p.Member("x").RemainingBackoff(now), 10*time.Minute)
	}
}

// Callers take 408, 421, 429 and 503 as a promise that the request did not run.
// They must get such a status only if the server gave that promise.
func TestStatusWithoutNotRunPromiseIsNotForwarded(t *testing.T) {
	for _, c := range []struct {
		status int
		header string
		want   int
	}{
		{http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", http.StatusServiceUnavailable},
		{http.StatusTooManyRequests, "T-Not-Run: 1\r\n", http.StatusServiceUnavailable},
		{http.StatusBadRequest, "T-Not-Run: 1\r\n", http.StatusServiceUnavailable},
		{http.StatusMisdirectedRequest, "", http.StatusServiceUnavailable},
		{http.StatusServiceUnavailable, "", http.StatusBadGateway},
		{http.StatusServiceUnavailable, "Retry-After: 1\r\n", http.StatusBadGateway},
		{http.StatusTooManyRequests, "", http.StatusBadGateway},
		{http.StatusRequestTimeout, "", http.StatusBadGateway},
		{http.StatusInternalServerError, "", http.StatusInternalServerError},
		{http.StatusNotFound, "", http.StatusNotFound},
	} {
		for _, path := range []string{"/once/1", "/read/1", "/chat/1"} {
			t.Run(fmt.Sprint(c.status, c.header, path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is, b := is.New(t), newHarness(t)
					b.server("x", func(conn net.Conn, r *http.Request) { writeAnswer(conn, r, c.status, c.header, "") })
					resp, _, err := b.send(t.Context(), http.MethodPost, path, chatHeaders)
					is.NoErr(err)
					is.Equal(resp.StatusCode, c.want)
					isOwn := c.want != c.status || promisesNoRun(c.status)
					is.Equal(resp.Header.Get("T-Seal") == "", isOwn) // the seal marks the server's own status
				})
			})
		}
	}
}

// A stream that has begun, or whose first answer was dropped for a larger
// model, must never be reported as not run.
func TestEscalatedAndResumedStreamsHaveRun(t *testing.T) {
	for _, confidence := range []int{5, 90} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newHarness(t)
			var sends atomic.Int32
			for _, id := range []string{"x", "y"} {
				b.server(id, func(c net.Conn, r *http.Request) {
					if sends.Add(1) > 1 {
						writeAnswer(c, r, http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "")
						return
					}
					writeStreamHeader(c, r, confidence) // breaks off before its first event
				})
			}
			resp, _, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
		})
	}
}

// A node that started in an outage must ask callers to retry at growing
// intervals, up to a bound.
func TestRetryAfterGrowsWithOutage(t *testing.T) {
	is := is.New(t)
	is.Equal(retryAfterWhileStarting(0), 400*time.Millisecond)
	is.Equal(retryAfterWhileStarting(2*time.Second), time.Second)
	is.Equal(retryAfterWhileStarting(time.Hour), 2*time.Second)
}
