package edge

import (
	"encoding/json"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// leaving shares which backend servers said in an answer that they leave. A
// server's entry in the store may say so much later, or never.
type leaving struct {
	pool *pool.Pool
	rows *news.Map
	next func() uint64
	log  *zap.Logger
}

// leavingServer names one start of a server.
type leavingServer struct {
	Server  string `json:"server"`
	Started int64  `json:"started"`
}

// publish tells the other nodes.
func (l *leaving) publish(s pool.Server) {
	raw, err := json.Marshal(leavingServer{s.ID, s.Started})
	if err != nil {
		l.log.Error("leaving server is not published", telemetry.Cause(err))
		return
	}
	key := s.ID + "/" + strconv.FormatInt(s.Started, 10)
	l.rows.Apply([]news.Row{{Table: tableLeaving, Key: key, Version: l.next(), Data: raw}})
}

// apply takes what other nodes were told.
func (l *leaving) apply(rows []news.Row, now time.Time) {
	for _, r := range rows {
		var s leavingServer
		if err := json.Unmarshal(r.Data, &s); err != nil {
			l.log.Warn("leaving server is unreadable", zap.String("key", r.Key), telemetry.Cause(err))
			continue
		}
		l.pool.Leaving(s.Server, s.Started, now)
	}
}
