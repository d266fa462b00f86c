package edge

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// outageTail is how long after an outage of the store entries may be
	// missing because they lapsed meanwhile.
	outageTail = 3 * time.Second
	// lapseGrace is how long a missing server is kept then; living servers are
	// back within about two seconds.
	lapseGrace = 1900 * time.Millisecond
)

// servers turns rows into the pool's list.
type servers struct {
	schema Schema
	pool   *pool.Pool
	rows   *news.Map
	log    *zap.Logger
	// sinceOutage returns how long ago the store was out of reach.
	sinceOutage func() time.Duration
	mu          sync.Mutex
	known       map[string]pool.Server // guarded by mu
	lapsed      map[string]time.Time   // guarded by mu; kept until
}

func newServers(schema Schema, p *pool.Pool, rows *news.Map, sinceOutage func() time.Duration, log *zap.Logger) *servers {
	return &servers{schema: schema, pool: p, rows: rows, log: log, sinceOutage: sinceOutage, known: map[string]pool.Server{}, lapsed: map[string]time.Time{}}
}

// apply follows changed entries.
func (s *servers) apply(rows []news.Row, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		s.applyOne(r, now)
	}
	s.publish(now)
}

// tick drops servers whose grace is over.
func (s *servers) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lapsed) > 0 {
		s.publish(now)
	}
}

func (s *servers) applyOne(r news.Row, now time.Time) {
	old, known := s.known[r.Key]
	if r.Deleted {
		if known && !old.Draining && s.sinceOutage() < outageTail {
			s.lapsed[r.Key] = now.Add(lapseGrace)
			s.log.Info("backend server lapsed", zap.String("server", r.Key))
			return
		}
		if known {
			delete(s.known, r.Key)
			s.log.Info("backend server left", zap.String("server", r.Key), zap.Uint64("row", r.Version))
		}
		return
	}
	next, err := s.schema.Server(r.Key, r.Data)
	if err != nil {
		s.log.Warn("entry passed over", zap.String("server", r.Key), telemetry.Cause(err))
		delete(s.known, r.Key)
		return
	}
	delete(s.lapsed, r.Key)
	if !known || old != next {
		s.log.Info("backend server", zap.String("server", r.Key), zap.String("service", next.Service), zap.String("address", next.Address),
			zap.String("version", next.Version), zap.Bool("draining", next.Draining), zap.Uint64("row", r.Version))
	}
	s.known[r.Key] = next
}

// publish hands the list to the pool. The caller holds mu.
func (s *servers) publish(now time.Time) {
	for id, until := range s.lapsed {
		if now.After(until) {
			delete(s.lapsed, id)
			delete(s.known, id)
			s.log.Info("backend server left", zap.String("server", id), zap.String("cause", "lapsed"))
		}
	}
	list := make([]pool.Server, 0, len(s.known))
	for _, x := range s.known {
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
