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
	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/route"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// testSchema keeps everything as JSON of the product's own types.
type testSchema struct{}

func (testSchema) Tables() Tables {
	return Tables{Operator: "o", Servers: "s", Status: "st", Config: "c", RolloutPrefix: "r/"}
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

func encode(t *testing.T, v any) []byte {
	t.Helper()
	raw, err := json.Marshal(v)
	is.New(t).NoErr(err)
	return raw
}

var start = time.Unix(1000, 0)

func counter() func() uint64 {
	n := uint64(0)
	return func() uint64 { n++; return n }
}

// An older configuration, or one that cannot be read, leaves the one in force.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	c := &config{schema: testSchema{}, log: zap.NewNop()}
	for _, step := range []struct {
		data string
		want int64
	}{{"5", 5}, {"4", 5}, {"nonsense", 5}, {"9", 9}} {
		c.apply(news.Row{Table: "o", Key: "c", Data: []byte(step.data)})
		is.Equal(c.table.Load().Version, step.want)
	}
}

// Servers whose entries lapsed while the store was away are kept until they
// had the time to come back; one that announced its leaving is not.
func TestLapsedServersAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	p, rows := pool.New(), news.NewMap(nil)
	outage := time.Second
	s := newServers(testSchema{}, p, rows, func() time.Duration { return outage }, zap.NewNop())
	entry := func(id string, version uint64, draining bool) news.Row {
		return news.Row{Table: "s", Key: id, Version: version, Data: encode(t, pool.Server{Service: "x", Slots: 1, Draining: draining})}
	}
	s.apply([]news.Row{entry("a", 1, false), entry("b", 1, true)}, start)
	s.apply([]news.Row{{Table: "s", Key: "a", Version: 2, Deleted: true}, {Table: "s", Key: "b", Version: 2, Deleted: true}}, start)
	is.True(p.Member("a") != nil)
	is.True(p.Member("b") == nil)
	s.tick(start.Add(lapseGrace + time.Millisecond))
	is.True(p.Member("a") == nil)
	outage = time.Hour
	s.apply([]news.Row{entry("c", 3, false)}, start)
	s.apply([]news.Row{{Table: "s", Key: "c", Version: 4, Deleted: true}}, start)
	is.True(p.Member("c") == nil) // without an outage a missing entry is gone at once
}

func state(inner, dc string, weight float64) nodeState {
	return nodeState{Node: inner, Inner: inner, Callers: "c" + inner, DataCentre: dc, Ready: true, Weight: weight}
}

// The hub carries the news of its data centre: it is a node with a large link,
// the same for all, and another one as soon as it is not reached.
func TestHubIsLargeAndReplaced(t *testing.T) {
	is := is.New(t)
	m := newMembers(zap.NewNop())
	m.setSelf(state("n1", "a", 1))
	m.applyRosters([]news.Row{{Key: "h", Data: encode(t, []nodeState{state("n2", "a", 1), state("n3", "a", 9), state("n4", "a", 9), state("m1", "b", 1)})}}, start)
	hub := m.hubs(start)["a"]
	is.True(hub == "n3" || hub == "n4")
	is.Equal(m.hubs(start)["b"], "m1")
	m.failed(hub, start)
	next := m.hubs(start)["a"]
	is.True(next != hub && (next == "n3" || next == "n4"))
	m.failed(next, start)
	is.True(m.hubs(start)["a"] != hub)
	is.Equal(m.hubs(start.Add(reachFailure + time.Second))["a"], hub)
}

