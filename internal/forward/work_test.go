package forward

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// The memory of a stream counts from its start to its end, and a long prompt as backlog until
// its first event; neither may stay behind, nor count where no stream has a short MaxPause.
func TestWorkOfAStreamIsCounted(t *testing.T) {
	for pause, want := range map[time.Duration][3]pool.Details{
		500 * time.Millisecond: {{LongPrefill: 2400 * time.Millisecond, Tokens: 40400}, {Tokens: 40400}, {}},
		2 * time.Second:        {},
	} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newHarness(t)
				var err error
				b.table, err = route.NewTable(route.Definition{
					Routes:   []route.Route{{Name: "chat", Host: "h", Prefix: "/chat/", Kind: route.Stream, Resumable: true, MaxAttempts: 3, Timeout: 20 * time.Second, Target: 2 * time.Second, MaxPause: pause, Models: []string{"large"}, Sticky: true, Backends: []route.Backend{{Service: "s", Weight: 1}}}},
					Services: []route.Service{{Name: "s", MemoryTokens: 500000}},
				})
				is.NoErr(err)
				var seen [3]pool.Details
				b.server("x", func(c net.Conn, r *http.Request) {
					seen[0] = b.pool.Member("x").LocalDetails()
					writeStreamHeader(c, r, 90)
					writeEvents(c, 1, 3, 10*time.Millisecond)
					seen[1] = b.pool.Member("x").LocalDetails()
					writeLastChunk(c)
				})
				_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", map[string]string{"T-Model": AnyModel, "T-Tokens": "40000,400", "T-Prompt": "a:40000"})
				is.NoErr(err)
				is.Equal(eventIDs(body), "1 2 3")
				synctest.Wait()
				seen[2] = b.pool.Member("x").LocalDetails()
				is.Equal(seen, want)
			})
		})
	}
}
