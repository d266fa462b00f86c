package edge

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/route"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// savedPermits and savedShare bound how many requests a server may get in a second
	// beyond its rate: the unused permits, 4 and the part of one in the making, and at high
	// rates a quarter of the rate.
	savedPermits = 5
	savedShare   = 0.25
	// republishMS is the least time between two rows of the same content, in milliseconds.
	republishMS = 1000
	// clockTolerance is by how much the clocks of two nodes may differ. A notice must not
	// seem older than it is, since its server would count as warm too early.
	clockTolerance = 2 * time.Second
)

// warmups shares which backend servers this node has found cold, or found no process of.
type warmups struct {
	pool        *pool.Pool
	rows        *gossip.Map
	nextVersion func() uint64
	log         *zap.Logger
	// rulesMu is held while the rules in force are read and passed to the pool. Lock order:
	// before the pool's locks.
	rulesMu sync.Mutex
}

// coldServer is what a node has found of one start of a server.
type coldServer struct {
	Server  string `json:"server"`
	Started int64  `json:"started"`
	// LeftMS is how long the server is still cold by its own answer, in milliseconds.
	LeftMS int64 `json:"left_ms"`
	// Lost is set if there was no process at the server's address, so that it is cold once
	// it is back.
	Lost bool `json:"lost,omitempty"`
}

// publish tells the other nodes how long a server is still cold, or that it is gone.
func (w *warmups) publish(s pool.Server, left time.Duration, isLost bool) {
	raw, err := json.Marshal(coldServer{s.ID, s.Started, left.Milliseconds(), isLost})
	if err != nil {
		w.log.Error("cannot encode cold backend server, not published", telemetry.ErrorField(err))
		return
	}
	key := s.ID + "/" + strconv.FormatInt(s.Started, 10)
	version := w.nextVersion()
	if row, ok := w.rows.Get(tableWarmups, key); ok {
		if bytes.Equal(row.Data, raw) && version < row.Version+republishMS {
			return // each refused connection tells the same
		}
		// All nodes share the key, and their clocks differ.
		version = max(version, row.Version+1)
	}
	w.rows.Apply([]gossip.Row{{Table: tableWarmups, Key: key, Version: version, Data: raw}})
}

// apply records what other nodes have found.
func (w *warmups) apply(rows []gossip.Row, now time.Time) {
	for _, r := range rows {
		var s coldServer
		if err := json.Unmarshal(r.Data, &s); err != nil {
			w.log.Warn("cannot decode cold backend server", zap.String("key", r.Key), telemetry.ErrorField(err))
			continue
		}
		left := time.Duration(min(max(s.LeftMS, 0), maxLeftMS)) * time.Millisecond
		w.pool.SetWarmup(s.Server, s.Started, left, s.Lost, noticeAge(r.Version, now), now)
	}
}

// noticeAge returns how long ago a row was written at least. Its version is the time of its
// writer's clock in Unix milliseconds.
func noticeAge(version uint64, now time.Time) time.Duration {
	written := int64(min(version, uint64(max(now.UnixMilli(), 0))))
	return max(now.Sub(time.UnixMilli(written))-clockTolerance, 0)
}

// maxLeftMS bounds the remaining warm-up that other nodes name, in milliseconds.
const maxLeftMS = 24 * 3600 * 1000

// logChanges logs the servers that have turned cold or warm.
func (w *warmups) logChanges(now time.Time) {
	for _, c := range w.pool.WarmupChanges(now) {
		fields := []zap.Field{zap.String("server", c.ID), zap.String("service", c.Service), zap.String("data_centre", c.DataCentre)}
		if !c.IsCold {
			w.log.Info("backend server is warm", fields...)
			continue
		}
		w.log.Info("backend server is cold", append(fields, zap.Stringer("cause", c.Cause), zap.Duration("left", max(c.Until.Sub(now), 0)), zap.Float64("rate", c.PermitRate(now)))...)
	}
}

// updateWarmups passes to the pool how cold servers are treated by the configuration and the
// settings in force. It is called with either by different goroutines, and must not pass on
// older ones last.
func (n *Node) updateWarmups() {
	n.warmups.rulesMu.Lock()
	defer n.warmups.rulesMu.Unlock()
	s, byService := n.settings.Load(), map[string]pool.Warmup{}
	for _, service := range n.table().Services() {
		if rate := coldServerRate(service, s); rate > 0 {
			byService[service.Name] = pool.Warmup{Time: service.WarmupTime, Rate: rate}
		}
	}
	n.pool.SetWarmups(byService)
}

// coldServerRate returns the rate at which requests to a cold server are granted, so that
// with the unused permits no second exceeds the bound; 0 if there is none.
func coldServerRate(service *route.Service, s *Settings) float64 {
	if !(service.WarmupRate > 0) || !(s.WarmupOverrun > 0) {
		return 0
	}
	bound := service.WarmupRate*s.WarmupOverrun + s.WarmupAllowance
	return max(min(service.WarmupRate, (bound-savedPermits)/(1+savedShare)), permit.MinRate)
}
