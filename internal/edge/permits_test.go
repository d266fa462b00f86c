package edge

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// newRosterNode returns a node with the parts that track the fleet, not running.
func newRosterNode(s nodeState, store gossip.Store) *Node {
	n := &Node{options: Options{Settings: Settings{Node: s.Node, DataCentre: s.DataCentre}, Store: store, Log: zap.NewNop()}, innerAddress: s.Inner, rows: gossip.NewMap(nil), members: newMembers(zap.NewNop()), permits: newPermits(s.Inner, time.Now(), zap.NewNop())}
	n.reader = newReader(store, n.rows, telemetry.NewForwardMetrics(), unranked, n.readerTurn, zap.NewNop())
	n.members.setSelf(s)
	return n
}

// Guards against an allowance for retries that each partitionition of the fleet takes whole:
// nodes that lost contact may be retrying as well, so they share it.
func TestRetryAllowanceHoldsInDividedFleet(t *testing.T) {
	is := is.New(t)
	const size, allowance = 6, 60.0
	var nodes []*Node
	var all []nodeState
	for i := range size {
		inner := fmt.Sprint("n", i)
		all = append(all, nodeState{Node: inner, Inner: inner, DataCentre: fmt.Sprint("dc", i/3), GrantsPermits: true})
		n := newRosterNode(all[i], &fakeStore{})
		n.settings.Store(&Settings{RetryAllowance: allowance, RetryWindow: 10 * time.Second})
		nodes = append(nodes, n)
	}
	retries := 0
	for i, n := range nodes {
		for k := range 2 {
			list := all[k*3 : k*3+3]
			n.members.applyMemberLists([]gossip.Row{{Key: fmt.Sprint("hub", k), Data: encode(t, list)}}, time.Now())
		}
		n.updateRoster()
		n.members.applyHubHeartbeats([]gossip.Row{{Key: fmt.Sprint("hub", i/3)}}, time.Now().Add(time.Hour))
		n.members.prune(time.Now().Add(time.Hour)) // the other data centre is lost
		is.Equal(n.members.count(), 3)
		n.updateRoster()
		budget := forward.NewBudget(n.retryBounds, n.fleetSize)
		for budget.TryReserve("s", time.Now()) {
			retries++
		}
	}
	is.True(float64(retries) <= allowance)
	is.True(float64(retries) > 0.7*allowance)
}

// A coordinator that does not answer must not hold up requests: one waits for
// permitTimeout, the next ones are refused at once for a while. If it keeps silent, callers
// are told when another node will grant.
func TestSilentCoordinatorIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connection, but the system does
	is.NoErr(err)
	defer l.Close()
	p := newPermits("127.0.0.1:1", startTime, zap.NewNop())
	p.roster.Update([]permit.Node{{Address: l.Addr().String(), IsEligible: true}}, true, startTime)
	acquire := func() (permit.Reply, time.Duration) {
		began := time.Now()
		reply := p.Acquire(context.Background(), permit.Request{Service: "s", Servers: []permit.Server{{ID: "x", Limit: 1}}})
		is.Equal(reply.Granted, 0)
		return reply, time.Since(began)
	}
	reply, took := acquire()
	is.True(took >= permitTimeout-10*time.Millisecond)
	is.Equal(reply.RetryAfter, permitBackoff)
	for range 3 {
		_, took = acquire()
		is.True(took < permitTimeout/2)
	}
	time.Sleep(permitBackoff)
	reply, _ = acquire()
	is.True(reply.RetryAfter > coordinatorLossTime-2*time.Second)
}

// The limits in force must reach nodes that join long after they were named: their rows
// are published again before they expire, and those of ended limits are not.
func TestLimitsInForceAreRefreshed(t *testing.T) {
	is := is.New(t)
	rows, p, version := gossip.NewMap(nil), pool.New(), uint64(startTime.UnixMilli())
	l := &serverLimits{pool: p, rows: rows, nextVersion: func() uint64 { return version }, log: zap.NewNop()}
	list := []pool.Server{{ID: "x", Service: "s"}, {ID: "y", Service: "s"}}
	p.Update(list, startTime)
	p.SetLimit("x", 0, 3, startTime)
	l.publish(list[0], 3)
	l.publish(list[1], permit.NoLimit)
	l.refresh(startTime.Add(time.Minute))
	at := startTime.Add(softTableTTLs[tableLimits] - time.Minute)
	version = uint64(at.UnixMilli())
	for _, r := range rows.List(tableLimits) {
		is.True(r.Version < version)
	}
	l.refresh(at)
	refreshed := 0
	for _, r := range rows.List(tableLimits) {
		if r.Version >= version {
			refreshed++
			is.Equal(string(r.Data), `{"server":"x","started":0,"limit":3}`)
		}
	}
	is.Equal(refreshed, 1)
}

