package edge

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// changingStore answers each watch at once, as it does while many nodes register.
type changingStore struct{ fakeStore }

func (s *changingStore) Watch(context.Context, string, gossip.Revision, time.Duration) ([]gossip.Row, gossip.Revision, error) {
	return nil, gossip.Revision{Version: uint64(s.calls.Add(1))}, nil
}

// Guards against calls that grow with the square of the nodes: after a loss of power each
// registration woke each node's watch of the system's table.
func TestRegistrationsDoNotWakeEachWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &changingStore{}
		r := newReader(store, gossip.NewMap(nil), telemetry.NewForwardMetrics(), unranked, func() int { return 0 }, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		tables := followedTables(testSchema{}.Tables())
		system := tables[len(tables)-1]
		is.Equal(system.name, tableSystem)
		go r.follow(ctx, system.name, system.wait, system.pause, system.tracksAge)
		time.Sleep(1900 * time.Millisecond)
		is.True(store.calls.Load() <= 3)
		cancel()
		synctest.Wait()
	})
}

// silentStore answers no call while it turns this node away, nor those that were open then.
type silentStore struct {
	*memStore
	isSilent atomic.Bool
}

func newSilentStore() *silentStore {
	s := &silentStore{memStore: newMemStore()}
	s.writeServer("first")
	return s
}

// Watch implements gossip.Store.
func (s *silentStore) Watch(ctx context.Context, table string, after gossip.Revision, wait time.Duration) ([]gossip.Row, gossip.Revision, error) {
	s.calls.Add(1)
	end := time.Now().Add(wait)
	for ctx.Err() == nil && !s.isSilent.Load() {
		if rows, version, err := s.changes(table, after.Version); len(rows) > 0 || !time.Now().Before(end) {
			return rows, version, err
		}
		loop.Sleep(ctx, 10*time.Millisecond)
	}
	loop.Sleep(ctx, time.Until(end)+600*time.Millisecond)
	return nil, gossip.Revision{}, context.DeadlineExceeded
}

// writeServer writes the row of a server.
func (s *silentStore) writeServer(key string) {
	_, _ = s.Write(context.Background(), testSchema{}.Tables().Servers, key, gossip.Revision{}, []byte("{}"))
}

// followTestTables starts a reader of the operator's and the servers' table with a turn.
func followTestTables(ctx context.Context, store *silentStore, turn int) *reader {
	rows := gossip.NewMap(nil)
	r := newReader(store, rows, telemetry.NewForwardMetrics(), unranked, func() int { return turn }, zap.NewNop())
	for _, f := range followedTables(testSchema{}.Tables())[:2] {
		_ = r.readTable(ctx, f.name)
		go r.follow(ctx, f.name, f.wait, f.pause, f.tracksAge)
	}
	r.observeAge(0)
	return r
}

func (r *reader) hasServer(key string) bool {
	_, ok := r.rows.Get(testSchema{}.Tables().Servers, key)
	return ok
}

// Guards against servers that get requests for seconds after they announced that they leave:
// a standby that had lost the store before took over with the operator's table alone, and
// its fresh state kept all nodes from reading the servers' table.
func TestStandbyInPlaceOfReaderReadsAllTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newSilentStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		r := followTestTables(ctx, store, 1)
		r.recordFailure("o", true, context.DeadlineExceeded)
		for i := range 20 {
			key := strconv.Itoa(i)
			store.writeServer(key)
			time.Sleep(2 * time.Second)
			is.True(r.hasServer(key))
		}
	})
}

// Guards against servers that get requests for seconds after they announced that they leave:
// the reader's watch of the servers' table stayed open, unanswered, long after the store
// served the reader again.
func TestReaderWatchesAnewOnceStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newSilentStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		r := followTestTables(ctx, store, 0)
		time.Sleep(time.Second)
		store.isSilent.Store(true)
		time.Sleep(3 * time.Second)
		store.isSilent.Store(false)
		time.Sleep(2 * time.Second)
		store.writeServer("late")
		time.Sleep(time.Second)
		is.True(r.hasServer("late"))
	})
}

// Guards against configurations that come into force late: a standby whose calls had failed
// in an outage long ago waited up to two seconds after its next failed call.
func TestStandbyForgetsFailuresOfAnEarlierOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{down: true}
		r := newReader(store, gossip.NewMap(nil), telemetry.NewForwardMetrics(), unranked, func() int { return 1 }, zap.NewNop())
		r.observeAge(0)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go r.follow(ctx, "o", operatorWait, 0, true)
		time.Sleep(10 * time.Second)
		for range 50 {
			r.observeAge(0) // another node reads the store
			time.Sleep(100 * time.Millisecond)
		}
		before := store.calls.Load()
		time.Sleep(staleAfter + standbyStep + idlePause + firstRetryPause)
		is.True(store.calls.Load() >= before+2)
	})
}

// Guards against calls of the store by many standbys for as long as the reader is turned
// away: one of them reads, and none once the reader does.
func TestOneStandbyReadsInPlaceOfReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newSilentStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		var standbys []*reader
		for range 4 {
			standbys = append(standbys, followTestTables(ctx, store, 4)) // all have the same turn
			time.Sleep(70 * time.Millisecond)
		}
		tellAges := func(d time.Duration, others func(r *reader) time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				for _, r := range standbys {
					r.observeAge(others(r))
				}
			}
		}
		youngest := func(r *reader) time.Duration {
			age := time.Hour
			for _, x := range standbys {
				if x != r {
					age = min(age, x.age())
				}
			}
			return age + 50*time.Millisecond
		}
		countStandIns := func() (n int) {
			for _, r := range standbys {
				if r.isStandingIn() {
					n++
				}
			}
			return n
		}
		tellAges(10*time.Second, youngest)
		is.Equal(countStandIns(), 1)
		tellAges(5*time.Second, func(*reader) time.Duration { return 100 * time.Millisecond })
		is.Equal(countStandIns(), 0)
		before := store.calls.Load()
		tellAges(20*time.Second, func(*reader) time.Duration { return 100 * time.Millisecond })
		is.True(store.calls.Load() <= before+int32(len(standbys))) // watches that were open
	})
}
