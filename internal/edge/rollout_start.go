package edge

import (
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// rolloutStart is the stored row that holds when a roll-out began. Nodes read it when
// they start while no other node is running.
type rolloutStart struct {
	To string `json:"to"`
	// OrderVersion and OrderEra are the revision of the order's row, StartedMS is the time
	// by the store's clock.
	OrderVersion uint64 `json:"order"`
	OrderEra     uint64 `json:"era,omitempty"`
	StartedMS    int64  `json:"started_ms"`
}

func (s rolloutStart) orderRevision() gossip.Revision {
	return gossip.Revision{Era: s.OrderEra, Version: s.OrderVersion}
}

// maxClockMS bounds times by the store's clock in milliseconds: a hundred years.
const maxClockMS = 100 * 365 * 24 * 3600 * 1000

// applyStarts records when roll-outs began.
func (r *rollouts) applyStarts(rows []gossip.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		service, ok := strings.CutPrefix(row.Key, startKeyPrefix)
		if !ok || row.Deleted {
			continue
		}
		var s rolloutStart
		if err := json.Unmarshal(row.Data, &s); err != nil {
			r.log.Warn("cannot decode start of roll-out", zap.String("service", service), telemetry.ErrorField(err))
			continue
		}
		if s.StartedMS < 0 || s.StartedMS > maxClockMS {
			r.log.Warn("start of roll-out is out of range", zap.String("service", service), zap.Int64("started_ms", s.StartedMS))
			continue
		}
		r.starts[service] = s
	}
}

// unstoredStarts returns the services with a roll-out in progress whose stored start
// belongs to an order of an earlier era, or was lost with it.
func (r *rollouts) unstoredStarts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for service, ro := range r.byService {
		if ro.isContinued && ro.hasCurrentStatus() && ro.lostAt.IsZero() && !ro.isDecided() && r.starts[service].orderRevision() != ro.orderRevision {
			out = append(out, service)
		}
	}
	return out
}

// startRow returns the row that holds when a roll-out began, by the store's clock.
func (r *rollouts) startRow(service string, clock time.Duration, now time.Time) rolloutStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.ensureRollout(service)
	return rolloutStart{To: ro.order.To, OrderVersion: ro.orderRevision.Version, OrderEra: ro.orderRevision.Era, StartedMS: (clock - now.Sub(ro.startedAt)).Milliseconds()}
}

// applyStoredStarts moves the start of roll-outs back to the stored one, so that they
// resume where they were.
func (r *rollouts) applyStoredStarts(clock time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, s := range r.starts {
		ro := r.byService[service]
		if ro == nil || ro.orderRevision != s.orderRevision() {
			continue
		}
		elapsed := clock - time.Duration(s.StartedMS)*time.Millisecond
		if began := now.Add(-elapsed); began.Before(ro.startedAt.Add(-resumeTolerance)) {
			r.log.Info("roll-out resumed", zap.String("service", service), zap.String("to", s.To), zap.Duration("elapsed", elapsed))
			ro.startedAt = began
		}
	}
}

// resumeTolerance is the difference between clocks that is ignored.
const resumeTolerance = 500 * time.Millisecond
