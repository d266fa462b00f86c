package edge

import (
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/route"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// config holds the routes in force. An invalid configuration is rejected, and the last
// valid one stays in force.
type config struct {
	schema Schema
	log    *zap.Logger
	table  atomic.Pointer[route.Table]
	// revision is that of the row in force. Rows are applied one after the other.
	revision gossip.Revision
}

func (c *config) apply(r gossip.Row) {
	if r.Deleted {
		return
	}
	t, err := c.schema.Routes(r.Data)
	if err != nil {
		c.log.Error("configuration refused, keeping the last valid one", zap.Uint64("row", r.Version), telemetry.ErrorField(err))
		return
	}
	old := c.table.Load()
	// The operator may give a number again that the store has lost.
	isRestated := old != nil && old.Version == t.Version && c.revision.Era < r.Era
	if old != nil && old.Version >= t.Version && !isRestated {
		return
	}
	c.table.Store(t)
	c.revision = r.Revision()
	fields := []zap.Field{zap.Int64("version", t.Version), zap.Uint64("row", r.Version), zap.Int("routes", t.Len())}
	if old != nil {
		fields = append(fields, zap.Int64("before", old.Version))
	}
	c.log.Info("configuration in force", fields...)
}
