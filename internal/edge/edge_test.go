package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/route"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// testSchema encodes everything as JSON of the product's own types.
type testSchema struct{}

func (testSchema) Tables() Tables {
	return Tables{Operator: "o", Servers: "s", Status: "st", Config: "c", RolloutPrefix: "r/", EvacuationPrefix: "e/"}
}

func (testSchema) Routes(data []byte) (*route.Table, error) {
	version, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return nil, err
	}
	return route.NewTable(route.Definition{Version: version})
}

func (testSchema) Server(id string, data []byte) (pool.Server, error) {
	var s pool.Server
	err := json.Unmarshal(data, &s)
	s.ID = id
	return s, err
}

func (testSchema) Rollout(data []byte) (RolloutOrder, error) {
	var o RolloutOrder
	return o, json.Unmarshal(data, &o)
}

func (testSchema) RolloutStatus(data []byte) (RolloutStatus, error) {
	var s RolloutStatus
	return s, json.Unmarshal(data, &s)
}

func (testSchema) EncodeRolloutStatus(s RolloutStatus) ([]byte, error) { return json.Marshal(s) }

func encode(t testing.TB, v any) []byte {
	t.Helper()
	raw, err := json.Marshal(v)
	is.New(t).NoErr(err)
	return raw
}

var startTime = time.Unix(1000, 0)

func versionCounter() func() uint64 {
	n := uint64(0)
	return func() uint64 { n++; return n }
}

// An older or invalid configuration must not replace the one in force.
func TestConfigVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	c := &config{schema: testSchema{}, log: zap.NewNop()}
	for _, step := range []struct {
		data string
		want int64
	}{{"5", 5}, {"4", 5}, {"nonsense", 5}, {"9", 9}} {
		c.apply(gossip.Row{Table: "o", Key: "c", Data: []byte(step.data)})
		is.Equal(c.table.Load().Version, step.want)
	}
}

// Servers whose entries expired during an outage of the store are kept until they had
// the time to register again. A server that announced to drain is not kept.
func TestExpiredServersAreKeptDuringGracePeriod(t *testing.T) {
	is := is.New(t)
	p, rows := pool.New(), gossip.NewMap(nil)
	outage := time.Second
	s := newServers(testSchema{}, p, rows, func() time.Duration { return outage }, zap.NewNop())
	entry := func(id string, version uint64, draining bool) gossip.Row {
		return gossip.Row{Table: "s", Key: id, Version: version, Data: encode(t, pool.Server{Service: "x", Slots: 1, Draining: draining})}
	}
	s.apply([]gossip.Row{entry("a", 1, false), entry("b", 1, true)}, startTime)
	s.apply([]gossip.Row{{Table: "s", Key: "a", Version: 2, Deleted: true}, {Table: "s", Key: "b", Version: 2, Deleted: true}}, startTime)
	is.True(p.Member("a") != nil)
	is.True(p.Member("b") == nil)
	s.dropExpired(startTime.Add(expiryGrace + time.Millisecond))
	is.True(p.Member("a") == nil)
	outage = time.Hour
	s.apply([]gossip.Row{entry("c", 3, false)}, startTime)
	s.apply([]gossip.Row{{Table: "s", Key: "c", Version: 4, Deleted: true}}, startTime)
	is.True(p.Member("c") == nil) // without an outage a missing entry removes the server at once
}

func readyNode(inner, dc string, weight float64) nodeState {
	return nodeState{Node: inner, Inner: inner, Callers: "c" + inner, DataCentre: dc, Ready: true, Weight: weight}
}

// The hub relays the updates of its data centre, so it must be a node with a large
// link. All nodes choose the same one, and another one once it is unreachable.
func TestHubHasLargeWeightAndIsReplacedWhenUnreachable(t *testing.T) {
	is := is.New(t)
	m := newMembers(zap.NewNop())
	m.setSelf(readyNode("n1", "a", 1))
	m.applyMemberLists([]gossip.Row{{Key: "h", Data: encode(t, []nodeState{readyNode("n2", "a", 1), readyNode("n3", "a", 9), readyNode("n4", "a", 9), readyNode("m1", "b", 1)})}}, startTime)
	hub := m.hubs(startTime)["a"]
	is.True(hub == "n3" || hub == "n4")
	is.Equal(m.hubs(startTime)["b"], "m1")
	m.markUnreachable(hub, startTime)
	next := m.hubs(startTime)["a"]
	is.True(next != hub && (next == "n3" || next == "n4"))
	m.markUnreachable(next, startTime)
	is.True(m.hubs(startTime)["a"] != hub)
	is.Equal(m.hubs(startTime.Add(unreachableBackoff + time.Second))["a"], hub)
}

