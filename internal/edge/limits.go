package edge

import (
	"encoding/json"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// serverLimits shares the limits that backend servers name in their answers.
type serverLimits struct {
	pool        *pool.Pool
	rows        *gossip.Map
	nextVersion func() uint64
	log         *zap.Logger
}

// limitedServer is the limit of one start of a server, in requests per second.
type limitedServer struct {
	Server  string  `json:"server"`
	Started int64   `json:"started"`
	Limit   float64 `json:"limit"`
}

// publish sends a server's limit, or permit.NoLimit, to the other nodes.
func (l *serverLimits) publish(s pool.Server, limit float64) {
	raw, err := json.Marshal(limitedServer{s.ID, s.Started, limit})
	if err != nil {
		l.log.Error("cannot encode limit of backend server, not published", telemetry.ErrorField(err))
		return
	}
	key := s.ID + "/" + strconv.FormatInt(s.Started, 10)
	version := l.nextVersion()
	if row, ok := l.rows.Get(tableLimits, key); ok {
		// All nodes share the key, and their clocks differ.
		version = max(version, row.Version+1)
	}
	l.rows.Apply([]gossip.Row{{Table: tableLimits, Key: key, Version: version, Data: raw}})
}

// apply records the limits that other nodes published.
func (l *serverLimits) apply(rows []gossip.Row, now time.Time) {
	for _, r := range rows {
		var s limitedServer
		if err := json.Unmarshal(r.Data, &s); err != nil {
			l.log.Warn("cannot decode limit of backend server", zap.String("key", r.Key), telemetry.ErrorField(err))
			continue
		}
		l.pool.SetLimit(s.Server, s.Started, s.Limit, now)
	}
}

// refresh publishes the limits in force again before their rows expire, for nodes that
// join later.
func (l *serverLimits) refresh(now time.Time) {
	oldest := uint64(now.Add(-softTableTTLs[tableLimits] / 2).UnixMilli())
	for _, r := range l.rows.List(tableLimits) {
		var s limitedServer
		if r.Version > oldest || json.Unmarshal(r.Data, &s) != nil {
			continue
		}
		if m := l.pool.Member(s.Server); m != nil && m.Started == s.Started && m.Limit() != permit.NoLimit {
			l.publish(m.Server, m.Limit())
		}
	}
}
