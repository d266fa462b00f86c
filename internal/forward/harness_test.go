package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/route"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// testHeaders stands in for the header names of a platform.
var testHeaders = Headers{
	RequestID: "T-Id", TimeLeft: "T-Left", Key: "T-Key", Organisation: "T-Organisation", Instance: "T-Instance", Version: "T-Version",
	NotRun: "T-Not-Run", Draining: "T-Leaving", Load: "T-Load", Limit: "T-Limit", Model: "T-Model", Tokens: "T-Tokens", Prompt: "T-Prompt", Session: "T-Session",
	LengthHint: "T-Hint", Confidence: "T-Confidence", Priority: "T-Priority", LastEventID: "Last-Event-Id", Internal: []string{"T-Internal"},
}

// harness is a forwarder with scripted servers.
type harness struct {
	t       *testing.T
	net     *memNetwork
	pool    *pool.Pool
	servers []pool.Server
	table   *route.Table
	// emptyTable has no routes.
	emptyTable *route.Table
	versions   *fixedVersions
	suspects   *fakeSuspects
	budget     *Budget
	f          *Forwarder
	client     *http.Client
	mu         sync.Mutex
	received   []*http.Request
	// hasNoRoutes puts a configuration without routes in force.
	hasNoRoutes bool // guarded by mu
}

// tableInForce returns the table of the configuration in force.
func (b *harness) tableInForce() *route.Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasNoRoutes {
		return b.table
	}
	return b.emptyTable
}

type fixedVersions struct{ choice Choice }

func (v *fixedVersions) Pick(string, string, time.Time) Choice { return v.choice }

func (*fixedVersions) Observe(string, string, Observation, time.Time) {}

type fakeSuspects struct {
	suspected   bool
	quarantined atomic.Int32
	crashes     atomic.Int32
}

func (s *fakeSuspects) Crashed(uint64, []string, bool, string, time.Duration, time.Time) {
	s.crashes.Add(1)
}
func (s *fakeSuspects) BeginTrial([]string, time.Time) (func(), time.Duration) {
	return func() {}, 0
}
func (s *fakeSuspects) IsSuspected([]string) bool            { return s.suspected }
func (s *fakeSuspects) Survived(uint64, []string, time.Time) {}
func (s *fakeSuspects) Cleared(uint64, []string, time.Time)  {}
func (s *fakeSuspects) IsQuarantined(uint64, []string, time.Time) bool {
	return s.quarantined.Load() != 0
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	b := &harness{t: t, net: newMemNetwork(), versions: &fixedVersions{}, suspects: &fakeSuspects{}}
	b.pool = pool.New()
	var err error
	b.table, err = route.NewTable(route.Definition{
		Version: 3,
		Routes: []route.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: route.Stream, Resumable: true, MaxAttempts: 3, Timeout: 20 * time.Second, Target: 2 * time.Second, MaxPause: 2 * time.Second, Models: []string{"small", "large"}, Sticky: true, Backends: []route.Backend{{Service: "s", Weight: 1}}},
			{Name: "story", Host: "h", Prefix: "/story/", Kind: route.Stream, MaxAttempts: 3, Timeout: 20 * time.Second, Target: 2 * time.Second, MaxPause: 2 * time.Second, Models: []string{"small", "large"}, Sticky: true, Backends: []route.Backend{{Service: "s", Weight: 1}}},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.NonIdempotent, MaxAttempts: 2, Timeout: time.Second, Target: 100 * time.Millisecond, Backends: []route.Backend{{Service: "s", Weight: 1}}},
			{Name: "read", Host: "h", Prefix: "/read/", Kind: route.Idempotent, MaxAttempts: 2, Timeout: time.Second, Target: 100 * time.Millisecond, Backends: []route.Backend{{Service: "s", Weight: 1}}},
		},
		Services:      []route.Service{{Name: "s", Models: []route.Model{{Name: "small", Cost: 0.02}, {Name: "large", Cost: 0.3}}}},
		Organisations: []route.Organisation{{Name: "org", Keys: []string{"key"}}},
		Limits:        route.Limits{MaxBodyBytes: 1 << 20},
	})
	is.New(t).NoErr(err)
	b.emptyTable, err = route.NewTable(route.Definition{Version: 4})
	is.New(t).NoErr(err)
	tracer, err := telemetry.NewTracer(t.Context(), config.DefaultSettings())
	is.New(t).NoErr(err)
	b.budget = fixedBudget(BudgetBounds{Ratio: 0.9, Allowance: 50, Window: 10 * time.Second}, 1)
	b.f = New(Options{
		Headers: testHeaders, DataCentre: "a", Table: b.tableInForce, Pool: b.pool, Prefixes: prefix.New(), Versions: b.versions,
		Suspects: b.suspects, Budget: b.budget, Metrics: telemetry.NewForwardMetrics(), Tracer: tracer, Log: zap.NewNop(),
		Dial: b.net.dial, ShuttingDown: func() bool { return false },
	})
	front := &http.Server{Handler: b.f}
	l := b.net.listen("front")
	go func() { _ = front.Serve(l) }()
	transport := &http.Transport{DialContext: b.net.dial, DisableCompression: true}
	b.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		time.Sleep(time.Second) // let probes of servers end
		transport.CloseIdleConnections()
		b.f.reusingTransport.CloseIdleConnections()
		b.f.singleUseTransport.CloseIdleConnections()
		_ = front.Close()
		b.net.mu.Lock()
		defer b.net.mu.Unlock()
		for _, l := range b.net.listeners {
			_ = l.Close()
		}
	})
	return b
}

