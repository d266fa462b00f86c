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

	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// coldPerSecond is the rate of cold servers in these tests, and coldBound what one may get
// in any second.
const (
	coldPerSecond = 2
	coldBound     = coldPerSecond*1.5 + 5
)

// newWarmupHarness returns a harness whose cold servers get coldPerSecond requests, for a
// minute after a start.
func newWarmupHarness(t *testing.T) *limitedHarness {
	b := newLimitedHarness(t, map[string]string{})
	b.pool.SetWarmups(map[string]pool.Warmup{"s": {Time: time.Minute, Rate: coldPerSecond}})
	return b
}

// mostInSecond returns the largest number of requests that a server got within a second.
func (b *limitedHarness) mostInSecond(id string) int {
	b.limitMu.Lock()
	defer b.limitMu.Unlock()
	most, first, arrivals := 0, 0, b.arrivals[id]
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a way to a cold server that needs no permit, or to one in an evacuated data
// centre: first tries, retries, larger models and resumed streams.
func TestEveryWayHeedsWarmupAndEvacuation(t *testing.T) {
	for _, c := range waysToServer {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newWarmupHarness(t)
				b.addServer("x", serveAnything(90))
				b.addServer("y", c.other)
				b.servers[1].DataCentre, b.servers[1].Started = "b", 1
				b.pool.Update(b.servers, time.Now())
				b.pool.SetEntryWarmup("x", 0, time.Minute, time.Now())
				statuses := b.load(20*time.Second, 40*time.Millisecond, c.paths...)
				t.Logf("%d requests, at most %d in a second; answers by status: %v", len(b.arrivals["x"]), b.mostInSecond("x"), statuses)
				is.True(b.mostInSecond("x") <= coldBound)
				is.True(len(b.arrivals["x"]) >= 15)
				if c.name == "first tries" {
					is.Equal(len(statuses), 1) // what has no permit goes to the other server at once
				}
				b.pool.SetEvacuated(map[string]bool{"a": true}, time.Now())
				ordered := time.Now()
				b.load(5*time.Second, 40*time.Millisecond, c.paths...)
				is.Equal(b.between("x", ordered, time.Now()), 0)
			})
		})
	}
}

// Guards against a crowd at a server that refused connections and is back before its entry
// says so.
func TestServerThatWasGoneIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newWarmupHarness(t)
		b.addServer("y", serveAnything(90))
		b.servers = append(b.servers, pool.Server{ID: "x", Address: "x", Service: "s", DataCentre: "a", Version: "v1", Slots: 8})
		b.pool.Update(b.servers, time.Now()) // nothing listens at its address
		b.load(2*time.Second, 20*time.Millisecond, "/read/1")
		is.True(b.pool.Member("x").IsCold(time.Now()))
		b.servers = b.servers[:1]
		b.addServer("x", serveAnything(90))
		b.load(10*time.Second, 20*time.Millisecond, "/read/1", "/chat/1")
		t.Logf("%d requests, at most %d in a second", len(b.arrivals["x"]), b.mostInSecond("x"))
		is.True(len(b.arrivals["x"]) > 0)
		is.True(b.mostInSecond("x") <= coldBound)
	})
}

// A server that breaks off an answer may have crashed. Guards against requests to one that
// comes back at once, and against a sound one that is held to few requests for it.
func TestServerThatBreaksOffIsColdUntilProbed(t *testing.T) {
	for name, answer := range map[string]string{"head": "", "body": "HTTP/1.1 200 OK\r\nT-Id: r1\r\nContent-Length: 9\r\n\r\nhalf"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newWarmupHarness(t)
				b.server("x", func(c net.Conn, _ *http.Request) { _, _ = c.Write([]byte(answer)) })
				_, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
				is.NoErr(err)
				is.True(b.pool.Member("x").IsCold(time.Now()))
				time.Sleep(2 * crashProbeDelay)
				is.True(!b.pool.Member("x").IsCold(time.Now())) // it accepts connections
			})
		})
	}
}

// Guards against a restart that is not noticed, because only the next request on a connection
// that was kept idle finds it broken, when the server has long been back.
func TestBreakThatIsNoticedLateIsNoProofAgainstRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newWarmupHarness(t)
		b.keepAliveServer("x", func(c net.Conn, r, _ *http.Request, number int) {
			if number == 2 {
				_ = c.Close()
				return
			}
			writeKeepAliveAnswer(c, r)
		})
		_, _, err := b.send(t.Context(), http.MethodGet, "/read/1", nil)
		is.NoErr(err)
		is.True(!b.pool.Member("x").IsCold(time.Now()))
		time.Sleep(time.Second) // shorter than connections are kept idle
		_, _, _ = b.send(t.Context(), http.MethodPost, "/chat/1", nil)
		time.Sleep(2 * crashProbeDelay)
		is.True(b.pool.Member("x").IsCold(time.Now()))
	})
}

