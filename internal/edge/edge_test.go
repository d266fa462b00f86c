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
	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/pool"
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

func newTestRollouts(t *testing.T) (*rollouts, *sessions) {
	t.Helper()
	s := newSessions(news.NewMap(nil), counter(), zap.NewNop())
	r := newRollouts(testSchema{}, s, func() *Settings { return &Settings{SessionLife: 5 * time.Second, ExposureRatio: 0.15} }, zap.NewNop())
	return r, s
}

func order(t *testing.T, version uint64) news.Row {
	return news.Row{Table: "o", Key: "r/x", Version: version, Data: encode(t, RolloutOrder{Service: "x", To: "v2", Duration: 20 * time.Second})}
}

func status(t *testing.T, version uint64, s RolloutState) news.Row {
	return news.Row{Table: "st", Key: "r/x", Version: version, Data: encode(t, RolloutStatus{State: s, To: "v2"})}
}

// sessionAt returns a session that moves once the new version's share of
// sessions reaches most.
func sessionAt(most float64) string {
	for i := 0; ; i++ {
		if s := "s" + strconv.Itoa(i); sessionPoint("x", s) < most {
			return s
		}
	}
}

// canarySession returns a session that the canary of the tests' roll-outs gets.
func canarySession() string { return sessionAt(newSchedule(exposureBound, 20*time.Second).canary) }

// In the first half of a roll-out a session under way keeps its version, a
// new one in the canary's share moves; later all move, and none comes back.
func TestSessionsKeepTheirVersion(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	session := canarySession()
	r.apply([]news.Row{order(t, 1)}, start)
	r.Observe("x", "v1", forward.Observation{Session: session}, start)
	is.Equal(r.Pick("x", session, start.Add(time.Second)), forward.Choice{Except: "v2"})
	is.Equal(r.Pick("x", session, start.Add(7*time.Second)).Prefer, "v2") // it had ended
	r.Observe("x", "v2", forward.Observation{Session: session}, start.Add(7*time.Second))
	is.Equal(r.Pick("x", session, start.Add(9*time.Second)), forward.Choice{Prefer: "v2", Share: newSchedule(exposureBound, 20*time.Second).canary})
	others := 0
	for i := range 1000 {
		if r.Pick("x", "o"+strconv.Itoa(i), start.Add(9*time.Second)).Prefer == "v2" {
			others++
		}
	}
	is.True(others > 25 && others < 75) // the canary's share
	late := sessionAt(0.9)
	is.Equal(r.Pick("x", late, start.Add(18500*time.Millisecond)).Prefer, "v2")
	r.apply([]news.Row{status(t, 2, RolloutCompleted)}, start)
	is.Equal(r.Pick("x", "any", start.Add(19*time.Second)), forward.Choice{Only: "v2"})
}

// The session's version is known to nodes that did not serve it.
func TestSessionsAreShared(t *testing.T) {
	is := is.New(t)
	r, s := newTestRollouts(t)
	session := canarySession()
	r.apply([]news.Row{order(t, 1)}, start)
	s.apply([]news.Row{{Table: tableSessions, Key: "x/" + session, Version: 1, Data: encode(t, sessionUse{Version: "v1"})}}, start)
	is.Equal(r.Pick("x", session, start.Add(time.Second)), forward.Choice{Except: "v2"})
}

// A bad version is found from what all nodes saw, takes no request from then
// on, and its status is due; a good one with some failures is not.
func TestBadVersionIsFound(t *testing.T) {
	for _, c := range []struct {
		name    string
		newGood int
		newBad  int
		bad     bool
	}{{"half fails", 1, 1, true}, {"as the old one", 19, 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, _ := newTestRollouts(t)
			r.apply([]news.Row{order(t, 1)}, start)
			var seen comparison
			found := 0
			for range 30 {
				seen = seen.plus(comparison{outcomes{Good: 19, Failed: 1}, outcomes{Good: c.newGood, Failed: c.newBad}})
				if r.evaluate("x", 1, map[string]comparison{"route": seen}, start) {
					found = seen.New.Good + seen.New.Failed
				}
			}
			is.Equal(found > 0, c.bad)
			if c.bad {
				is.True(found <= 30) // few answers suffice
				is.Equal(r.Pick("x", canarySession(), start), forward.Choice{Except: "v2"})
				due := r.pendingStatuses(start.Add(time.Second))[0]
				is.Equal(due.status.State, RolloutReverted)
				is.Equal(due.late, time.Second) // one node writes it, others stand by
			}
		})
	}
}

