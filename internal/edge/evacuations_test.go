package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// An evacuation holds from its row until that is removed. Guards against one that ends with
// the store's memory of it, or that depends on the row's value, and against keys that name
// no data centre.
func TestEvacuationFollowsItsRow(t *testing.T) {
	is, p := is.New(t), pool.New()
	e := newEvacuations("e/", p, func() *Settings { return &Settings{} }, zap.NewNop())
	row := func(key, value string, version uint64) gossip.Row {
		return gossip.Row{Table: "o", Key: key, Version: version, Data: []byte(value)}
	}
	e.apply([]gossip.Row{row("e/", "{}", 1), row("c", "7", 2), row("r/x", "{}", 3), {Table: "o", Key: "e/a", Version: 4, Deleted: true}}, startTime)
	is.Equal(p.CountEvacuated(), 0)
	e.apply([]gossip.Row{row("e/a", "{", 5), row("e/b", "", 6)}, startTime)
	is.Equal(p.CountEvacuated(), 2)
	e.apply([]gossip.Row{{Table: "o", Key: "e/a", Version: 7, Deleted: true}}, startTime)
	is.Equal(p.CountEvacuated(), 1)
	// A restored store lacks the row: its writer states it again, or it is gone.
	e.apply([]gossip.Row{{Table: "o", Key: "e/b", Era: 1, Version: 2, Deleted: true, Lost: true}}, startTime)
	e.dropLost(startTime.Add(orderSettleTime / 2))
	is.Equal(p.CountEvacuated(), 1)
	e.apply([]gossip.Row{row("e/b", "{}", 3)}, startTime.Add(time.Second))
	e.dropLost(startTime.Add(time.Hour))
	is.Equal(p.CountEvacuated(), 1)
	e.apply([]gossip.Row{{Table: "o", Key: "e/b", Era: 2, Version: 2, Deleted: true, Lost: true}}, startTime)
	e.dropLost(startTime.Add(2 * orderSettleTime))
	is.Equal(p.CountEvacuated(), 0)
}

// orderSchema records how many data centres are evacuated when a configuration is read.
type orderSchema struct {
	testSchema
	pool      *pool.Pool
	evacuated int
}

func (s *orderSchema) Routes(data []byte) (*route.Table, error) {
	s.evacuated = s.pool.CountEvacuated()
	return s.testSchema.Routes(data)
}

// Guards against a node that starts during an evacuation and accepts requests before it has
// applied that.
func TestEvacuationIsAppliedBeforeConfiguration(t *testing.T) {
	is, n := is.New(t), newRowNode(t, zap.NewNop())
	schema := &orderSchema{pool: n.pool}
	n.config.schema = schema
	n.rows.Apply([]gossip.Row{{Table: "o", Key: "c", Version: 1, Data: []byte("7")}, {Table: "o", Key: "e/a", Version: 2, Data: []byte("{}")}})
	is.Equal(schema.evacuated, 1)
}

// warmupSchema has one service, whose cold servers tolerate 10 requests a second.
type warmupSchema struct{ stopSchema }

func (warmupSchema) Routes([]byte) (*route.Table, error) {
	return route.NewTable(route.Definition{Version: 1, Routes: stopRoutes(), Services: []route.Service{{Name: "s", WarmupTime: 4 * time.Second, WarmupRate: 10}}})
}

// outageStore is a store that can be down.
type outageStore struct {
	*memStore
	isDown atomic.Bool
}

// Watch implements gossip.Store.
func (s *outageStore) Watch(ctx context.Context, table string, after gossip.Revision, wait time.Duration) ([]gossip.Row, gossip.Revision, error) {
	if s.isDown.Load() {
		return nil, gossip.Revision{}, errors.New("down")
	}
	return s.memStore.Watch(ctx, table, after, wait)
}

// Read implements gossip.Store.
func (s *outageStore) Read(ctx context.Context, table string) ([]gossip.Row, gossip.Revision, error) {
	return s.Watch(ctx, table, gossip.Revision{}, 0)
}

// remove deletes a row.
func (s *memStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = gossip.Row{Table: table, Key: key, Version: s.version, Deleted: true}
}

// between returns how many requests arrived in a span of time.
func (s *limitingServer) between(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// The whole course of an evacuation in a fleet: it is ordered, the store goes down, a node
// starts, the order is removed while the store is down, and the store comes back. Guards
// against requests to the data centre meanwhile, on any node, against refusals, and against
// a crowd at its servers afterwards.
func TestEvacuationInFleet(t *testing.T) {
	is := is.New(t)
	a, b := startLimitingServer(t, ""), startLimitingServer(t, "")
	var store *outageStore
	const size = 5
	nodes, addresses := startFleet(t, size, []string{a.address}, func(i int, o *Options) {
		if i == 0 {
			store = &outageStore{memStore: o.Store.(*memStore)}
			_, err := store.Write(t.Context(), "s", "server-b", gossip.Revision{}, encode(t, pool.Server{Address: b.address, Service: "s", DataCentre: "b", Slots: 100}))
			is.NoErr(err)
		}
		o.Schema, o.Store = warmupSchema{}, store
		o.Settings.WarmupOverrun, o.Settings.WarmupAllowance = 1.5, 5
		if i == size-1 {
			// The last node starts while the store is down.
			time.Sleep(3 * time.Second) // the others meet
			_, err := store.Write(t.Context(), "o", "e/a", gossip.Revision{}, []byte("{}"))
			is.NoErr(err)
			time.Sleep(time.Second)
			store.isDown.Store(true)
		}
	})
	ordered := time.Now()
	for _, n := range nodes {
		is.Equal(n.pool.CountEvacuated(), 1)
	}
	time.AfterFunc(2*time.Second, func() { store.remove("o", "e/a") })
	statuses := sendSteadily(t, addresses, 4*time.Second, 5*time.Millisecond)
	is.Equal(a.between(ordered, time.Now()), 0)
	store.isDown.Store(false)
	for end := time.Now().Add(5 * time.Second); nodes[size-1].pool.CountEvacuated() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	returned := time.Now()
	for status, count := range sendSteadily(t, addresses, 3*time.Second, 5*time.Millisecond) {
		statuses[status] += count
	}
	most := 0
	for from := returned; from.Before(returned.Add(2500 * time.Millisecond)); from = from.Add(20 * time.Millisecond) {
		most = max(most, a.between(from, from.Add(time.Second)))
	}
	t.Logf("answers by status: %v; %d requests after the evacuation, at most %d in a second", statuses, a.between(returned, time.Now()), most)
	is.Equal(len(statuses), 1)
	is.True(statuses[http.StatusOK] > 0)
	is.True(most <= 20)
	is.True(a.between(returned, time.Now()) > 10)
}
