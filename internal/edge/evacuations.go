package edge

import (
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// evacuations passes the operator's evacuations of data centres to the pool. An evacuation
// holds from its row until that is removed, whatever the row's value. It is safe for
// concurrent use.
type evacuations struct {
	prefix   string // of the rows' keys; empty if there are none
	pool     *pool.Pool
	settings func() *Settings
	log      *zap.Logger
	mu       sync.Mutex
	// heldUntil has an entry for each evacuated data centre: the time until which an order
	// holds that a restored store lacks, zero for orders that the store has.
	heldUntil map[string]time.Time // guarded by mu
}

func newEvacuations(prefix string, p *pool.Pool, settings func() *Settings, log *zap.Logger) *evacuations {
	return &evacuations{prefix: prefix, pool: p, settings: settings, log: log, heldUntil: map[string]time.Time{}}
}

// apply applies new and removed orders among the operator's rows.
func (e *evacuations) apply(rows []gossip.Row, now time.Time) {
	if e.prefix == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	hasChanged := false
	for _, r := range rows {
		dataCentre, ok := strings.CutPrefix(r.Key, e.prefix)
		if !ok {
			continue
		}
		if dataCentre == "" {
			e.log.Warn("evacuation without a data centre ignored, put its name after the prefix of the key", zap.String("key", r.Key), zap.Uint64("row", r.Version))
			continue
		}
		hasChanged = e.applyRow(dataCentre, r, now) || hasChanged
	}
	if hasChanged {
		e.updatePool(now)
	}
}

// applyRow applies the row of a data centre and reports whether the evacuated data centres
// change. The caller holds mu.
func (e *evacuations) applyRow(dataCentre string, r gossip.Row, now time.Time) bool {
	_, isEvacuated := e.heldUntil[dataCentre]
	switch {
	case !r.Deleted:
		e.heldUntil[dataCentre] = time.Time{}
		if !isEvacuated {
			e.log.Info("evacuation of data centre begins", zap.String("data_centre", dataCentre), zap.Uint64("row", r.Version), zap.Duration("within", e.settings().EvacuationTime))
		}
		return !isEvacuated
	case !isEvacuated:
		return false
	case r.Lost:
		// Nobody has removed the order, and its writer may state it again.
		e.heldUntil[dataCentre] = now.Add(orderSettleTime)
		e.log.Info("restored store lacks the evacuation of data centre, which holds for now", zap.String("data_centre", dataCentre), zap.Uint64("era", r.Era))
		return false
	}
	e.end(dataCentre, "removed")
	return true
}

// end forgets an evacuation. The caller holds mu.
func (e *evacuations) end(dataCentre, cause string) {
	delete(e.heldUntil, dataCentre)
	e.log.Info("evacuation of data centre ends", zap.String("data_centre", dataCentre), zap.String("cause", cause))
}

// dropLost ends the evacuations that a restored store still lacks.
func (e *evacuations) dropLost(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hasChanged := false
	for dataCentre, until := range e.heldUntil {
		if !until.IsZero() && now.After(until) {
			e.end(dataCentre, "lost in a restore")
			hasChanged = true
		}
	}
	if hasChanged {
		e.updatePool(now)
	}
}

// updatePool passes the evacuated data centres to the pool. The caller holds mu, which is
// acquired before the pool's locks.
func (e *evacuations) updatePool(now time.Time) {
	evacuated := make(map[string]bool, len(e.heldUntil))
	for dataCentre := range e.heldUntil {
		evacuated[dataCentre] = true
	}
	e.pool.SetEvacuated(evacuated, now)
}
