package forward

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that is told "not run" for a request that a server had begun to
// run when it was quarantined.
func TestRequestQuarantinedAfterItRanIsNotPromisedNotToHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		for _, id := range []string{"x", "y"} {
			b.server(id, func(net.Conn, *http.Request) { b.suspects.quarantined.Store(1) })
		}
		resp, _, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(len(b.receivedRequests()), 1)
	})
}

// Guards against servers that crash after a quarantine, because requests that had been sent
// before it still begin there.
func TestStreamWithoutEventIsCancelledByAQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(net.Conn, *http.Request) { time.Sleep(time.Second) })
		time.AfterFunc(100*time.Millisecond, func() {
			b.suspects.quarantined.Store(1)
			b.f.CancelQuarantined()
		})
		began := time.Now()
		resp, _, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(time.Since(began), 100*time.Millisecond)
	})
}

// Guards against blaming requests for a server that does not respond, as one that was cut
// off.
func TestServerThatDoesNotRespondHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(net.Conn, *http.Request) { b.net.setUnresponsive("x", true) })
		_, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.Equal(b.suspects.crashes.Load(), int32(0))
	})
}