// The nodes of a data centre count as live until their hub's heartbeat times out, even
// if their own heartbeats timed out earlier. A node's Stopping flag overrides an older
// member list that has the node as ready.
func TestMembersExpireWithTheirHub(t *testing.T) {
	is := is.New(t)
	m := newMembers(zap.NewNop())
	m.setSelf(readyNode("n1", "a", 1))
	m.applyMemberLists([]gossip.Row{{Key: "h", Data: encode(t, []nodeState{readyNode("m1", "b", 1), readyNode("m2", "b", 1)})}}, startTime)
	is.Equal(m.count(), 3)
	stopping := readyNode("m2", "b", 1)
	stopping.Stopping = true
	m.applyHeartbeats([]gossip.Row{{Key: "m2", Data: encode(t, heartbeat{nodeState: stopping})}}, startTime)
	for _, s := range m.live() {
		is.Equal(s.Stopping, s.Inner == "m2")
	}
	m.applyHubHeartbeats([]gossip.Row{{Key: "h"}}, startTime.Add(2*time.Second))
	m.prune(startTime.Add(hubHeartbeatTimeout + time.Second))
	is.Equal(m.count(), 3) // the heartbeat expired, the member list is kept by the hub's heartbeat
	m.prune(startTime.Add(2*time.Second + hubHeartbeatTimeout + time.Second))
	is.Equal(m.count(), 1)
}

// Callers choose among the addresses at random, so large nodes must be listed more
// often. Each answer needs alternatives for a caller whose first choice fails.
func TestAddressesAreSampledByWeight(t *testing.T) {
	is := is.New(t)
	var nodes []nodeState
	for i := range 10 {
		nodes = append(nodes, readyNode("small"+strconv.Itoa(i), "a", 1))
	}
	nodes = append(nodes, readyNode("large", "a", 10))
	returned := map[string]int{}
	next := rand.New(rand.NewPCG(1, 2)).Float64
	for range 1000 {
		list := sampleAddresses(nodes, next)
		is.True(len(list) >= minDirectoryAddresses)
		for _, a := range list {
			returned[a]++
		}
	}
	is.Equal(returned["clarge"], 1000)
	for i := range 10 {
		is.True(returned["csmall"+strconv.Itoa(i)] < 500)
	}
}

// While a whole fleet starts, each node considers itself a hub. Only the seeds may
// read the store then, the rest stand by. A node that starts alone reads at once if it
// has the first turn.
func TestSeedsReadStoreDuringFleetStart(t *testing.T) {
	is := is.New(t)
	turnOf := func(ip string, isFirstStart bool, age time.Duration) int {
		s := Settings{IP: ip, DataCentre: "a", Seeds: []string{"10.0.0.1"}, FirstStart: isFirstStart}
		n := &Node{options: Options{Settings: s}, innerAddress: ip, startedAt: time.Now().Add(-age), members: newMembers(zap.NewNop())}
		n.members.setSelf(nodeState{Inner: ip, DataCentre: "a", Weight: 1})
		n.members.applyMemberLists([]gossip.Row{{Key: "h", Data: encode(t, []nodeState{{Inner: "z", DataCentre: "a"}})}}, time.Now())
		return n.readerTurn()
	}
	is.Equal(turnOf("10.0.0.1", true, time.Second), 0)
	is.Equal(turnOf("10.0.0.2", true, time.Second), 1)
	is.Equal(turnOf("10.0.0.2", true, fleetConvergenceTime+time.Second), 0)
	is.Equal(turnOf("10.0.0.2", false, time.Second), 0)
}

// fakeStore counts calls, and fails while it is down.
type fakeStore struct {
	calls atomic.Int32
	down  bool
}

func (f *fakeStore) Read(context.Context, string) ([]gossip.Row, gossip.Revision, error) {
	f.calls.Add(1)
	if f.down {
		return nil, gossip.Revision{}, errors.New("down")
	}
	return nil, gossip.Revision{Version: 1}, nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, _ gossip.Revision, wait time.Duration) ([]gossip.Row, gossip.Revision, error) {
	f.calls.Add(1)
	if f.down {
		return nil, gossip.Revision{}, errors.New("down")
	}
	loop.Sleep(ctx, wait)
	return nil, gossip.Revision{Version: 1}, nil
}

func (*fakeStore) Write(context.Context, string, string, gossip.Revision, []byte) (bool, error) {
	return true, nil
}

func (*fakeStore) Remove(context.Context, string, string) error { return nil }

func (*fakeStore) Clock() (time.Duration, bool) { return 0, false }

func unranked(gossip.Row) uint64 { return 0 }

