package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	productconfig "github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/route"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// stopSchema has one route, to one service.
type stopSchema struct{ testSchema }

func (stopSchema) Routes([]byte) (*route.Table, error) {
	return route.NewTable(route.Definition{Version: 1, Routes: stopRoutes()})
}

func stopRoutes() []route.Route {
	return []route.Route{{
		Name: "once", Host: "h", Prefix: "/once/", Kind: route.NonIdempotent, MaxAttempts: 1, Timeout: 5 * time.Second,
		Target: time.Second, Anonymous: true, Backends: []route.Backend{{Service: "s", Weight: 1}},
	}}
}

// listStore is a store with a configuration and one server.
type listStore struct {
	fakeStore
	rows map[string][]gossip.Row
}

func (s *listStore) Read(_ context.Context, table string) ([]gossip.Row, gossip.Revision, error) {
	return s.rows[table], gossip.Revision{Version: 5}, nil
}

// freeAddress returns a currently free address of this machine.
func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

// loadedNode runs a node in front of one server, and returns its address for callers
// and a function that waits for the end of its shutdown.
func loadedNode(t *testing.T, server string, stop context.Context, stopTime time.Duration) (callers string, stopped func()) {
	t.Helper()
	is := is.New(t)
	_, port, err := net.SplitHostPort(freeAddress(t))
	is.NoErr(err)
	inner, err := strconv.Atoi(port)
	is.NoErr(err)
	callers = freeAddress(t)
	tracer, err := telemetry.NewTracer(t.Context(), productconfig.DefaultSettings())
	is.NoErr(err)
	store := &listStore{rows: map[string][]gossip.Row{
		"o": {{Table: "o", Key: "c", Version: 1, Data: []byte("1")}},
		"s": {{Table: "s", Key: "x", Version: 2, Data: encode(t, pool.Server{Address: server, Service: "s", DataCentre: "a", Slots: 100})}},
	}}
	n, err := New(Options{
		Settings: Settings{Node: "n1", IP: "127.0.0.1", DataCentre: "a", Callers: callers, InnerPort: inner, StopTime: stopTime, SessionLife: time.Second},
		Schema:   stopSchema{}, Store: store, Headers: forward.Headers{RequestID: "T-Id", TimeLeft: "T-Left", Instance: "T-Instance"},
		ReadyPath: "/ready", DirectoryPath: "/directory", Log: zap.NewNop(), Metrics: telemetry.NewForwardMetrics(), Tracer: tracer,
	})
	is.NoErr(err)
	done := make(chan struct{})
	go func() {
		n.Run(stop)
		close(done)
	}()
	for !n.isReady() {
		time.Sleep(5 * time.Millisecond)
	}
	return callers, func() { <-done }
}

// A planned stop under load: callers with reused and with new connections keep sending
// until the process has ended. Guards against requests that reached a server and got
// no complete answer, or were refused after they were read.
func TestPlannedStopAnswersAcceptedRequests(t *testing.T) {
	is := is.New(t)
	var served sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Store(r.Header.Get("T-Id"), true)
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("T-Id", r.Header.Get("T-Id"))
		_, _ = io.WriteString(w, "done "+r.Header.Get("T-Id"))
	}))
	defer server.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	const stopTime = 2 * time.Second
	address, stopped := loadedNode(t, strings.TrimPrefix(server.URL, "http://"), ctx, stopTime)
	var hasStopped atomic.Bool
	var total atomic.Int32
	var callers sync.WaitGroup
	failed := make([]map[string]string, 24)
	for i := range failed {
		failed[i] = map[string]string{}
		callers.Go(func() {
			transport := &http.Transport{DisableKeepAlives: i%2 == 0}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
			for k := 0; !hasStopped.Load(); k++ {
				id := fmt.Sprintf("%d-%d", i, k)
				body, status, err := post(client, address, id)
				switch {
				case err != nil:
					failed[i][id] = err.Error()
					time.Sleep(time.Millisecond)
				case status != http.StatusOK || body != "done "+id:
					failed[i][id] = fmt.Sprint(status, body)
				default:
					total.Add(1)
				}
			}
		})
	}
	const load = 500 // answers before the stop, whatever the speed of the machine
	for total.Load() < load {
		time.Sleep(5 * time.Millisecond)
	}
	began := time.Now()
	stop()
	stopped()
	is.True(time.Since(began) < stopTime)
	hasStopped.Store(true)
	callers.Wait()
	is.True(total.Load() > load) // and some during the stop
	for i := range failed {
		for id, cause := range failed[i] {
			if _, wasServed := served.Load(id); wasServed {
				t.Errorf("request %s ran and its caller got no answer: %s", id, cause)
			}
		}
	}
}

// post sends a request and returns its whole answer.
func post(client *http.Client, address, id string) (body string, status int, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/once/1", strings.NewReader("x"))
	if err != nil {
		return "", 0, err
	}
	r.Host = "h"
	r.Header.Set("T-Id", id)
	r.Header.Set("T-Left", "4000")
	resp, err := client.Do(r)
	if err != nil {
		return "", 0, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), resp.StatusCode, err
}
