package edge

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// inEra returns the row in another era of the store.
func inEra(r gossip.Row, era uint64) gossip.Row {
	r.Era = era
	return r
}

// A copy of the store holds an older configuration than the one in force: it must not come
// back. The operator may give a number again that the store has lost.
func TestOlderConfigurationOfRestoredStoreIsNotTaken(t *testing.T) {
	is := is.New(t)
	n := &Node{options: Options{Schema: testSchema{}, Log: zap.NewNop()}}
	c := &config{schema: testSchema{}, log: zap.NewNop()}
	rows := gossip.NewMap(func(rows []gossip.Row) {
		for _, r := range rows {
			c.apply(r)
		}
	})
	replace := func(data string, at gossip.Revision) {
		r := gossip.Row{Table: "o", Key: "c", Era: at.Era, Version: at.Version, Data: []byte(data)}
		r.Rank = n.rank(r)
		rows.Replace("o", []gossip.Row{r}, at)
	}
	for _, step := range []struct {
		data         string
		era, version uint64
		want         int64
	}{{"11", 1, 27, 11}, {"8", 2, 26, 11}, {"nonsense", 2, 27, 11}, {"11", 2, 28, 11}, {"14", 2, 29, 14}, {"8", 3, 20, 14}, {"15", 3, 21, 15}} {
		replace(step.data, gossip.Revision{Era: step.era, Version: step.version})
		is.Equal(c.table.Load().Version, step.want)
		r, _ := rows.Get("o", "c")
		is.Equal(string(r.Data), strconv.FormatInt(step.want, 10)) // what nodes that start are told
		is.Equal(rows.Cursor("o"), gossip.Revision{Era: step.era, Version: step.version})
	}
	r, _ := rows.Get("o", "c")
	is.Equal(string(r.Data), "15")
}

// A server that drained or left after the copy was made is ready again in it. No request
// may go there, unless the server itself says that it is back.
func TestServersThatLeftDoNotReturnWithTheCopy(t *testing.T) {
	is := is.New(t)
	p := pool.New()
	s := newServers(testSchema{}, p, gossip.NewMap(nil), func() time.Duration { return time.Hour }, zap.NewNop())
	var announced []string
	s.onStale = func(x pool.Server) { announced = append(announced, x.ID) }
	entry := func(id string, era, version uint64, draining bool, started int64) gossip.Row {
		return gossip.Row{Table: "s", Key: id, Era: era, Version: version, Data: encode(t, pool.Server{Service: "x", Slots: 1, Draining: draining, Started: started})}
	}
	s.apply([]gossip.Row{entry("drains", 1, 1, false, 7), entry("left", 1, 2, false, 7), entry("back", 1, 3, false, 7), entry("anew", 1, 4, false, 7), entry("stays", 1, 5, false, 7)}, startTime)
	s.apply([]gossip.Row{entry("drains", 1, 6, true, 7), {Table: "s", Key: "left", Era: 1, Version: 7, Deleted: true}, {Table: "s", Key: "back", Era: 1, Version: 8, Deleted: true}, {Table: "s", Key: "anew", Era: 1, Version: 9, Deleted: true}}, startTime)
	restored := startTime.Add(5 * time.Second)
	s.apply([]gossip.Row{entry("drains", 2, 1, false, 7), entry("left", 2, 2, false, 7), entry("back", 2, 3, false, 7), entry("anew", 2, 8, false, 9), entry("stays", 2, 5, false, 7)}, restored)
	is.True(s.entries["drains"].Draining)
	is.Equal(announced, []string{"drains"}) // for nodes that know only the copy
	is.True(p.Member("left") == nil)
	is.True(p.Member("back") == nil)
	is.True(p.Member("anew") != nil) // another start
	is.True(!s.entries["stays"].Draining)
	s.apply([]gossip.Row{entry("back", 2, 9, false, 7)}, restored.Add(time.Second))
	is.True(p.Member("back") != nil) // it has written itself again
	s.dropExpired(restored.Add(restoreSettleTime - time.Millisecond))
	is.True(p.Member("left") == nil)
	s.dropExpired(restored.Add(restoreSettleTime + time.Millisecond))
	is.True(p.Member("left") != nil) // the store removes the entries of servers that are gone by then
}

