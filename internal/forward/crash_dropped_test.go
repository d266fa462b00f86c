package forward

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against crashes that are blamed on other requests, because the answer that
// crashed the server had just been dropped for that of a larger model.
func TestCrashAfterADroppedAnswerIsSeen(t *testing.T) {
	for _, isSuspected := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newHarness(t)
			b.suspects.suspected = isSuspected
			b.server("x", func(c net.Conn, r *http.Request) {
				if r.Header.Get("T-Model") == "small" {
					writeStreamHeader(c, r, 10)
					time.Sleep(100 * time.Millisecond)
					_ = b.net.listeners["x"].Close()
					return
				}
				writeStreamHeader(c, r, 90)
				writeEvents(c, 1, 2, time.Millisecond)
				writeLastChunk(c)
			})
			b.server("y", func(c net.Conn, r *http.Request) {
				writeStreamHeader(c, r, 90)
				writeEvents(c, 1, 2, time.Millisecond)
				writeLastChunk(c)
			})
			for range 20 { // until a request begins at x
				_, _, _ = b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
			}
			is.Equal(b.suspects.crashes.Load() > 0, isSuspected)
		})
	}
}