// A node that misses others writes to the store which nodes it sees, and a node of another
// partition learns from that row, and from registered nodes, that they may run.
func TestPresenceIsWrittenAndRead(t *testing.T) {
	is := is.New(t)
	store := newMemStore()
	n := newRosterNode(nodeState{Node: "n0", Inner: "n0", DataCentre: "a", GrantsPermits: true}, store)
	n.updateRoster()
	n.publishPresence(t.Context())
	rows, _, err := store.Read(t.Context(), tableSystem)
	is.NoErr(err)
	is.Equal(len(rows), 0) // no node is missing
	n.applyPresence([]gossip.Row{{Table: tableSystem, Key: memberKeyPrefix + "n1", Data: encode(t, memberRow{Inner: "n1"})}}, time.Now())
	is.Equal(n.fleetSize(), 2)
	n.publishPresence(t.Context())
	rows, _, err = store.Read(t.Context(), tableSystem)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	other := newRosterNode(nodeState{Node: "n9", Inner: "n9", DataCentre: "b"}, store)
	other.updateRoster()
	other.applyPresence(rows, time.Now())
	is.Equal(other.fleetSize(), 2) // itself and n0
	other.applyPresence([]gossip.Row{{Table: tableSystem, Key: presenceKeyPrefix + "n5", Data: []byte("no list")}}, time.Now())
	is.Equal(other.fleetSize(), 2)
}

// Nodes that the settings name may be running before they were met.
func TestSeedsCountUntilTheyAreMet(t *testing.T) {
	is := is.New(t)
	_, port, err := net.SplitHostPort(freeAddress(t))
	is.NoErr(err)
	inner, err := strconv.Atoi(port)
	is.NoErr(err)
	n, err := New(Options{
		Settings: Settings{Node: "n0", IP: "127.0.0.1", InnerPort: inner, Callers: freeAddress(t), Seeds: []string{"127.0.0.1", "127.0.2.1", "127.0.2.2"}},
		Schema:   testSchema{}, Store: &fakeStore{}, Log: zap.NewNop(), Metrics: telemetry.NewForwardMetrics(), ReadyPath: "/ready", DirectoryPath: "/directory",
	})
	is.NoErr(err)
	for _, l := range n.listeners {
		defer l.Close()
	}
	is.Equal(n.fleetSize(), 3)
}

// recordingCoordinator records what it is asked.
type recordingCoordinator struct{ asked chan permit.Request }

// Acquire is the RPC method of a coordinator.
func (c recordingCoordinator) Acquire(q permit.Request, reply *permit.Reply) error {
	c.asked <- q
	*reply = permit.Reply{Granted: 1, IsCoordinator: true}
	return nil
}

// A node tells the coordinator which part of the limits it leaves to nodes that may be cut
// off, as the coordinator may not know of them.
func TestAskTellsWhatNodeLeavesToOthers(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c := recordingCoordinator{make(chan permit.Request, 1)}
	e := gossip.NewExchange(1, gossip.NewMap(nil), func() time.Duration { return 0 }, func(time.Duration) {})
	is.NoErr(e.Register(permitService, c))
	go func() { _ = e.Serve(l) }()
	p := newPermits("127.0.0.1:1", time.Now(), zap.NewNop())
	p.roster.ObserveRegistered("lost", time.Now())
	p.roster.Update([]permit.Node{{Address: "127.0.0.1:1"}, {Address: l.Addr().String(), IsEligible: true}}, true, time.Now())
	is.Equal(p.Acquire(t.Context(), permit.Request{Servers: []permit.Server{{ID: "x", Limit: 1}}}).Granted, 1)
	q := <-c.asked
	is.True(q.Withheld > 0.3 && q.Withheld < 0.4) // one of three
}

// All nodes publish a server's limit under one key although their clocks differ: the
// newest observation must win.
func TestLimitOfNodeWithSlowClockIsPublished(t *testing.T) {
	is := is.New(t)
	rows := gossip.NewMap(nil)
	s := pool.Server{ID: "x"}
	(&serverLimits{rows: rows, nextVersion: func() uint64 { return 9000 }, log: zap.NewNop()}).publish(s, 5)
	(&serverLimits{rows: rows, nextVersion: func() uint64 { return 100 }, log: zap.NewNop()}).publish(s, 2)
	list := rows.List(tableLimits)
	is.Equal(len(list), 1)
	is.Equal(string(list[0].Data), `{"server":"x","started":0,"limit":2}`)
}

// Measures what an ask costs both ends together, with nine servers that all have limits.
func BenchmarkPermitAsk(b *testing.B) {
	is := is.New(b)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	address := l.Addr().String()
	const age = 5 * time.Second
	start := time.Now().Add(-age)
	coordinator, asking := newPermits(address, start, zap.NewNop()), newPermits("127.0.0.1:1", start, zap.NewNop())
	e := gossip.NewExchange(1, gossip.NewMap(nil), func() time.Duration { return 0 }, func(time.Duration) {})
	is.NoErr(e.Register(permitService, PermitService{coordinator}))
	go func() { _ = e.Serve(l) }()
	for at := time.Duration(0); at <= age; at += heartbeatInterval {
		for _, p := range []*permits{coordinator, asking} {
			p.roster.Update([]permit.Node{{Address: address, IsEligible: true}}, true, start.Add(at))
		}
	}
	share, _ := coordinator.roster.Share(time.Now())
	is.Equal(share, 1.0)
	q := permit.Request{Service: "s", IsLast: true, Organisation: "org", TimeLeft: time.Second}
	for i := range 9 {
		q.Servers = append(q.Servers, permit.Server{ID: fmt.Sprint("i-0123456789", i), Started: 1764864000000, Limit: 1.3})
	}
	b.ResetTimer()
	for range b.N {
		_ = asking.Acquire(context.Background(), q)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "us/ask")
}
