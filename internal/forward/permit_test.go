package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// limitedHarness is a harness whose servers name limits that a test sets.
type limitedHarness struct {
	*harness
	limitMu  sync.Mutex
	limits   map[string]string      // by server; absent for none
	arrivals map[string][]time.Time // by server
}

func newLimitedHarness(t *testing.T, limits map[string]string) *limitedHarness {
	return &limitedHarness{harness: newHarness(t), limits: limits, arrivals: map[string][]time.Time{}}
}

func (b *limitedHarness) setLimit(id, limit string) {
	b.limitMu.Lock()
	defer b.limitMu.Unlock()
	b.limits[id] = limit
}

// addServer adds a server that records each request and answers with serve, whose header
// argument holds the limit.
func (b *limitedHarness) addServer(id string, serve func(c net.Conn, r *http.Request, header string)) {
	b.server(id, func(c net.Conn, r *http.Request) {
		b.limitMu.Lock()
		header := ""
		for _, line := range strings.Split(b.limits[id], ";") {
			if line != "" {
				header += "T-Limit: " + line + "\r\n"
			}
		}
		b.arrivals[id] = append(b.arrivals[id], time.Now())
		b.limitMu.Unlock()
		serve(c, r, header)
	})
}

// between returns how many requests a server received in a span of time.
func (b *limitedHarness) between(id string, from, to time.Time) int {
	b.limitMu.Lock()
	defer b.limitMu.Unlock()
	n := 0
	for _, at := range b.arrivals[id] {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// load sends a request to each of the paths in turn at an interval, each with content of
// its own, and returns the answers by status. Requests do not wait for each other.
func (b *limitedHarness) load(duration, interval time.Duration, paths ...string) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	var senders sync.WaitGroup
	for began, k := time.Now(), 0; time.Since(began) < duration; k++ {
		senders.Go(func() {
			path := strings.Replace(paths[k%len(paths)], "/1", "/1?"+strconv.Itoa(k), 1)
			header := map[string]string{}
			for name, value := range chatHeaders {
				header[name] = value
			}
			header["T-Id"], header["T-Session"] = "r"+strconv.Itoa(k), "s"+strconv.Itoa(k)
			resp, _, err := b.send(context.Background(), http.MethodPost, path, header)
			status := -1
			if err == nil {
				status = resp.StatusCode
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(interval)
	}
	senders.Wait()
	return statuses
}

// serveAnything answers plain requests and streams.
func serveAnything(confidence int) func(net.Conn, *http.Request, string) {
	return func(c net.Conn, r *http.Request, header string) {
		if !strings.HasPrefix(r.URL.Path, "/chat/") {
			writeAnswer(c, r, http.StatusOK, header, "ok")
			return
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if r.Header.Get("T-Model") == "large" {
			confidence = 90
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\n%sT-Confidence: %d\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("T-Id"), header, confidence)
		writeEvents(c, last+1, 4, time.Millisecond)
		writeLastChunk(c)
	}
}

// breakAnything breaks streams off and answers plain requests with status 500.
func breakAnything(c net.Conn, r *http.Request, header string) {
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Confidence: 90\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("T-Id"))
		writeEvents(c, 1, 2, time.Millisecond) // breaks off
		return
	}
	writeAnswer(c, r, http.StatusInternalServerError, header, "no")
}

// waysToServer are the ways on which requests reach a server while another one answers as
// given.
var waysToServer = []struct {
	name  string
	paths []string
	other func(net.Conn, *http.Request, string)
}{
	{"first tries", []string{"/once/1", "/read/1", "/chat/1"}, serveAnything(90)},
	{"larger models", []string{"/chat/1"}, func(c net.Conn, r *http.Request, header string) {
		if r.Header.Get("T-Model") == "large" {
			writeAnswer(c, r, http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "")
			return
		}
		serveAnything(5)(c, r, header)
	}},
	{"retries", []string{"/read/1"}, breakAnything},
	{"resumed streams", []string{"/chat/1"}, breakAnything},
}

// Guards against a way to a server that does not count against its limit: first tries,
// retries after failures, larger models, resumed streams and plain requests.
func TestEveryWayToServerKeepsToItsLimit(t *testing.T) {
	for _, c := range waysToServer {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newLimitedHarness(t, map[string]string{"x": "1.3"})
				b.addServer("x", serveAnything(90))
				b.addServer("y", c.other)
				began := time.Now()
				b.load(40*time.Second, 40*time.Millisecond, c.paths...)
				for from := began.Add(3 * time.Second); from.Before(began.Add(36 * time.Second)); from = from.Add(100 * time.Millisecond) {
					is.True(b.between("x", from, from.Add(4*time.Second)) <= 9) // 1.3 a second and what was saved up
				}
				used := b.between("x", began.Add(3*time.Second), began.Add(40*time.Second))
				t.Logf("%d requests in 37 s", used)
				is.True(used >= 30) // the limit is used
			})
		})
	}
}

