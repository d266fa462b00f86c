package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// streamWithPause writes a stream of two events that pauses between them.
func streamWithPause(pause time.Duration) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		writeStreamHeader(c, r, 90)
		writeEvents(c, 1, 1, pause)
		writeEvents(c, 2, 2, time.Millisecond)
		writeLastChunk(c)
	}
}

// Guards against streams that are cut because their silent server was given up while the retry budget had less than one retry left.
func TestSilentServerIsKeptIfRetryBudgetIsUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		defer time.Sleep(time.Minute) // let servers end
		b.budget.bounds = func() BudgetBounds { return BudgetBounds{Ratio: 0.9, Window: 10 * time.Second} }
		b.server("x", streamWithPause(5*time.Second))
		b.server("y", streamWithPause(5*time.Second))
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(eventIDs(body), "1 2")
		is.Equal(len(b.receivedRequests()), 1)
	})
}

// Guards against streams that are cut because their silent server was given up while no other server took requests.
func TestSilentServerIsKeptIfNoOtherTakesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		defer time.Sleep(time.Minute) // let servers end
		b.server("x", func(c net.Conn, r *http.Request) {
			b.servers[0].Draining = true
			b.pool.Update(b.servers, time.Now())
			streamWithPause(5*time.Second)(c, r)
		})
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(eventIDs(body), "1 2")
	})
}

// Guards against a failure answer before the first event because the silent server was given up while the retry budget had less than one retry left.
func TestServerSilentBeforeFirstEventIsKeptIfRetryBudgetIsUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		defer time.Sleep(time.Minute) // let servers end
		b.budget.bounds = func() BudgetBounds { return BudgetBounds{Ratio: 0.9, Window: 10 * time.Second} }
		serve := func(c net.Conn, r *http.Request) {
			time.Sleep(6 * time.Second)
			streamWithPause(time.Millisecond)(c, r)
		}
		b.server("x", serve)
		b.server("y", serve)
		resp, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(eventIDs(body), "1 2")
		is.True(!strings.Contains(body, "error"))
	})
}

// Guards against a failure answer to a repeatable request because its slow server was given up while the retry budget had less than one retry left.
func TestSlowServerOfPlainRequestIsKeptIfRetryBudgetIsUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		defer time.Sleep(time.Minute) // let servers end
		b.budget.bounds = func() BudgetBounds { return BudgetBounds{Ratio: 0.9, Window: 10 * time.Second} }
		serve := func(c net.Conn, r *http.Request) {
			time.Sleep(500 * time.Millisecond)
			writeAnswer(c, r, http.StatusOK, "", "ok")
		}
		b.server("x", serve)
		b.server("y", serve)
		resp, body, err := b.send(t.Context(), http.MethodGet, "/read/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "ok")
	})
}

// Guards against a caller that reads slowly and uses up the retry budget, because its server
// is given up again and again.
func TestSlowCallerTakesOneMoveFromTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		for _, id := range []string{"x", "y"} {
			b.server(id, func(c net.Conn, r *http.Request) {
				last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				writeStreamHeader(c, r, 90)
				writeEvents(c, last+1, 400, 10*time.Millisecond)
				writeLastChunk(c)
			})
		}
		c, err := b.net.dial(t.Context(), "tcp", "front")
		is.NoErr(err)
		fmt.Fprintf(c, "POST /chat/1 HTTP/1.1\r\nHost: h\r\nT-Id: r1\r\nT-Key: key\r\nT-Left: 15000\r\nT-Model: *\r\nT-Tokens: 700,400\r\nT-Prompt: a:100,b:500\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody")
		buf := make([]byte, 100)
		_, _ = io.ReadFull(c, buf)
		before := b.budget.RemainingShare("s", time.Now())
		time.Sleep(8 * time.Second) // the caller reads nothing
		after := b.budget.RemainingShare("s", time.Now())
		_, err = io.ReadAll(c)
		is.NoErr(err)
		_ = c.Close()
		is.True(before-after < 0.05)
	})
}

// Guards against a cut stream if the budget has one retry: at another server, which is full,
// and none to come back.
func TestSilentServerIsKeptIfTheReturnIsNotInTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		defer time.Sleep(time.Minute)
		b.budget.bounds = func() BudgetBounds { return BudgetBounds{Ratio: 0.9, Allowance: 1, Window: 10 * time.Second} }
		b.addSilentAndFull(func(string) {})
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(eventIDs(body), "1 2 3 4")
	})
}
