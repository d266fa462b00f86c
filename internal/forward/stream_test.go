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

// ids returns the identities of a stream's events.
func ids(body string) string {
	var out []string
	for part := range strings.SplitSeq(body, "id: ") {
		if id, _, ok := strings.Cut(part, "\n"); ok && id != "" {
			out = append(out, id)
		}
	}
	return strings.Join(out, " ")
}

// A stream whose server dies goes on at another after the last event that the
// caller has.
func TestStreamIsResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		serve := func(c net.Conn, r *http.Request) {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			streamHead(c, r, 90)
			if last == 0 {
				events(c, 1, 3, 10*time.Millisecond)
				chunk(c, "id: 4\ndata: to") // ends within an event
				return
			}
			events(c, last+1, 6, 10*time.Millisecond)
			end(c)
		}
		b.server("x", serve)
		b.server("y", serve)
		resp, body, err := b.call(t.Context(), http.MethodPost, "/chat/1", chat)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(ids(body), "1 2 3 4 5 6")
	})
}

// A stream that cannot be resumed does not look complete.
func TestCutStreamDoesNotLookComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		b.server("x", func(c net.Conn, r *http.Request) {
			if len(b.arrived()) > 1 {
				return
			}
			streamHead(c, r, 90)
			events(c, 1, 2, time.Millisecond)
		})
		_, body, err := b.call(t.Context(), http.MethodPost, "/chat/1", chat)
		is.True(err != nil)
		is.Equal(ids(body), "1 2")
	})
}

// An answer of which the small model is unsure is dropped for the large
// model's, one of which it is sure is taken.
func TestCascadeFollowsConfidence(t *testing.T) {
	for _, c := range []struct {
		confidence int
		models     string
	}{{20, "small large"}, {90, "small"}} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newBench(t)
			b.server("x", func(c2 net.Conn, r *http.Request) {
				streamHead(c2, r, c.confidence)
				events(c2, 1, 2, time.Millisecond)
				end(c2)
			})
			_, body, err := b.call(t.Context(), http.MethodPost, "/chat/1", chat)
			is.NoErr(err)
			is.Equal(ids(body), "1 2")
			var models []string
			for _, r := range b.arrived() {
				models = append(models, r.Header.Get("T-Model"))
			}
			is.Equal(strings.Join(models, " "), c.models)
		})
	}
}

// A server that lost power sends no reset. Its streams move on once it takes
// no connection, long before the route's target.
func TestStreamLeavesServerThatLostPower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		first := ""
		serve := func(id string) func(net.Conn, *http.Request) {
			return func(c net.Conn, r *http.Request) {
				if first == "" {
					first = id
					b.net.setDark(id, true)
					time.Sleep(time.Hour)
				}
				streamHead(c, r, 90)
				events(c, 1, 2, time.Millisecond)
				end(c)
			}
		}
		b.server("x", serve("x"))
		b.server("y", serve("y"))
		began := time.Now()
		_, body, err := b.call(t.Context(), http.MethodPost, "/chat/1", chat)
		is.NoErr(err)
		is.Equal(ids(body), "1 2")
		is.True(time.Since(began) < 1300*time.Millisecond)
		time.Sleep(time.Hour)
	})
}

// A silent server is not given up while it is the last that may be tried: its
// silence is no reason to end an answer.
func TestLastServerIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		serve := func(c net.Conn, r *http.Request) {
			streamHead(c, r, 90)
			events(c, 1, 1, 8*time.Second)
			events(c, 2, 2, time.Millisecond)
			end(c)
		}
		b.server("x", serve)
		began := time.Now()
		b.table.Version++ // the same table; only the attempts below matter
		r, _ := b.table.Match("h", "/chat/1")
		r.MaxAttempts = 1
		_, body, err := b.call(t.Context(), http.MethodPost, "/chat/1", chat)
		is.NoErr(err)
		is.Equal(ids(body), "1 2")
		is.True(time.Since(began) > 8*time.Second)
	})
}

// A caller that leaves ends the work at the server.
func TestCallerThatLeavesEndsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		ended := make(chan time.Time, 1)
		b.server("x", func(c net.Conn, r *http.Request) {
			streamHead(c, r, 90)
			events(c, 1, 1, 0)
			_, _ = c.Read(make([]byte, 1)) // returns when the forwarder closes
			ended <- time.Now()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, _, err := b.call(ctx, http.MethodPost, "/chat/1", chat)
		is.True(err != nil)
		at := <-ended
		is.True(at.Sub(began) < 400*time.Millisecond)
	})
}

// The retry budget bounds what is sent beyond first attempts.
func TestBudgetBoundsFurtherAttempts(t *testing.T) {
	is := is.New(t)
	b := fixedBudget(BudgetBounds{Ratio: 0.5, Allowance: 8, Window: 10 * time.Second}, 4)
	now := time.Unix(100, 0)
	for range 20 {
		b.First("s", now)
	}
	taken := 0
	for b.Take("s", now) {
		taken++
	}
	is.Equal(taken, 10) // 0.9 of (0.5 * 20 + 8 / 4)
	is.Equal(b.Left("s", now) < 0.1, true)
	later := now.Add(11 * time.Second)
	is.True(b.Take("s", later)) // the window has passed, a share of the allowance is back
}

// A flood: prompts wait at all servers. A stream is not moved while its server
// is as late as was to be expected, since it would be read anew elsewhere.
func TestExpectedWaitMovesNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		serve := func(c net.Conn, r *http.Request) {
			time.Sleep(2500 * time.Millisecond) // longer than the silence of an idle server
			streamHead(c, r, 90)
			events(c, 1, 2, time.Millisecond)
			end(c)
		}
		for _, id := range []string{"x", "y"} {
			b.server(id, serve)
		}
		for _, id := range []string{"x", "y"} {
			b.pool.Member(id).Others(10, time.Second, time.Now())
		}
		_, body, err := b.call(t.Context(), http.MethodPost, "/chat/1", chat)
		is.NoErr(err)
		is.Equal(ids(body), "1 2")
		is.Equal(len(b.arrived()), 1)
	})
}

// A stream that may not be resumed runs at most once: no cascade, no second
// server after a break.
func TestStreamThatMayNotBeResumedRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		r, _ := b.table.Match("h", "/chat/1")
		r.Resumable = false
		for _, id := range []string{"x", "y"} {
			b.server(id, func(c net.Conn, r *http.Request) {
				streamHead(c, r, 5)
				events(c, 1, 2, time.Millisecond)
			})
		}
		_, body, err := b.call(t.Context(), http.MethodPost, "/chat/1", chat)
		is.True(err != nil)
		is.Equal(ids(body), "1 2")
		is.Equal(len(b.arrived()), 1)
		is.Equal(b.arrived()[0].Header.Get("T-Model"), "large")
	})
}

// A server that ends a stream within an event, as if it were whole, has not
// ended it.
func TestStreamThatEndsWithinAnEventIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		serve := func(c net.Conn, r *http.Request) {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			streamHead(c, r, 90)
			if last == 0 {
				events(c, 1, 2, time.Millisecond)
				chunk(c, "id: 3\ndata: t")
				end(c)
				return
			}
			events(c, last+1, 4, time.Millisecond)
			end(c)
		}
		b.server("x", serve)
		b.server("y", serve)
		_, body, err := b.call(t.Context(), http.MethodPost, "/chat/1", chat)
		is.NoErr(err)
		is.Equal(ids(body), "1 2 3 4")
	})
}