// A data centre whose hub fell silent counts as gone until another hub tells
// of it; a stopping node is known as such although an older list says ready.
func TestMembersFallSilent(t *testing.T) {
	is := is.New(t)
	m := newMembers(zap.NewNop())
	m.setSelf(state("n1", "a", 1))
	m.applyRosters([]news.Row{{Key: "h", Data: encode(t, []nodeState{state("m1", "b", 1), state("m2", "b", 1)})}}, start)
	is.Equal(m.count(), 3)
	stopping := state("m2", "b", 1)
	stopping.Stopping = true
	m.applyBeats([]news.Row{{Key: "m2", Data: encode(t, beat{nodeState: stopping})}}, start)
	for _, s := range m.alive() {
		is.Equal(s.Stopping, s.Inner == "m2")
	}
	m.applyPulses([]news.Row{{Key: "h"}}, start.Add(2*time.Second))
	m.prune(start.Add(hubDeadAfter + time.Second))
	is.Equal(m.count(), 3) // the beat is gone, the list stands by its pulse
	m.prune(start.Add(2*time.Second + hubDeadAfter + time.Second))
	is.Equal(m.count(), 1)
}

// Callers choose among the addresses at random, so large nodes are told more
// often, and no answer lacks a second choice.
func TestAddressesByWeight(t *testing.T) {
	is := is.New(t)
	var nodes []nodeState
	for i := range 10 {
		nodes = append(nodes, state("small"+strconv.Itoa(i), "a", 1))
	}
	nodes = append(nodes, state("large", "a", 10))
	told := map[string]int{}
	next := rand.New(rand.NewPCG(1, 2)).Float64
	for range 1000 {
		list := drawAddresses(nodes, next)
		is.True(len(list) >= directoryLeast)
		for _, a := range list {
			told[a]++
		}
	}
	is.Equal(told["clarge"], 1000)
	for i := range 10 {
		is.True(told["csmall"+strconv.Itoa(i)] < 500)
	}
}

// While a whole fleet starts, each node takes itself for a hub; those that others
// look for read the store, the rest stand by. A node that starts alone reads at
// once where it is first.
func TestStartingFleetLeavesReadingToItsSeeds(t *testing.T) {
	is := is.New(t)
	place := func(ip string, first bool, age time.Duration) int {
		s := Settings{IP: ip, DataCentre: "a", Seeds: []string{"10.0.0.1"}, FirstStart: first}
		n := &Node{o: Options{Settings: s}, inner: ip, started: time.Now().Add(-age), members: newMembers(zap.NewNop())}
		n.members.setSelf(nodeState{Inner: ip, DataCentre: "a", Weight: 1})
		n.members.applyRosters([]news.Row{{Key: "h", Data: encode(t, []nodeState{{Inner: "z", DataCentre: "a"}})}}, time.Now())
		return n.readerTurn()
	}
	is.Equal(place("10.0.0.1", true, time.Second), 0)
	is.Equal(place("10.0.0.2", true, time.Second), 1)
	is.Equal(place("10.0.0.2", true, meetTime+time.Second), 0)
	is.Equal(place("10.0.0.2", false, time.Second), 0)
}

// fakeStore counts calls and fails while it is down.
type fakeStore struct {
	calls atomic.Int32
	down  bool
}

func (f *fakeStore) Read(context.Context, string) ([]news.Row, uint64, error) {
	f.calls.Add(1)
	if f.down {
		return nil, 0, errors.New("down")
	}
	return nil, 1, nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) ([]news.Row, uint64, error) {
	f.calls.Add(1)
	if f.down {
		return nil, 0, errors.New("down")
	}
	loop.Sleep(ctx, wait)
	return nil, 1, nil
}

func (*fakeStore) Write(context.Context, string, string, uint64, []byte) (bool, error) {
	return true, nil
}

func (*fakeStore) Remove(context.Context, string, string) error { return nil }

func (*fakeStore) Clock() (time.Duration, bool) { return 0, false }