// A server that joined after the copy was made is missing in it until it has written itself
// again, however short the outage was.
func TestServersMissingInTheCopyAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	p := pool.New()
	s := newServers(testSchema{}, p, gossip.NewMap(nil), func() time.Duration { return time.Hour }, zap.NewNop())
	entry := gossip.Row{Table: "s", Key: "a", Era: 1, Version: 9, Data: encode(t, pool.Server{Service: "x", Slots: 1})}
	s.apply([]gossip.Row{entry}, startTime)
	s.apply([]gossip.Row{{Table: "s", Key: "a", Era: 2, Version: 4, Deleted: true, Lost: true}}, startTime)
	s.dropExpired(startTime.Add(expiryGrace - time.Millisecond))
	is.True(p.Member("a") != nil)
	s.dropExpired(startTime.Add(expiryGrace + time.Millisecond))
	is.True(p.Member("a") == nil)
	again := inEra(entry, 2)
	again.Version = 5
	s.apply([]gossip.Row{again}, startTime.Add(2500*time.Millisecond))
	is.True(p.Member("a") != nil)
}

// The decision on a roll-out is kept and stored again if the restored store lacks it or
// holds an earlier one, once the store has the order.
func TestLostDecisionIsStoredAgain(t *testing.T) {
	for _, state := range []RolloutState{RolloutCompleted, RolloutReverted} {
		for _, copied := range []string{"running", "none"} {
			is := is.New(t)
			r, _ := newTestRollouts(t)
			r.apply([]gossip.Row{inEra(orderRow(t, 10), 1), inEra(statusRow(t, 12, RolloutRunning), 1)}, startTime)
			r.apply([]gossip.Row{inEra(statusRow(t, 20, state), 1)}, startTime.Add(10*time.Second))
			is.Equal(len(r.pendingStatuses(startTime.Add(11*time.Second))), 0)
			restored := startTime.Add(12 * time.Second)
			expected := gossip.Revision{Era: 2, Version: 12}
			if copied == "running" {
				r.apply([]gossip.Row{inEra(statusRow(t, 12, RolloutRunning), 2)}, restored)
			} else {
				r.apply([]gossip.Row{{Table: "st", Key: "r/x", Era: 2, Version: 15, Deleted: true, Lost: true}}, restored)
				expected.Version = 0
			}
			is.Equal(len(r.pendingStatuses(restored)), 0) // the store may lack the order
			r.apply([]gossip.Row{inEra(orderRow(t, 13), 2)}, restored)
			d := r.pendingStatuses(restored)
			is.Equal(len(d), 1)
			is.Equal(d[0].status, RolloutStatus{State: state, To: "v2"})
			is.Equal(d[0].expected, expected)
			is.True(d[0].overdue < standbyDelay(d[0].remaining)) // one node writes, the others stand by
			r.apply([]gossip.Row{inEra(statusRow(t, 16, state), 2)}, restored.Add(time.Second))
			is.Equal(len(r.pendingStatuses(restored.Add(time.Second))), 0)
			is.Equal(r.ensureRollout("x").state(), state)
		}
	}
}