// Work over a limit goes to another server; nothing is refused or slower for it.
func TestWorkOverLimitGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newLimitedHarness(t, map[string]string{"x": "0.5"})
		b.addServer("x", serveAnything(90))
		b.addServer("y", serveAnything(90))
		statuses := b.load(10*time.Second, 30*time.Millisecond, "/once/1", "/chat/1")
		is.Equal(len(statuses), 1)
		is.True(statuses[http.StatusOK] > 300)
	})
}

// If all servers limit their requests, a request without a permit is refused at once,
// and its caller is served when it returns at the time that it was told.
func TestRefusedAtOnceWithTrueTimeToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newLimitedHarness(t, map[string]string{"x": "2", "y": "3"})
		b.addServer("x", serveAnything(90))
		b.addServer("y", serveAnything(90))
		b.load(3*time.Second, 50*time.Millisecond, "/once/1")
		var mu sync.Mutex
		refused, served, returned := 0, 0, 0
		var callers sync.WaitGroup
		for k := range 400 {
			callers.Go(func() {
				path := "/once/1?caller" + strconv.Itoa(k)
				send := func() *http.Response {
					began := time.Now()
					resp, _, err := b.send(context.Background(), http.MethodPost, path, map[string]string{"T-Left": "6000"})
					is.NoErr(err)
					is.True(time.Since(began) < 50*time.Millisecond)
					return resp
				}
				resp := send()
				if resp.StatusCode == http.StatusOK {
					return
				}
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				mu.Lock()
				refused++
				mu.Unlock()
				if after > 2 {
					return // beyond a third of the time left
				}
				time.Sleep(time.Duration(after * float64(time.Second)))
				resp = send()
				mu.Lock()
				defer mu.Unlock()
				returned++
				if resp.StatusCode == http.StatusOK {
					served++
				}
			})
			time.Sleep(50 * time.Millisecond) // 20 a second for 5
		}
		callers.Wait()
		t.Logf("%d refused, %d returned, %d of them served", refused, returned, served)
		is.True(returned > 20)
		is.True(float64(served) >= 0.8*float64(returned))
	})
}

// fixedPermits grants as many permits as it holds.
type fixedPermits struct{ left atomic.Int32 }

func (p *fixedPermits) Acquire(context.Context, permit.Request) permit.Reply {
	if p.left.Add(-1) < 0 {
		return permit.Reply{IsCoordinator: true, Next: 500 * time.Millisecond, RetryAfter: 700 * time.Millisecond}
	}
	return permit.Reply{Granted: 1, IsCoordinator: true}
}

// An answer at hand is delivered if there is no permit for a better one, and a stream
// that has begun waits for its next server instead of breaking off.
func TestReadyAnswersAreDeliveredWithoutPermit(t *testing.T) {
	for _, c := range []struct {
		name, path string
		serve      func(net.Conn, *http.Request, string)
		status     int
		body       string
	}{
		{"answer of the small model", "/chat/1", serveAnything(5), http.StatusOK, "1 2 3 4"},
		{"failure of the server itself", "/read/1", func(c net.Conn, r *http.Request, header string) {
			writeAnswer(c, r, http.StatusInternalServerError, header, "no")
		}, http.StatusInternalServerError, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newLimitedHarness(t, map[string]string{"x": "1"})
				b.addServer("x", c.serve)
				b.pool.SetLimit("x", 0, 1, time.Now())
				permits := &fixedPermits{}
				permits.left.Store(1)
				b.f.opts.Permits = permits
				resp, body, err := b.send(t.Context(), http.MethodPost, c.path, chatHeaders)
				is.NoErr(err)
				is.Equal(resp.StatusCode, c.status)
				is.Equal(eventIDs(body), c.body)
				is.Equal(resp.Header.Get("Retry-After"), "")
			})
		})
	}
}

