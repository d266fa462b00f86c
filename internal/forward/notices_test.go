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

// servedBy returns how many requests each server got.
func (b *bench) servedBy() map[string]int {
	out := map[string]int{}
	for _, r := range b.arrived() {
		out[r.Header.Get("T-Instance")]++
	}
	return out
}

// firstSays adds servers x and y: the first of them to be asked does as given,
// all other requests are answered with success. It returns a function that
// names the first.
func (b *bench) firstSays(do func(net.Conn, *http.Request)) func() string {
	var first atomic.Value
	for _, id := range []string{"x", "y"} {
		b.server(id, func(c net.Conn, r *http.Request) {
			if first.CompareAndSwap(nil, id) {
				do(c, r)
				return
			}
			if r.URL.Path == "/chat/1" {
				last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				streamHead(c, r, 90)
				events(c, last+1, 4, time.Millisecond)
				end(c)
				return
			}
			answer(c, r, http.StatusOK, "", "ok")
		})
	}
	return func() string { return first.Load().(string) }
}

// A server that says in any answer that it leaves gets nothing new from then
// on, although its entry says that it is ready; what runs there goes on.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	const leaving = "T-Leaving: 1\r\n"
	for _, c := range []struct {
		name, path string
		do         func(net.Conn, *http.Request)
	}{
		{"head of a stream", "/chat/1", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: r1\r\n%sT-Confidence: 90\r\nTransfer-Encoding: chunked\r\n\r\n", leaving)
			events(c, 1, 4, 500*time.Millisecond)
			end(c)
		}},
		{"answer", "/once/1", func(c net.Conn, r *http.Request) { answer(c, r, http.StatusOK, leaving, "ok") }},
		{"refusal", "/once/1", func(c net.Conn, r *http.Request) {
			answer(c, r, http.StatusServiceUnavailable, leaving+"T-Not-Run: 1\r\n", "")
		}},
		{"failure", "/once/1", func(c net.Conn, r *http.Request) { answer(c, r, http.StatusInternalServerError, leaving, "") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newBench(t)
				var told []pool.Server
				b.f.o.OnLeaving = func(s pool.Server) { told = append(told, s) }
				first := b.firstSays(c.do)
				_, body, err := b.call(t.Context(), http.MethodPost, c.path, chat)
				is.NoErr(err)
				if c.path == "/chat/1" {
					is.Equal(ids(body), "1 2 3 4")
				}
				for range 20 {
					_, _, err := b.call(t.Context(), http.MethodPost, "/once/1", nil)
					is.NoErr(err)
					_, _, err = b.call(t.Context(), http.MethodPost, "/chat/1", chat)
					is.NoErr(err)
				}
				is.Equal(b.servedBy()[first()], 1)
				is.Equal(len(told), 1)
				is.Equal(told[0].ID, first())
			})
		})
	}
}

// Another start of a server that left takes requests again.
func TestRestartedServerIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		b.server("x", func(c net.Conn, r *http.Request) { answer(c, r, http.StatusOK, "T-Leaving: 1\r\n", "ok") })
		for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			resp, _, err := b.call(t.Context(), http.MethodPost, "/once/1", nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, want)
		}
		b.servers[0].Started = 7
		b.pool.Update(b.servers, time.Now())
		resp, _, err := b.call(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	})
}

// A server that answers 503 with a time gets no request and no probe before its
// end, and requests again after it.
func TestServerIsLeftAloneForItsHold(t *testing.T) {
	for _, path := range []string{"/once/1", "/read/1", "/chat/1"} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newBench(t)
			first := b.firstSays(func(c net.Conn, r *http.Request) {
				answer(c, r, http.StatusServiceUnavailable, "T-Not-Run: 1\r\nRetry-After: 2.5\r\n", "")
			})
			began := time.Now()
			for time.Since(began) < 2400*time.Millisecond {
				_, _, err := b.call(t.Context(), http.MethodPost, path, chat)
				is.NoErr(err)
				time.Sleep(20 * time.Millisecond)
			}
			is.Equal(b.servedBy()[first()], 1)
			time.Sleep(200 * time.Millisecond)
			for range 20 {
				_, _, err := b.call(t.Context(), http.MethodPost, "/once/1", nil)
				is.NoErr(err)
			}
			is.True(b.servedBy()[first()] > 1)
		})
	}
}