// Slow answers of a new version count against it, a slow start of caches does
// not.
func TestSlowVersionCounts(t *testing.T) {
	is := is.New(t)
	tl := newTally()
	for range 50 {
		tl.add("x", false, forward.Observation{Latency: 200 * time.Millisecond, Route: "r"})
	}
	tl.add("x", true, forward.Observation{Latency: 600 * time.Millisecond, Route: "r"})
	tl.add("x", true, forward.Observation{Latency: 1600 * time.Millisecond, Route: "r"})
	is.Equal(tl.services["x"].Routes["r"].New, outcomes{Good: 1, Slow: 1})
}

// A good version is completed in time, and only once; a newer order begins
// anew.
func TestStatusesThatAreDue(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	r.apply([]news.Row{order(t, 1)}, start)
	is.Equal(r.pendingStatuses(start)[0].status.State, RolloutRunning)
	r.apply([]news.Row{status(t, 2, RolloutRunning)}, start)
	is.Equal(len(r.pendingStatuses(start.Add(time.Second))), 0)
	d := r.pendingStatuses(start.Add(19 * time.Second))
	is.Equal(d[0].status.State, RolloutCompleted)
	is.Equal(d[0].expected, uint64(2))
	// Other nodes have their turn before the time is over: the store may refuse
	// the first.
	is.True(start.Add(19*time.Second - d[0].late).Add((writers - 1) * standInFor(d[0].left)).Before(start.Add(20 * time.Second)))
	r.apply([]news.Row{status(t, 3, RolloutCompleted)}, start)
	is.Equal(len(r.pendingStatuses(start.Add(19500*time.Millisecond))), 0)
	r.apply([]news.Row{order(t, 4)}, start.Add(30*time.Second))
	is.Equal(r.pendingStatuses(start.Add(30 * time.Second))[0].status.State, RolloutRunning)
}

// A node that starts in the middle of a roll-out takes its stage from others.
func TestStageIsAdopted(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	r.apply([]news.Row{order(t, 1)}, start)
	e := &evidence{rows: news.NewMap(nil), next: counter(), log: zap.NewNop(), seen: map[string]counts{}}
	e.apply([]news.Row{{Key: "x/other", Data: encode(t, counts{Order: 1, ElapsedMS: 18500, Routes: map[string]comparison{"r": {New: outcomes{Good: 3}}}})}}, r, start)
	is.Equal(r.Pick("x", sessionAt(0.9), start).Prefer, "v2")
	is.Equal(e.totals("x", 1)["r"].New.Good, 3)
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

// A node that did not see enough itself takes the verdict of another one, of the
// same order only: the version may have been mended and ordered again.
func TestVerdictIsShared(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	r.apply([]news.Row{order(t, 9)}, start)
	e := &evidence{rows: news.NewMap(nil), next: counter(), log: zap.NewNop(), seen: map[string]counts{}}
	e.apply([]news.Row{{Key: "x/other", Data: encode(t, counts{Order: 4, Bad: true})}}, r, start)
	is.Equal(r.pendingStatuses(start.Add(19 * time.Second))[0].status.State, RolloutCompleted)
	e.apply([]news.Row{{Key: "x/other", Data: encode(t, counts{Order: 9, Bad: true})}}, r, start)
	is.Equal(r.pendingStatuses(start.Add(19 * time.Second))[0].status.State, RolloutReverted)
	is.Equal(r.Pick("x", canarySession(), start), forward.Choice{Except: "v2"})
}

// When all nodes are lost at once, the roll-out goes on where it was, by the
// store's clock; a start of an older order says nothing.
func TestRollOutGoesOnAfterTheLossOfAllNodes(t *testing.T) {
	is := is.New(t)
	before, _ := newTestRollouts(t)
	before.apply([]news.Row{order(t, 5)}, start)
	kept := before.start("x", time.Hour+4*time.Second, start.Add(4*time.Second))
	is.Equal(kept.StartedMS, time.Hour.Milliseconds())
	rows := []news.Row{{Key: prefixStart + "x", Version: 6, Data: encode(t, kept)}, {Key: prefixMember + "n", Version: 7}}

	restarted := start.Add(12 * time.Second)
	after, _ := newTestRollouts(t)
	after.apply([]news.Row{order(t, 5)}, restarted)
	after.applyStarts(rows)
	after.resume(time.Hour+12*time.Second, restarted)
	is.Equal(after.release("x").elapsed(restarted), 0.6)

	newer, _ := newTestRollouts(t)
	newer.apply([]news.Row{order(t, 9)}, restarted)
	newer.applyStarts(rows)
	newer.resume(time.Hour+12*time.Second, restarted)
	is.Equal(newer.release("x").elapsed(restarted), 0.0)
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
		n := &Node{o: Options{Log: zap.NewNop(), Schema: testSchema{}}, key: "n1", inner: "n1", members: newMembers(zap.NewNop()), pool: pool.New(), config: &config{}}
		n.settings.Store(&Settings{Node: "n1", DataCentre: "a"})
		n.rows = news.NewMap(nil)
		for range 300 {
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