// A stream that broke off must wait for a permit to go on at another server.
func TestBrokenStreamWaitsForPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newLimitedHarness(t, map[string]string{"x": "2", "y": "2"})
		var sends atomic.Int32
		serve := func(c net.Conn, r *http.Request, header string) {
			if sends.Add(1) == 1 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: r1\r\n%sT-Confidence: 90\r\nTransfer-Encoding: chunked\r\n\r\n", header)
				writeEvents(c, 1, 2, time.Millisecond)
				return
			}
			serveAnything(90)(c, r, header)
		}
		b.addServer("x", serve)
		b.addServer("y", serve)
		for _, id := range []string{"x", "y"} {
			b.pool.SetLimit(id, 0, 2, time.Now())
		}
		permits := &fixedPermits{}
		permits.left.Store(1)
		b.f.opts.Permits = permits
		time.AfterFunc(600*time.Millisecond, func() { permits.left.Store(1) })
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(eventIDs(body), "1 2 3 4")
	})
}

// A limit follows the server's answers: it falls, rises and ends with them, differs by
// server, and is not changed by malformed values, each of which is logged once.
func TestLimitFollowsServersAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newLimitedHarness(t, map[string]string{"x": "8", "y": "2"})
		core, lines := observer.New(zap.InfoLevel)
		b.f.opts.Log = zap.New(core)
		for _, id := range []string{"x", "y", "z"} {
			b.addServer(id, serveAnything(90))
		}
		var published []float64
		var mu sync.Mutex
		b.f.opts.OnLimit = func(s pool.Server, limit float64) {
			mu.Lock()
			defer mu.Unlock()
			if s.ID == "x" {
				published = append(published, limit)
			}
		}
		for _, step := range []struct {
			limit string
			want  float64
		}{{"8", 8}, {"2.5", 2.5}, {"-3", 2.5}, {"NaN", 2.5}, {"none", 2.5}, {"5;3", 3}, {"20", 20}, {"1e300", permit.MaxLimit}, {"", permit.NoLimit}, {"0", 0}} {
			b.setLimit("x", step.limit)
			statuses := b.load(4*time.Second, 10*time.Millisecond, "/once/1")
			is.Equal(len(statuses), 1)
			is.Equal(b.pool.Member("x").Limit(), step.want)
			is.Equal(b.pool.Member("y").Limit(), 2.0)
			is.Equal(b.pool.Member("z").Limit(), permit.NoLimit)
		}
		is.Equal(lines.FilterMessage("invalid limit of backend server").Len(), 5)
		is.Equal(fmt.Sprint(published), fmt.Sprint([]float64{8, 2.5, 3, 20, permit.MaxLimit, permit.NoLimit, 0}))
		before := time.Now()
		b.setLimit("x", "")
		b.load(15*time.Second, 10*time.Millisecond, "/once/1")
		is.Equal(b.pool.Member("x").Limit(), permit.NoLimit) // also a limit of 0 ends
		is.True(b.between("x", before, before.Add(15*time.Second)) > 0)
	})
}

// A request that was refused a permit for one server, and then refused by a full server
// without a limit, is told the time of the full servers, not that of the permit.
func TestTimeToReturnIsThatOfTheLastRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newLimitedHarness(t, map[string]string{"x": "0.1"})
		b.addServer("x", serveAnything(90))
		b.addServer("y", func(c net.Conn, r *http.Request, header string) {
			writeAnswer(c, r, http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "")
		})
		b.pool.SetLimit("x", 0, 0.1, time.Now())
		b.f.opts.Permits = &fixedPermits{}
		resp, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after < 0.2)
	})
}
