package forward

import (
	"net"
	"net/http"
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
