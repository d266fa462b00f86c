package edge

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	productconfig "github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// The bound of a server's limit: from limitGrace after it was first named, the server
// receives in any limitWindow at most limitFactor times what the limit allows, plus
// limitSlack requests.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitingServer is a stand-in for a backend server that names a limit.
type limitingServer struct {
	address  string
	mu       sync.Mutex
	limit    string    // guarded by mu; header value, or "" for none
	namedAt  time.Time // guarded by mu; when the limit was first named
	arrivals []time.Time
}

func startLimitingServer(t *testing.T, limit string) *limitingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &limitingServer{address: l.Addr().String(), limit: limit}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// ServeHTTP implements http.Handler.
func (s *limitingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	now := time.Now()
	s.arrivals = append(s.arrivals, now)
	if s.limit != "" {
		w.Header().Set("T-Limit", s.limit)
		if s.namedAt.IsZero() {
			s.namedAt = now
		}
	}
	s.mu.Unlock()
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	_, _ = io.WriteString(w, "done")
}

// arrivalsAfterGrace returns the arrivals from limitGrace after the limit was first
// named.
func (s *limitingServer) arrivalsAfterGrace() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []time.Time
	for _, at := range s.arrivals {
		if at.After(s.namedAt.Add(limitGrace)) {
			out = append(out, at)
		}
	}
	return out
}

// mostInWindow returns the largest number of arrivals within a limitWindow.
func mostInWindow(arrivals []time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// memStore is a platform's store in memory.
type memStore struct {
	fakeStore
	mu      sync.Mutex
	version uint64                // guarded by mu
	rows    map[string]gossip.Row // guarded by mu; by table and key
}

func newMemStore() *memStore { return &memStore{rows: map[string]gossip.Row{}} }

// Read implements gossip.Store.
func (s *memStore) Read(_ context.Context, table string) ([]gossip.Row, gossip.Revision, error) {
	return s.changes(table, 0)
}

// Watch implements gossip.Store.
func (s *memStore) Watch(ctx context.Context, table string, after gossip.Revision, wait time.Duration) ([]gossip.Row, gossip.Revision, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if rows, version, err := s.changes(table, after.Version); len(rows) > 0 || err != nil {
			return rows, version, err
		}
	}
	return s.changes(table, after.Version)
}

// Write implements gossip.Store.
func (s *memStore) Write(_ context.Context, table, key string, expected gossip.Revision, data []byte) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := table + "/" + key
	if s.rows[id].Version != expected.Version {
		return false, nil
	}
	s.version++
	s.rows[id] = gossip.Row{Table: table, Key: key, Version: s.version, Data: data}
	return true, nil
}

func (s *memStore) changes(table string, after uint64) ([]gossip.Row, gossip.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []gossip.Row
	for _, r := range s.rows {
		if r.Table == table && r.Version > after {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b gossip.Row) int { return cmp.Compare(a.Version, b.Version) })
	return out, gossip.Revision{Version: max(s.version, 1)}, nil
}

