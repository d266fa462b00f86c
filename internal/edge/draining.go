package edge

import (
	"encoding/json"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// drainNotices shares which backend servers announced in an answer that they drain. A
// server's entry in the store may show it much later, or never.
type drainNotices struct {
	pool        *pool.Pool
	rows        *gossip.Map
	nextVersion func() uint64
	log         *zap.Logger
}

// drainingServer identifies one start of a server.
type drainingServer struct {
	Server  string `json:"server"`
	Started int64  `json:"started"`
}

// publish sends a server's announcement to the other nodes.
func (d *drainNotices) publish(s pool.Server) {
	raw, err := json.Marshal(drainingServer{s.ID, s.Started})
	if err != nil {
		d.log.Error("cannot encode draining server, not published", telemetry.ErrorField(err))
		return
	}
	key := s.ID + "/" + strconv.FormatInt(s.Started, 10)
	d.rows.Apply([]gossip.Row{{Table: tableDraining, Key: key, Version: d.nextVersion(), Data: raw}})
}

// apply marks the servers that other nodes published as draining.
func (d *drainNotices) apply(rows []gossip.Row, now time.Time) {
	for _, r := range rows {
		var s drainingServer
		if err := json.Unmarshal(r.Data, &s); err != nil {
			d.log.Warn("cannot decode draining server", zap.String("key", r.Key), telemetry.ErrorField(err))
			continue
		}
		d.pool.MarkDraining(s.Server, s.Started, now)
	}
}