// One node reads the store for all. A standby must read only once it receives no
// updates of the store any more.
func TestStandbyReadsStoreWhenStateIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{}
		r := newReader(store, gossip.NewMap(nil), telemetry.NewForwardMetrics(), unranked, func() int { return 1 }, zap.NewNop())
		r.observeAge(0)
		ctx, cancel := context.WithCancel(t.Context())
		go r.follow(ctx, "o", operatorWait, 0, true)
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			r.observeAge(100 * time.Millisecond) // updates of the reader arrive
		}
		is.Equal(store.calls.Load(), int32(0))
		time.Sleep(staleAfter + standbyStep + 2*idlePause)
		is.True(store.calls.Load() > 0)
		cancel()
		synctest.Wait()
	})
}

// Guards against a storm of calls while the store is down: the reader makes about
// three a second, a standby far fewer, and none reads tables other than the
// operator's.
func TestStoreOutageLimitsCalls(t *testing.T) {
	for _, c := range []struct {
		name      string
		turn      int
		tracksAge bool
		maxCalls  int32
	}{{"reader", 0, true, 40}, {"standby", 3, true, 14}, {"other table", 0, false, 1}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &fakeStore{down: true}
				r := newReader(store, gossip.NewMap(nil), telemetry.NewForwardMetrics(), unranked, func() int { return c.turn }, zap.NewNop())
				r.observeAge(0)
				ctx, cancel := context.WithCancel(t.Context())
				go r.follow(ctx, "o", operatorWait, 0, c.tracksAge)
				time.Sleep(10 * time.Second)
				is.True(store.calls.Load() >= 1)
				is.True(store.calls.Load() <= c.maxCalls)
				is.True(r.age() >= 10*time.Second)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Soft rows expire. A node that joins late must still receive member lists that have
// not changed for longer than that.
func TestUnchangedMemberListIsRepublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &Node{prefixes: prefix.New(), options: Options{Log: zap.NewNop(), Schema: testSchema{}}, rowKey: "n1", innerAddress: "n1", members: newMembers(zap.NewNop()), pool: pool.New(), config: &config{}}
		n.settings.Store(&Settings{Node: "n1", DataCentre: "a"})
		n.rows = gossip.NewMap(nil)
		for range int(150 * time.Second / heartbeatInterval) {
			n.sendHeartbeat()
			old := uint64(time.Now().Add(-softRowTTL).UnixMilli())
			n.rows.Forget(tableMemberLists, func(r gossip.Row) bool { return r.Version > old })
			time.Sleep(heartbeatInterval)
		}
		_, ok := n.rows.Get(tableMemberLists, "n1")
		is.True(ok)
	})
}

// Entries of servers expire only while no node reaches the store. A node that is the
// only one to lose the store must see no outage, or it would keep drained servers
// longer than the others do.
func TestLocalStoreFailureIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReader(&fakeStore{down: true}, gossip.NewMap(nil), telemetry.NewForwardMetrics(), unranked, func() int { return 0 }, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		go r.follow(ctx, "o", operatorWait, 0, true)
		for range 20 {
			r.observeAge(200 * time.Millisecond) // update from another node
			time.Sleep(pruneInterval)
			r.recordOutage()
		}
		is.Equal(r.sinceOutage(), time.Hour)
		time.Sleep(outageAge + pruneInterval)
		r.recordOutage()
		is.True(r.sinceOutage() < time.Second)
		cancel()
		synctest.Wait()
	})
}

// A suspicion that one node clears must be cleared on the others.
func TestClearedSuspicionIsPublished(t *testing.T) {
	is := is.New(t)
	var published []gossip.Row
	rows := gossip.NewMap(func(r []gossip.Row) { published = append(published, r...) })
	a := &suspects{Suspects: dispatch.NewSuspectsWithLimit(2), nodeKey: "a", rows: rows, log: zap.NewNop(), nextVersion: versionCounter(), onQuarantine: func() {}}
	b := &suspects{Suspects: dispatch.NewSuspectsWithLimit(2), nodeKey: "b", rows: gossip.NewMap(nil), log: zap.NewNop(), nextVersion: versionCounter(), isHub: func() bool { return false }, onQuarantine: func() {}}
	a.Crashed(7, nil, false, "s1", 0, startTime)
	a.Cleared(7, nil, startTime)
	a.Crashed(7, nil, false, "s2", 0, startTime)
	b.apply(published, startTime)
	is.True(b.IsSuspect(7, startTime))
	is.True(!b.IsQuarantined(7, nil, startTime)) // one crash since a request with this fingerprint completed
	a.Crashed(7, nil, false, "s3", 0, startTime)
	b.apply(published, startTime)
	is.True(b.IsQuarantined(7, nil, startTime))
}
