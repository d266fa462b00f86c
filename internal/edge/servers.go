package edge

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// outageRecoveryTime is how long after an outage of the store entries may be missing
	// because they expired meanwhile.
	outageRecoveryTime = 3 * time.Second
	// expiryGrace is how long a server is kept if its entry is missing after an outage.
	// Live servers have their entries back within about two seconds.
	expiryGrace = 1900 * time.Millisecond
)

// servers builds the pool's list of backend servers from rows.
type servers struct {
	schema Schema
	pool   *pool.Pool
	rows   *gossip.Map
	log    *zap.Logger
	// sinceOutage returns how long ago the last outage of the store ended.
	sinceOutage func() time.Duration
	mu          sync.Mutex
	entries     map[string]pool.Server // guarded by mu
	keptUntil   map[string]time.Time   // guarded by mu; when an expired server is dropped
}

func newServers(schema Schema, p *pool.Pool, rows *gossip.Map, sinceOutage func() time.Duration, log *zap.Logger) *servers {
	return &servers{schema: schema, pool: p, rows: rows, log: log, sinceOutage: sinceOutage, entries: map[string]pool.Server{}, keptUntil: map[string]time.Time{}}
}

// apply applies changed entries.
func (s *servers) apply(rows []gossip.Row, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		s.applyRow(r, now)
	}
	s.updatePool(now)
}

// dropExpired drops servers whose grace period is over.
func (s *servers) dropExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.keptUntil) > 0 {
		s.updatePool(now)
	}
}

// applyRow merges one changed entry. The caller holds mu.
func (s *servers) applyRow(r gossip.Row, now time.Time) {
	old, wasListed := s.entries[r.Key]
	if r.Deleted {
		if wasListed && !old.Draining && s.sinceOutage() < outageRecoveryTime {
			s.keptUntil[r.Key] = now.Add(expiryGrace)
			s.log.Info("backend server lapsed", zap.String("server", r.Key))
			return
		}
		if wasListed {
			delete(s.entries, r.Key)
			s.log.Info("backend server left", zap.String("server", r.Key), zap.Uint64("row", r.Version))
		}
		return
	}
	next, err := s.schema.Server(r.Key, r.Data)
	if err != nil {
		s.log.Warn("invalid server entry skipped", zap.String("server", r.Key), telemetry.ErrorField(err))
		delete(s.entries, r.Key)
		return
	}
	delete(s.keptUntil, r.Key)
	if !wasListed || old != next {
		s.log.Info("backend server", zap.String("server", r.Key), zap.String("service", next.Service), zap.String("address", next.Address),
			zap.String("version", next.Version), zap.Bool("draining", next.Draining), zap.Uint64("row", r.Version))
	}
	s.entries[r.Key] = next
}

// updatePool passes the list to the pool. The caller holds mu.
func (s *servers) updatePool(now time.Time) {
	for id, until := range s.keptUntil {
		if now.After(until) {
			delete(s.keptUntil, id)
			delete(s.entries, id)
			s.log.Info("backend server left", zap.String("server", id), zap.String("cause", "lapsed"))
		}
	}
	list := make([]pool.Server, 0, len(s.entries))
	for _, x := range s.entries {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b pool.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	s.pool.Update(list, now)
}
