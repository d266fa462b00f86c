package forward

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// eventIDs returns the IDs of a stream's events, separated by spaces.
func eventIDs(body string) string {
	var found []string
	for part := range strings.SplitSeq(body, "id: ") {
		if id, _, ok := strings.Cut(part, "\n"); ok && id != "" {
			found = append(found, id)
		}
	}
	return strings.Join(found, " ")
}

// If its server dies, a stream must be resumed at another server after the last
// event that the caller has received.
func TestStreamIsResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		serve := func(c net.Conn, r *http.Request) {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			writeStreamHeader(c, r, 90)
			if last == 0 {
				writeEvents(c, 1, 3, 10*time.Millisecond)
				writeChunk(c, "id: 4\ndata: to") // ends within an event
				return
			}
			writeEvents(c, last+1, 6, 10*time.Millisecond)
			writeLastChunk(c)
		}
		b.server("x", serve)
		b.server("y", serve)
		resp, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(eventIDs(body), "1 2 3 4 5 6")
	})
}

// A stream that cannot be resumed must not look complete.
func TestTruncatedStreamDoesNotLookComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(c net.Conn, r *http.Request) {
			if len(b.receivedRequests()) > 1 {
				return
			}
			writeStreamHeader(c, r, 90)
			writeEvents(c, 1, 2, time.Millisecond)
		})
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.True(err != nil)
		is.Equal(eventIDs(body), "1 2")
	})
}

// An answer of the small model with low confidence is dropped for the large
// model's. One with high confidence is accepted.
func TestCascadeFollowsConfidence(t *testing.T) {
	for _, c := range []struct {
		confidence int
		models     string
	}{{20, "small large"}, {90, "small"}} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newHarness(t)
			b.server("x", func(conn net.Conn, r *http.Request) {
				writeStreamHeader(conn, r, c.confidence)
				writeEvents(conn, 1, 2, time.Millisecond)
				writeLastChunk(conn)
			})
			_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
			is.NoErr(err)
			is.Equal(eventIDs(body), "1 2")
			var models []string
			for _, r := range b.receivedRequests() {
				models = append(models, r.Header.Get("T-Model"))
			}
			is.Equal(strings.Join(models, " "), c.models)
		})
	}
}

// A server that lost power sends no reset. Its streams must move once it
// accepts no connection, long before the route's target.
func TestStreamMovesFromServerThatLostPower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		first := ""
		serve := func(id string) func(net.Conn, *http.Request) {
			return func(c net.Conn, r *http.Request) {
				if first == "" {
					first = id
					b.net.setUnresponsive(id, true)
					time.Sleep(time.Hour)
				}
				writeStreamHeader(c, r, 90)
				writeEvents(c, 1, 2, time.Millisecond)
				writeLastChunk(c)
			}
		}
		b.server("x", serve("x"))
		b.server("y", serve("y"))
		began := time.Now()
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(eventIDs(body), "1 2")
		is.True(time.Since(began) < 1300*time.Millisecond)
		time.Sleep(time.Hour)
	})
}

// A silent server must not be given up while no other may be tried: silence
// alone is no reason to end an answer.
func TestLastServerIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		serve := func(c net.Conn, r *http.Request) {
			writeStreamHeader(c, r, 90)
			writeEvents(c, 1, 1, 8*time.Second)
			writeEvents(c, 2, 2, time.Millisecond)
			writeLastChunk(c)
		}
		b.server("x", serve)
		began := time.Now()
		b.table.Version++ // same content; only the changed attempts of the route matter
		r, _ := b.table.Match("h", "/chat/1")
		r.MaxAttempts = 1
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(eventIDs(body), "1 2")
		is.True(time.Since(began) > 8*time.Second)
	})
}

// The work at the server must end when the caller disconnects.
func TestCallerDisconnectEndsServerWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		ended := make(chan time.Time, 1)
		b.server("x", func(c net.Conn, r *http.Request) {
			writeStreamHeader(c, r, 90)
			writeEvents(c, 1, 1, 0)
			_, _ = c.Read(make([]byte, 1)) // returns when the forwarder closes
			ended <- time.Now()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, _, err := b.send(ctx, http.MethodPost, "/chat/1", chatHeaders)
		is.True(err != nil)
		at := <-ended
		is.True(at.Sub(began) < 400*time.Millisecond)
	})
}

// The retry budget limits the attempts beyond the first.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := fixedBudget(BudgetBounds{Ratio: 0.5, Allowance: 8, Window: 10 * time.Second}, 4)
	now := time.Unix(100, 0)
	for range 20 {
		b.CountRequest("s", now)
	}
	taken := 0
	for b.TryReserve("s", now) {
		taken++
	}
	is.Equal(taken, 10) // 0.9 of (0.5 * 20 + 8 / 4)
	is.Equal(b.RemainingShare("s", now) < 0.1, true)
	later := now.Add(11 * time.Second)
	is.True(b.TryReserve("s", later)) // the window has passed, and a share of the allowance is available again
}

// In a flood, prompts wait at all servers. A stream must not move while its
// server is no later than expected, because another server would read the
// prompt again.
func TestStreamStaysDuringExpectedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		serve := func(c net.Conn, r *http.Request) {
			time.Sleep(2500 * time.Millisecond) // longer than an idle server may take for its first event
			writeStreamHeader(c, r, 90)
			writeEvents(c, 1, 2, time.Millisecond)
			writeLastChunk(c)
		}
		for _, id := range []string{"x", "y"} {
			b.server(id, serve)
		}
		for _, id := range []string{"x", "y"} {
			b.pool.Member(id).SetRemoteWork(10, time.Second, time.Now())
		}
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(eventIDs(body), "1 2")
		is.Equal(len(b.receivedRequests()), 1)
	})
}

// A stream that may not be resumed runs at most once: it is neither escalated
// nor sent to a second server after a break.
func TestStreamThatMayNotBeResumedRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		r, _ := b.table.Match("h", "/chat/1")
		r.Resumable = false
		for _, id := range []string{"x", "y"} {
			b.server(id, func(c net.Conn, r *http.Request) {
				writeStreamHeader(c, r, 5)
				writeEvents(c, 1, 2, time.Millisecond)
			})
		}
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.True(err != nil)
		is.Equal(eventIDs(body), "1 2")
		is.Equal(len(b.receivedRequests()), 1)
		is.Equal(b.receivedRequests()[0].Header.Get("T-Model"), "large")
	})
}

// A server may end the body of a stream properly in the middle of an event.
// Such a stream is incomplete and must be resumed.
func TestStreamThatEndsWithinAnEventIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		serve := func(c net.Conn, r *http.Request) {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			writeStreamHeader(c, r, 90)
			if last == 0 {
				writeEvents(c, 1, 2, time.Millisecond)
				writeChunk(c, "id: 3\ndata: t")
				writeLastChunk(c)
				return
			}
			writeEvents(c, last+1, 4, time.Millisecond)
			writeLastChunk(c)
		}
		b.server("x", serve)
		b.server("y", serve)
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(eventIDs(body), "1 2 3 4")
	})
}