// A roll-out goes on where it was when the store has its order again. An order of the copy
// that was replaced since must not bring an earlier version back.
func TestRolloutGoesOnInRestoredStore(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	earlier := gossip.Row{Table: "o", Key: "r/x", Era: 2, Version: 5, Data: encode(t, RolloutOrder{Service: "x", To: "v1", Duration: 20 * time.Second})}
	r.apply([]gossip.Row{inEra(earlier, 1)}, startTime.Add(-time.Minute))
	r.apply([]gossip.Row{inEra(orderRow(t, 10), 1), inEra(statusRow(t, 12, RolloutRunning), 1)}, startTime)
	restored := startTime.Add(10 * time.Second)
	r.apply([]gossip.Row{earlier}, restored)
	r.applyHeldOrders(restored.Add(time.Second))
	is.Equal(r.ensureRollout("x").order.To, "v2")
	r.apply([]gossip.Row{inEra(orderRow(t, 7), 2)}, restored.Add(time.Second)) // the operator writes it again
	r.applyHeldOrders(restored.Add(time.Minute))
	is.Equal(r.ensureRollout("x").order.To, "v2")
	is.Equal(r.ensureRollout("x").progress(startTime.Add(15*time.Second)), 0.75)
	is.Equal(r.running()["x"], gossip.Revision{Era: 2, Version: 7})
	r.apply([]gossip.Row{inEra(statusRow(t, 8, RolloutRunning), 2)}, restored.Add(time.Second))
	is.Equal(r.unstoredStarts(), []string{"x"}) // the stored start belongs to the order of the earlier era
	r.apply([]gossip.Row{inEra(orderRow(t, 9), 2)}, startTime.Add(30*time.Second))
	is.Equal(r.ensureRollout("x").progress(startTime.Add(30*time.Second)), 0.0) // a new order

	// A second restore before that time is over holds the earlier order off again.
	r, _ = newTestRollouts(t)
	r.apply([]gossip.Row{inEra(orderRow(t, 10), 1)}, startTime)
	r.apply([]gossip.Row{earlier}, restored)
	r.apply([]gossip.Row{inEra(earlier, 3)}, restored.Add(2*time.Second))
	is.Equal(r.ensureRollout("x").order.To, "v2")
	r.applyHeldOrders(restored.Add(2*time.Second + orderSettleTime - time.Millisecond))
	is.Equal(r.ensureRollout("x").order.To, "v2")

	// An order that the store still has some time later is the operator's.
	r, _ = newTestRollouts(t)
	r.apply([]gossip.Row{inEra(orderRow(t, 10), 1)}, startTime)
	r.apply([]gossip.Row{earlier}, restored)
	r.applyHeldOrders(restored.Add(orderSettleTime + time.Millisecond))
	is.Equal(r.ensureRollout("x").order.To, "v1")
}

// A quarantine that the store lost was lifted by nobody.
func TestLostQuarantineIsKept(t *testing.T) {
	is, now := is.New(t), startTime.Add(3*time.Second)
	s, _ := newTestSuspects("a")
	crashThrice(s, "p")
	e := s.Quarantined(now)[0]
	row := gossip.Row{Table: tableSystem, Key: quarantineKey(e), Era: 2, Version: 4, Deleted: true, Lost: true}
	s.applyStored([]gossip.Row{row}, now)
	is.True(s.IsQuarantined(9, []string{"p"}, now))
	row.Lost = false
	s.applyStored([]gossip.Row{row}, now)
	is.True(!s.IsQuarantined(9, []string{"p"}, now))
}

// compactedStore answers each watch that its history is gone, and never gets newer.
type compactedStore struct{ fakeStore }

func (s *compactedStore) Watch(context.Context, string, gossip.Revision, time.Duration) ([]gossip.Row, gossip.Revision, error) {
	s.calls.Add(1)
	return nil, gossip.Revision{}, gossip.ErrHistoryGone
}

// Guards against full reads in a loop: a read that brings nothing new is a failed call.
func TestFullReadsWithoutProgressBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &compactedStore{}
		r := newReader(store, gossip.NewMap(nil), telemetry.NewForwardMetrics(), unranked, func() int { return 0 }, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		go r.follow(ctx, "o", operatorWait, 0, true)
		time.Sleep(10 * time.Second)
		is.True(store.calls.Load() <= 2*40) // a watch and a read each
		cancel()
		synctest.Wait()
	})
}

// A seed that starts again must hear the others before it reads a store that may have been
// restored to an older configuration. A fleet that starts for the first time does not wait.
func TestRestartedSeedListensBeforeItReads(t *testing.T) {
	is := is.New(t)
	turn := func(firstStart bool, age time.Duration) int {
		n := &Node{options: Options{Settings: Settings{IP: "10.0.0.1", DataCentre: "a", Seeds: []string{"10.0.0.1", "10.0.0.2"}, FirstStart: firstStart}}, innerAddress: "10.0.0.1", startedAt: time.Now().Add(-age), members: newMembers(zap.NewNop())}
		n.members.setSelf(nodeState{Inner: "10.0.0.1", DataCentre: "a", Weight: 1})
		return n.readerTurn()
	}
	is.Equal(turn(true, 0), 0)
	is.Equal(turn(false, 0), 1)
	is.Equal(turn(false, bootstrapListenTime+time.Millisecond), 0)
}