// server adds a server that answers each request by calling handle.
func (b *harness) server(id string, handle func(net.Conn, *http.Request)) {
	l := b.net.listen(id)
	go serveRaw(l, func(c net.Conn, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		b.mu.Lock()
		b.received = append(b.received, r)
		b.mu.Unlock()
		handle(c, r)
	})
	b.servers = append(b.servers, pool.Server{ID: id, Address: id, Service: "s", DataCentre: "a", Version: "v1", Slots: 8})
	b.pool.Update(b.servers, time.Now())
}

// answerFirstWith adds two servers. The first request gets the given answer,
// all others succeed.
func (b *harness) answerFirstWith(status int, header, body string) {
	sent := 0
	for _, id := range []string{"x", "y"} {
		b.server(id, func(c net.Conn, r *http.Request) {
			if sent++; sent == 1 {
				writeAnswer(c, r, status, header, body)
				return
			}
			writeAnswer(c, r, http.StatusOK, "", "ok")
		})
	}
}

// receivedRequests returns the requests that reached servers.
func (b *harness) receivedRequests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received
}

// send sends a request and returns the answer, its body and the error of
// reading it.
func (b *harness) send(ctx context.Context, method, path string, header map[string]string) (*http.Response, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://front"+path, strings.NewReader("body"))
	is.New(b.t).NoErr(err)
	r.Host = "h"
	for name, value := range map[string]string{"T-Id": "r1", "T-Key": "key", "T-Left": "15000"} {
		r.Header.Set(name, value)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// chatHeaders are the headers of a request that leaves the choice of the model
// to the router.
var chatHeaders = map[string]string{"T-Model": AnyModel, "T-Tokens": "700,400", "T-Prompt": "a:100,b:100,c:500", "T-Session": "s1"}

// writeAnswer writes a complete answer.
func writeAnswer(c net.Conn, r *http.Request, status int, header, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nT-Id: %s\r\nT-Seal: seal\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, r.Header.Get("T-Id"), header, len(body), body)
}

// writeStreamHeader writes the header of a chunked event stream.
func writeStreamHeader(c net.Conn, r *http.Request, confidence int) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: seal\r\nT-Confidence: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("T-Id"), confidence)
}

func writeChunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// writeEvents writes the events numbered from first to last at an interval.
func writeEvents(c net.Conn, first, last int, interval time.Duration) {
	for i := first; i <= last; i++ {
		writeChunk(c, "id: "+strconv.Itoa(i)+"\ndata: x\n\n")
		time.Sleep(interval)
	}
}

func writeLastChunk(c net.Conn) { fmt.Fprint(c, "0\r\n\r\n") }

// fixedBudget returns a budget with constant bounds.
func fixedBudget(b BudgetBounds, nodes int) *Budget {
	return NewBudget(func() BudgetBounds { return b }, func() int { return nodes })
}