// fleetIP returns the address of a node of a fleet.
func fleetIP(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

// freeFleetPort returns a port that is free on all nodes of a fleet. It lies below the range
// from which outgoing connections take theirs: nodes connect from their own addresses.
func freeFleetPort(t testing.TB, size int) int {
	t.Helper()
	for range 100 {
		port, isFree := 10_000+rand.IntN(20_000), true
		for i := range size {
			l, err := net.Listen("tcp", net.JoinHostPort(fleetIP(i), strconv.Itoa(port)))
			if err != nil {
				isFree = false
				break
			}
			_ = l.Close()
		}
		if isFree {
			return port
		}
	}
	t.Fatal("no port is free on all nodes")
	return 0
}

// startLimitFleet starts nodes in front of the given servers and returns them with their
// addresses for callers.
func startLimitFleet(t *testing.T, size int, servers []*limitingServer) (nodes []*Node, callers []string) {
	t.Helper()
	var addresses []string
	for _, s := range servers {
		addresses = append(addresses, s.address)
	}
	return startFleet(t, size, addresses, func(int, *Options) {})
}

// startFleet starts nodes in front of servers at the given addresses and returns them with
// their addresses for callers. configure changes the options of each node.
func startFleet(t testing.TB, size int, servers []string, configure func(i int, o *Options)) (nodes []*Node, callers []string) {
	t.Helper()
	is, store := is.New(t), newMemStore()
	_, err := store.Write(t.Context(), "o", "c", gossip.Revision{}, []byte("1"))
	is.NoErr(err)
	for i, address := range servers {
		_, err := store.Write(t.Context(), "s", fmt.Sprint("server-", i), gossip.Revision{}, encode(t, pool.Server{Address: address, Service: "s", DataCentre: "a", Slots: 100}))
		is.NoErr(err)
	}
	inner, callersPort := freeFleetPort(t, size), strconv.Itoa(freeFleetPort(t, size))
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { stop(); running.Wait() })
	for i := range size {
		tracer, err := telemetry.NewTracer(t.Context(), productconfig.DefaultSettings())
		is.NoErr(err)
		ip := fleetIP(i)
		address := net.JoinHostPort(ip, callersPort)
		o := Options{
			Settings: Settings{
				Node: fmt.Sprint("n", i), IP: ip, DataCentre: string(rune('a' + i%3)), Callers: address, InnerPort: inner, Seeds: []string{"127.0.1.1"},
				StopTime: 200 * time.Millisecond, SessionLife: time.Second, RetryRatio: 1, RetryAllowance: 100, RetryWindow: time.Second, Processor: 1, Bandwidth: 1,
			},
			Schema: stopSchema{}, Store: store, Headers: forward.Headers{RequestID: "T-Id", TimeLeft: "T-Left", Instance: "T-Instance", Limit: "T-Limit"},
			ReadyPath: "/ready", DirectoryPath: "/directory", Log: zap.NewNop(), Metrics: telemetry.NewForwardMetrics(), Tracer: tracer,
		}
		configure(i, &o)
		n, err := New(o)
		is.NoErr(err)
		running.Go(func() { n.Run(ctx) })
		for !n.isReady() {
			time.Sleep(5 * time.Millisecond)
		}
		nodes, callers = append(nodes, n), append(callers, address)
	}
	return nodes, callers
}

// sendSteadily sends requests to the addresses in turn for some time and returns the
// number of answers by status.
func sendSteadily(t *testing.T, addresses []string, duration, interval time.Duration) map[int]int {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	statuses := map[int]int{}
	var senders sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	began := time.Now()
	for k := 0; time.Since(began) < duration; k++ {
		<-ticker.C
		senders.Go(func() {
			_, status, err := post(client, addresses[k%len(addresses)], strconv.Itoa(k))
			if err != nil {
				status = -1
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	senders.Wait()
	return statuses
}

// Guards against a limit that each node keeps for itself, or not at all: a backend
// server names in its answers how many requests a second it takes from all nodes
// together, and the sum over the nodes must keep to it.
func TestServerLimitHoldsForAllNodesTogether(t *testing.T) {
	is := is.New(t)
	limited, other := startLimitingServer(t, "1.3"), startLimitingServer(t, "")
	_, addresses := startLimitFleet(t, 6, []*limitingServer{limited, other})
	time.Sleep(3 * time.Second)
	statuses := sendSteadily(t, addresses, 12*time.Second, 25*time.Millisecond)
	arrivals := limited.arrivalsAfterGrace()
	most := mostInWindow(arrivals)
	t.Logf("%d arrivals after the grace period, at most %d in %v; answers by status: %v", len(arrivals), most, limitWindow, statuses)
	is.True(float64(most) <= limitFactor*1.3*limitWindow.Seconds()+limitSlack)
	is.Equal(len(statuses), 1) // the other server takes what the limited one does not
	is.True(statuses[http.StatusOK] > 0)
}

// A node must know a server's limit before it has an answer of that server itself, also a
// change of it. A node that stops must cease to grant at once.
func TestLimitIsSharedBetweenNodes(t *testing.T) {
	is := is.New(t)
	server := startLimitingServer(t, "4")
	nodes, addresses := startLimitFleet(t, 4, []*limitingServer{server})
	time.Sleep(3 * time.Second)
	knows := func(limit float64) bool {
		for _, n := range nodes {
			if n.pool.Member("server-0").Limit() != limit {
				return false
			}
		}
		return true
	}
	for _, c := range []struct {
		named string
		want  float64
	}{{"4", 4}, {"9", 9}, {"", permit.NoLimit}} {
		server.mu.Lock()
		server.limit = c.named
		server.mu.Unlock()
		sendSteadily(t, addresses[:1], 1500*time.Millisecond, 20*time.Millisecond)
		for end := time.Now().Add(2 * time.Second); !knows(c.want) && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(knows(c.want))
	}
	for _, n := range nodes {
		if share, _ := n.permits.roster.Share(time.Now()); share == 0 {
			continue
		}
		n.stopping.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		n.stop(ctx)
		share, _ := n.permits.roster.Share(time.Now())
		is.Equal(share, 0.0)
		return
	}
	t.Fatal("no node grants permits")
}
