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
	// restoreSettleTime is how long after a restore the store may hold entries of servers
	// that have left: it removes them after three of their heartbeats.
	restoreSettleTime = 5 * time.Second
	// departureTTL is how long it is kept that a server left. Copies of the store are
	// seconds old.
	departureTTL = 2 * time.Minute
)

// departure is a server that left.
type departure struct {
	started int64
	era     uint64 // of the store when it left
	at      time.Time
}

// lapse is an entry that expired or was lost.
type lapse struct {
	until time.Time // when the server is dropped
	era   uint64    // of the store that lacks the entry
}

// heldEntry is an entry that may be older than what is known of its server.
type heldEntry struct {
	row   gossip.Row
	until time.Time // when it is applied if the store still has it
}

// servers builds the pool's list of backend servers from rows.
type servers struct {
	schema Schema
	pool   *pool.Pool
	rows   *gossip.Map
	log    *zap.Logger
	// sinceOutage returns how long ago the last outage of the store ended.
	sinceOutage func() time.Duration
	// onStale is called, without the lock, with a server that drains and is ready again in a
	// restored store: nodes that start now know only the copy.
	onStale    func(pool.Server)
	mu         sync.Mutex
	entries    map[string]pool.Server // guarded by mu
	eras       map[string]uint64      // guarded by mu; era of the store in which an entry was read
	lapsed     map[string]lapse       // guarded by mu
	departures map[string]departure   // guarded by mu
	held       map[string]heldEntry   // guarded by mu
	stale      []pool.Server          // guarded by mu; to be passed to onStale
}

func newServers(schema Schema, p *pool.Pool, rows *gossip.Map, sinceOutage func() time.Duration, log *zap.Logger) *servers {
	return &servers{schema: schema, pool: p, rows: rows, log: log, sinceOutage: sinceOutage, onStale: func(pool.Server) {}, entries: map[string]pool.Server{}, eras: map[string]uint64{}, lapsed: map[string]lapse{}, departures: map[string]departure{}, held: map[string]heldEntry{}}
}

// apply applies changed entries.
func (s *servers) apply(rows []gossip.Row, now time.Time) {
	s.mu.Lock()
	for _, r := range rows {
		s.applyRow(r, now)
	}
	s.updatePool(now)
	stale := s.stale
	s.stale = nil
	s.mu.Unlock()
	for _, x := range stale {
		s.onStale(x)
	}
}

// dropExpired drops servers whose grace period is over, and applies the held entries that
// the store has confirmed.
func (s *servers) dropExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hasChanged := len(s.lapsed) > 0
	for _, h := range s.held {
		if now.After(h.until) {
			hasChanged = true
			s.applyRow(h.row, now) // confirmed: it is the row that was held
		}
	}
	for id, d := range s.departures {
		if now.Sub(d.at) > departureTTL {
			delete(s.departures, id)
		}
	}
	if hasChanged {
		s.updatePool(now)
	}
}

// applyRow merges one changed entry. The caller holds mu.
func (s *servers) applyRow(r gossip.Row, now time.Time) {
	held, wasHeld := s.held[r.Key]
	delete(s.held, r.Key)
	if wasHeld && held.row.Era == r.Era && !r.Deleted {
		// The server has written itself since the restore.
		delete(s.departures, r.Key)
	}
	if r.Deleted {
		s.remove(r, now)
		return
	}
	old, wasListed := s.entries[r.Key]
	next, err := s.schema.Server(r.Key, r.Data)
	if err != nil {
		s.log.Warn("invalid server entry skipped", zap.String("server", r.Key), telemetry.ErrorField(err))
		delete(s.entries, r.Key)
		delete(s.eras, r.Key)
		delete(s.lapsed, r.Key)
		return
	}
	left := next.WarmupLeft
	next.WarmupLeft = 0 // it differs from row to row
	switch d, hasLeft := s.departures[r.Key]; {
	case hasLeft && d.started == next.Started && d.era < r.Era:
		s.held[r.Key] = heldEntry{r, now.Add(restoreSettleTime)}
		s.log.Info("backend server has left, its entry in the restored store is not used yet", zap.String("server", r.Key), zap.Uint64("era", r.Era))
		return
	case wasListed && old.Draining && !next.Draining && old.Started == next.Started && s.eras[r.Key] < r.Era:
		// A server that drains does not become ready again before its next start.
		s.log.Info("backend server drains, its entry in the restored store is older", zap.String("server", r.Key), zap.Uint64("era", r.Era))
		next.Draining = true
		s.stale = append(s.stale, next)
	}
	delete(s.lapsed, r.Key)
	delete(s.departures, r.Key)
	if !wasListed || old != next {
		s.log.Info("backend server", zap.String("server", r.Key), zap.String("service", next.Service), zap.String("address", next.Address),
			zap.String("version", next.Version), zap.Bool("draining", next.Draining), zap.Uint64("row", r.Version))
	}
	s.entries[r.Key], s.eras[r.Key] = next, r.Era
	// After an outage an entry may be old, so that it shows neither that a server is warm nor
	// that it has not restarted.
	switch isRecent := s.sinceOutage() >= outageRecoveryTime; {
	case isRecent && left >= 0:
		s.pool.SetEntryWarmup(r.Key, next.Started, left, now)
	case left > 0:
		s.pool.SetOldEntryWarmup(r.Key, next.Started, left, now)
	}
}

// remove removes a server whose entry is gone, after a grace period if the entry may only
// have expired or been lost. The caller holds mu.
func (s *servers) remove(r gossip.Row, now time.Time) {
	old, isListed := s.entries[r.Key]
	if !isListed {
		return
	}
	if !old.Draining && (r.Lost || s.sinceOutage() < outageRecoveryTime) {
		s.lapsed[r.Key] = lapse{now.Add(expiryGrace), r.Era}
		s.log.Info("backend server lapsed", zap.String("server", r.Key), zap.Bool("lost", r.Lost))
		return
	}
	s.drop(r.Key, r.Era, now)
	s.log.Info("backend server left", zap.String("server", r.Key), zap.Uint64("row", r.Version))
}

// drop removes a server. The caller holds mu.
func (s *servers) drop(id string, era uint64, now time.Time) {
	s.departures[id] = departure{s.entries[id].Started, era, now}
	delete(s.entries, id)
	delete(s.eras, id)
}

// updatePool passes the list to the pool. The caller holds mu.
func (s *servers) updatePool(now time.Time) {
	for id, l := range s.lapsed {
		if now.After(l.until) {
			delete(s.lapsed, id)
			s.drop(id, l.era, now)
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