// One node reads the store for all; a standby reads only once it hears nothing
// of the store any more.
func TestStandbyReadsWhenNewsAreStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{}
		r := newReader(store, news.NewMap(nil), telemetry.NewForwardMetrics(), func() int { return 1 }, zap.NewNop())
		r.observeAge(0)
		ctx, cancel := context.WithCancel(t.Context())
		go r.follow(ctx, "o", operatorWait, 0, true)
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			r.observeAge(100 * time.Millisecond) // the reader's news arrive
		}
		is.Equal(store.calls.Load(), int32(0))
		time.Sleep(staleAfter + standbyStep + 2*idlePause)
		is.True(store.calls.Load() > 0)
		cancel()
		synctest.Wait()
	})
}

// While the store is down its reader asks about three times a second, a
// standby far less, and none for tables other than the operator's.
func TestOutageIsNoStorm(t *testing.T) {
	for _, c := range []struct {
		name    string
		turn    int
		current bool
		most    int32
	}{{"reader", 0, true, 40}, {"standby", 3, true, 14}, {"other table", 0, false, 1}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &fakeStore{down: true}
				r := newReader(store, news.NewMap(nil), telemetry.NewForwardMetrics(), func() int { return c.turn }, zap.NewNop())
				r.observeAge(0)
				ctx, cancel := context.WithCancel(t.Context())
				go r.follow(ctx, "o", operatorWait, 0, c.current)
				time.Sleep(10 * time.Second)
				is.True(store.calls.Load() >= 1)
				is.True(store.calls.Load() <= c.most)
				is.True(r.age() >= 10*time.Second)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// A node that joins late learns of data centres whose rosters have not changed
// for longer than soft rows are kept.
func TestRostersAreToldAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &Node{prefixes: prefix.New(), o: Options{Log: zap.NewNop(), Schema: testSchema{}}, key: "n1", inner: "n1", members: newMembers(zap.NewNop()), pool: pool.New(), config: &config{}}
		n.settings.Store(&Settings{Node: "n1", DataCentre: "a"})
		n.rows = news.NewMap(nil)
		for range int(150 * time.Second / beatInterval) {
			n.beat()
			old := uint64(time.Now().Add(-forgetAfter).UnixMilli())
			n.rows.Forget(tableRosters, func(r news.Row) bool { return r.Version > old })
			time.Sleep(beatInterval)
		}
		_, ok := n.rows.Get(tableRosters, "n1")
		is.True(ok)
	})
}

// Entries may lapse only while nobody hears of the store. A node that the store
// refuses alone must drop a server that left as soon as the others.
func TestRefusedNodeSeesNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReader(&fakeStore{down: true}, news.NewMap(nil), telemetry.NewForwardMetrics(), func() int { return 0 }, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		go r.follow(ctx, "o", operatorWait, 0, true)
		for range 20 {
			r.observeAge(200 * time.Millisecond) // another node's news
			time.Sleep(pruneInterval)
			r.noteOutage()
		}
		is.Equal(r.sinceOutage(), time.Hour)
		time.Sleep(outageAge + pruneInterval)
		r.noteOutage()
		is.True(r.sinceOutage() < time.Second)
		cancel()
		synctest.Wait()
	})
}

// A suspicion that one node clears is cleared at the others.
func TestClearedSuspicionIsTold(t *testing.T) {
	is := is.New(t)
	var told []news.Row
	rows := news.NewMap(func(r []news.Row) { told = append(told, r...) })
	a := &suspects{Suspects: dispatch.NewSuspectsAfter(2), self: "a", rows: rows, log: zap.NewNop(), next: counter()}
	b := &suspects{Suspects: dispatch.NewSuspectsAfter(2), self: "b", rows: news.NewMap(nil), log: zap.NewNop(), next: counter()}
	a.Crashed(7, "s1", start)
	a.Cleared(7, start)
	a.Crashed(7, "s2", start)
	b.apply(told, start)
	is.True(b.Suspected(7, start))
	is.True(!b.Convicted(7, start)) // one crash since it ran to its end
	a.Crashed(7, "s3", start)
	b.apply(told, start)
	is.True(b.Convicted(7, start))
}