// A server tells in any answer how long it is cold. Other nodes are told once, and values
// that make no sense are not used.
func TestAnswerTellsWarmup(t *testing.T) {
	for value, c := range map[string]struct{ isCold, isPublished bool }{
		"5000": {true, true}, "0": {}, "-1": {}, "soon": {}, "1e300": {}, "NaN": {}, "": {},
	} {
		t.Run(value, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newWarmupHarness(t)
				published := 0
				b.f.opts.Headers.Warmup = "T-Warmup"
				b.f.opts.OnCold = func(pool.Server, time.Duration, bool) { published++ }
				b.server("x", func(c net.Conn, r *http.Request) {
					writeAnswer(c, r, http.StatusOK, "T-Warmup: "+value+"\r\n", "ok")
				})
				for range 2 {
					_, _, err := b.send(t.Context(), http.MethodGet, "/read/1", nil)
					is.NoErr(err)
				}
				is.Equal(b.pool.Member("x").IsCold(time.Now()), c.isCold)
				is.Equal(published == 1, c.isPublished)
				time.Sleep(6 * time.Second)
				is.True(!b.pool.Member("x").IsCold(time.Now()))
			})
		})
	}
}

// coolingPermits grants each request, and makes the server cold while the first is granted.
type coolingPermits struct {
	cool   func()
	limits []float64 // of the requests
}

func (p *coolingPermits) Acquire(_ context.Context, q permit.Request) permit.Reply {
	p.limits = append(p.limits, q.Servers[0].Limit)
	p.cool()
	return permit.Reply{Granted: 1, IsCoordinator: true}
}

// Guards against a request to a server that turned cold while the permit for its own, higher
// limit was granted.
func TestPermitCountsForItsRateOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newWarmupHarness(t)
		b.addServer("x", func(c net.Conn, r *http.Request, _ string) { writeAnswer(c, r, http.StatusOK, "", "ok") })
		b.pool.Member("x").SetLimit(20, time.Now())
		permits := &coolingPermits{cool: func() { b.pool.SetEntryWarmup("x", 0, time.Minute, time.Now()) }}
		b.f.opts.Permits = permits
		_, _, err := b.send(t.Context(), http.MethodGet, "/read/1", nil)
		is.NoErr(err)
		is.Equal(permits.limits, []float64{20, coldPerSecond})
	})
}

// If all data centres are evacuated, requests in progress end and others are refused at
// once with a time to come back. A small model's answer is not dropped for a larger one
// that cannot be asked.
func TestAllDataCentresEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newWarmupHarness(t)
		b.addServer("x", func(c net.Conn, r *http.Request, _ string) {
			time.Sleep(time.Second)
			writeStreamHeader(c, r, 5)
			writeEvents(c, 1, 4, 100*time.Millisecond)
			writeLastChunk(c)
		})
		began, ended := time.Now(), make(chan string)
		go func() {
			_, body, _ := b.send(context.Background(), http.MethodPost, "/chat/1", chatHeaders)
			ended <- body
		}()
		time.Sleep(500 * time.Millisecond)
		b.pool.SetEvacuated(map[string]bool{"a": true}, time.Now())
		for _, path := range []string{"/once/1", "/read/1", "/chat/1"} {
			began := time.Now()
			resp, _, err := b.send(t.Context(), http.MethodPost, path, chatHeaders)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after > 0)
			is.True(time.Since(began) < 10*time.Millisecond)
		}
		is.True(strings.Contains(<-ended, "id: 4"))
		is.Equal(b.between("x", began, time.Now()), 1)
	})
}

// A silent server whose data centre is evacuated, or that is cold and has no permit left,
// is not returned to.
func TestNoReturnToSilentServer(t *testing.T) {
	for _, c := range []struct {
		name  string
		learn func(b *limitedHarness, id string)
		want  string // events that reach the caller
	}{
		{"neither", func(*limitedHarness, string) {}, "1 2 3 4"},
		{"evacuated", func(b *limitedHarness, id string) { b.pool.SetEvacuated(map[string]bool{id: true}, time.Now()) }, "1"},
		{"cold with a permit", func(b *limitedHarness, id string) {
			b.f.opts.Permits.(*fixedPermits).left.Store(1)
			b.pool.SetEntryWarmup(id, 1, time.Minute, time.Now())
		}, "1 2 3 4"},
		{"cold without a permit", func(b *limitedHarness, id string) { b.pool.SetEntryWarmup(id, 1, time.Minute, time.Now()) }, "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newWarmupHarness(t)
				b.f.opts.Permits = &fixedPermits{}
				b.addSilentAndFull(func(id string) { time.AfterFunc(500*time.Millisecond, func() { c.learn(b, id) }) })
				for i := range b.servers { // each in a data centre of its own
					b.servers[i].DataCentre, b.servers[i].Started = b.servers[i].ID, 1
				}
				b.pool.Update(b.servers, time.Now())
				_, body, _ := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
				is.Equal(eventIDs(body), c.want)
			})
		})
	}
}
