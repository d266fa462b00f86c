package edge

import (
	"context"
	"fmt"
	"net"
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

// Guards against an allowance for retries that each part of a divided fleet takes whole:
// nodes that lost contact may be retrying as well, so they share it.
func TestRetryAllowanceHoldsInDividedFleet(t *testing.T) {
	is := is.New(t)
	const size, allowance = 6, 60.0
	var nodes []*Node
	var all []nodeState
	for i := range size {
		inner := fmt.Sprint("n", i)
		all = append(all, nodeState{Node: inner, Inner: inner, DataCentre: fmt.Sprint("dc", i/3), GrantsPermits: true})
		n := &Node{options: Options{Log: zap.NewNop()}, innerAddress: inner, members: newMembers(zap.NewNop()), permits: newPermits(inner, time.Now(), zap.NewNop())}
		n.settings.Store(&Settings{RetryAllowance: allowance, RetryWindow: 10 * time.Second})
		n.reader = newReader(&fakeStore{}, gossip.NewMap(nil), telemetry.NewForwardMetrics(), func() int { return 1 }, zap.NewNop())
		n.members.setSelf(all[i])
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
// permitTimeout, the next ones are refused at once for a while.
func TestSilentCoordinatorIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	p := newPermits("127.0.0.1:1", startTime, zap.NewNop())
	// No node listens at this address.
	p.roster.Update([]permit.Node{{Address: "127.0.0.1:2", IsEligible: true}}, true, startTime)
	for range 3 {
		began := time.Now()
		reply := p.Acquire(context.Background(), permit.Request{Service: "s", Servers: []permit.Server{{ID: "x", Limit: 1}}})
		is.Equal(reply.Granted, 0)
		is.True(reply.RetryAfter > 0)
		is.True(time.Since(began) < 2*permitTimeout)
	}
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
