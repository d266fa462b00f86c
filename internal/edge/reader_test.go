package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
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