// Where all servers want to be left alone, a request is refused at once and may
// come back when the first of them takes requests again.
func TestRefusedAtOnceWhileAllServersHold(t *testing.T) {
	for _, path := range []string{"/once/1", "/read/1", "/chat/1"} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newBench(t)
			for id, hold := range map[string]string{"x": "5", "y": "2"} {
				b.server(id, func(c net.Conn, r *http.Request) {
					answer(c, r, http.StatusServiceUnavailable, "T-Not-Run: 1\r\nRetry-After: "+hold+"\r\n", "")
				})
			}
			seen := map[string]bool{}
			for range 9 {
				began := time.Now()
				resp, _, err := b.call(t.Context(), http.MethodPost, path, chat)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				is.True(time.Since(began) < 50*time.Millisecond)
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(after >= 1.9 && after <= 2.7) // the shorter hold, and its spread
				seen[resp.Header.Get("Retry-After")] = true
			}
			is.Equal(len(b.arrived()), 2)
			is.True(len(seen) > 3) // callers do not return together
		})
	}
}

// Times that make no sense hold nothing, and hours are bounded.
func TestHoldsAreBounded(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{"-1", "soon", "NaN", "-Inf", "1 2", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		_, err := parseHold(value)
		is.True(err != nil)
	}
	d, err := parseHold(" 0.25 ")
	is.NoErr(err)
	is.Equal(d, 250*time.Millisecond)
	for _, value := range []string{"7200", "1e300", "+Inf", strconv.Itoa(math.MaxInt64)} {
		d, err := parseHold(value)
		is.NoErr(err)
		p, now := pool.New(), time.Unix(1000, 0)
		p.Update([]pool.Server{{ID: "x", Service: "s"}}, now)
		p.Member("x").HoldOff(d, now)
		is.Equal(p.Member("x").Hold(now), 10*time.Minute)
	}
}

// Callers take 408, 421, 429 and 503 for the promise that nothing ran. They get
// such a status only where the server gave that promise.
func TestStatusOfAServerIsNoPromiseOfItsOwn(t *testing.T) {
	for _, c := range []struct {
		status int
		mark   string
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
			t.Run(fmt.Sprint(c.status, c.mark, path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is, b := is.New(t), newBench(t)
					b.server("x", func(conn net.Conn, r *http.Request) { answer(conn, r, c.status, c.mark, "") })
					resp, _, err := b.call(t.Context(), http.MethodPost, path, chat)
					is.NoErr(err)
					is.Equal(resp.StatusCode, c.want)
					isOwn := c.want != c.status || promisesNoRun(c.status)
					is.Equal(resp.Header.Get("T-Seal") == "", isOwn) // the seal stands for the server's own status
				})
			})
		}
	}
}

// A stream that was begun, or whose first answer was dropped for a larger
// model's, is never said not to have run.
func TestEscalatedAndResumedStreamsHaveRun(t *testing.T) {
	for _, confidence := range []int{5, 90} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newBench(t)
			var sends atomic.Int32
			for _, id := range []string{"x", "y"} {
				b.server(id, func(c net.Conn, r *http.Request) {
					if sends.Add(1) > 1 {
						answer(c, r, http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "")
						return
					}
					streamHead(c, r, confidence) // breaks off before its first event
				})
			}
			resp, _, err := b.call(t.Context(), http.MethodPost, "/chat/1", chat)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
		})
	}
}

// A node that started in an outage sends callers back at longer and longer
// intervals, within a bound.
func TestReturnGrowsWithTheOutage(t *testing.T) {
	is := is.New(t)
	is.Equal(returnWhileStarting(0), 400*time.Millisecond)
	is.Equal(returnWhileStarting(2*time.Second), time.Second)
	is.Equal(returnWhileStarting(time.Hour), 2*time.Second)
}
