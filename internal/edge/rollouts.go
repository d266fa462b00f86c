package edge

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// serviceRollout is the roll-out of one service as this node sees it. It is guarded by
// rollouts.mu.
type serviceRollout struct {
	order         RolloutOrder
	orderVersion  uint64 // version of the order's row
	status        RolloutStatus
	statusVersion uint64 // version of the status row; 0 if there is none
	startedAt     time.Time
	analyzer      *analyzer
	// hasFailedAnalysis is set once the new version failed the analysis, failedAt is when.
	hasFailedAnalysis bool
	failedAt          time.Time
	// loggedShare is the last share of sessions that was logged.
	loggedShare float64
}

// hasCurrentStatus reports whether the status belongs to the order.
func (r *serviceRollout) hasCurrentStatus() bool {
	return r.statusVersion > r.orderVersion && r.status.To == r.order.To
}

// isDecided reports whether the status says how the roll-out ended.
func (r *serviceRollout) isDecided() bool {
	return r.hasCurrentStatus() && r.status.State != RolloutRunning
}

// state returns the roll-out's state, by the status if it belongs to the order.
func (r *serviceRollout) state() RolloutState {
	switch {
	case r.isDecided():
		return r.status.State
	case r.hasFailedAnalysis:
		return RolloutReverted
	default:
		return RolloutRunning
	}
}

// progress returns the elapsed part of the roll-out's time; it exceeds 1 once that is
// over.
func (r *serviceRollout) progress(now time.Time) float64 {
	return float64(now.Sub(r.startedAt)) / float64(max(r.order.Duration, time.Second))
}

// rollouts chooses the version of a service that answers a session, analyzes new
// versions, and reports to the operator. It is safe for concurrent use.
type rollouts struct {
	schema     Schema
	sessions   *sessions
	settings   func() *Settings
	log        *zap.Logger
	mu         sync.Mutex
	byService  map[string]*serviceRollout // guarded by mu; by service
	starts     map[string]rolloutStart    // guarded by mu; by service
	localTally *tally                     // answers that this node saw
}

func newRollouts(schema Schema, s *sessions, settings func() *Settings, log *zap.Logger) *rollouts {
	return &rollouts{schema: schema, sessions: s, settings: settings, log: log, byService: map[string]*serviceRollout{}, starts: map[string]rolloutStart{}, localTally: newTally()}
}

// apply applies new orders and statuses.
func (r *rollouts) apply(rows []gossip.Row, now time.Time) {
	t := r.schema.Tables()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, t.RolloutPrefix) || row.Deleted {
			continue
		}
		if row.Table == t.Operator {
			r.applyOrder(row, now)
		} else {
			r.applyStatus(strings.TrimPrefix(row.Key, t.RolloutPrefix), row)
		}
	}
}

// applyOrder starts the roll-out of a newer order. The caller holds mu.
func (r *rollouts) applyOrder(row gossip.Row, now time.Time) {
	o, err := r.schema.Rollout(row.Data)
	if err != nil {
		r.log.Error("invalid roll-out order skipped", zap.String("key", row.Key), telemetry.ErrorField(err))
		return
	}
	old := r.ensureRollout(o.Service)
	if old.orderVersion >= row.Version {
		return
	}
	r.byService[o.Service] = &serviceRollout{order: o, orderVersion: row.Version, status: old.status, statusVersion: old.statusVersion, startedAt: now, analyzer: newAnalyzer()}
	r.localTally.reset(o.Service)
	r.log.Info("roll-out ordered", zap.String("service", o.Service), zap.String("to", o.To), zap.Duration("duration", o.Duration), zap.Uint64("row", row.Version))
}

// applyStatus records a newer status. The caller holds mu.
func (r *rollouts) applyStatus(service string, row gossip.Row) {
	s, err := r.schema.RolloutStatus(row.Data)
	if err != nil {
		r.log.Error("invalid roll-out status skipped", zap.String("service", service), telemetry.ErrorField(err))
		return
	}
	ro := r.ensureRollout(service)
	if ro.statusVersion >= row.Version {
		return
	}
	ro.status, ro.statusVersion = s, row.Version
	r.log.Info("roll-out status", zap.String("service", service), zap.String("to", s.To), zap.Int("state", int(s.State)), zap.Uint64("row", row.Version))
}

// ensureRollout returns the roll-out of a service, adding an empty one if there is
// none. The caller holds mu.
func (r *rollouts) ensureRollout(service string) *serviceRollout {
	ro := r.byService[service]
	if ro == nil {
		ro = &serviceRollout{analyzer: newAnalyzer()}
		r.byService[service] = ro
	}
	return ro
}

// Pick implements forward.Versions.
func (r *rollouts) Pick(service, session string, now time.Time) forward.Choice {
	r.mu.Lock()
	ro := r.byService[service]
	if ro == nil || ro.order.To == "" {
		r.mu.Unlock()
		return forward.Choice{}
	}
	to, state, share, isPastHalf := ro.order.To, ro.state(), r.share(ro, now), ro.progress(now) >= 0.5
	r.mu.Unlock()
	switch {
	case state == RolloutCompleted:
		return forward.Choice{Only: to}
	case state == RolloutReverted:
		return forward.Choice{Except: to}
	case sessionFraction(service, session) >= share:
		return forward.Choice{Except: to}
	case !isPastHalf && r.isOnOtherVersion(service, session, to, now):
		return forward.Choice{Except: to}
	default:
		return forward.Choice{Prefer: to, Share: share}
	}
}

// isOnOtherVersion reports whether a session in progress uses a version other than to.
func (r *rollouts) isOnOtherVersion(service, session, to string, now time.Time) bool {
	v := r.sessions.version(service, session, r.settings().SessionLife, now)
	return v != "" && v != to
}

// Observe implements forward.Versions.
func (r *rollouts) Observe(service, version string, o forward.Observation, now time.Time) {
	if o.Session != "" {
		r.sessions.recordUse(service, o.Session, version, now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.byService[service]
	if ro == nil || ro.order.To == "" || ro.state() != RolloutRunning {
		return
	}
	r.localTally.add(service, version == ro.order.To, o)
}

// rolloutStart is the stored row that holds when a roll-out began. Nodes read it when
// they start while no other node is running.
type rolloutStart struct {
	To string `json:"to"`
	// OrderVersion is the version of the order's row, StartedMS the time by the store's
	// clock.
	OrderVersion uint64 `json:"order"`
	StartedMS    int64  `json:"started_ms"`
}

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
		r.starts[service] = s
	}
}

// startRow returns the row that holds when a roll-out began, by the store's clock.
func (r *rollouts) startRow(service string, clock time.Duration, now time.Time) rolloutStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.ensureRollout(service)
	return rolloutStart{To: ro.order.To, OrderVersion: ro.orderVersion, StartedMS: (clock - now.Sub(ro.startedAt)).Milliseconds()}
}

// applyStoredStarts moves the start of roll-outs back to the stored one, so that they
// resume where they were.
func (r *rollouts) applyStoredStarts(clock time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, s := range r.starts {
		ro := r.byService[service]
		if ro == nil || ro.orderVersion != s.OrderVersion {
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

// mergeRemote applies what another node published of a roll-out: how long it has been
// in progress, so that a node that started meanwhile is in the same stage, and a
// failed analysis, since a node that did not see enough answers must not complete a
// roll-out whose version failed elsewhere.
func (r *rollouts) mergeRemote(service string, c rolloutCounts, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.byService[service]
	if ro == nil || ro.orderVersion != c.OrderVersion {
		return
	}
	if elapsed := time.Duration(c.ElapsedMS) * time.Millisecond; now.Sub(ro.startedAt) < elapsed {
		ro.startedAt = now.Add(-elapsed)
	}
	if c.HasFailedAnalysis && !ro.hasFailedAnalysis && !ro.isDecided() {
		ro.hasFailedAnalysis, ro.failedAt = true, now
		r.log.Warn("version failed analysis on another node", zap.String("service", service), zap.String("version", ro.order.To))
	}
}

// evaluate analyzes the totals of all nodes for a service, by route. It records and
// reports whether the service's new version has just failed the analysis.
func (r *rollouts) evaluate(service string, orderVersion uint64, totals map[string]comparison, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.byService[service]
	if ro == nil || ro.orderVersion != orderVersion || ro.hasFailedAnalysis || ro.state() != RolloutRunning {
		return false
	}
	evidence := ro.analyzer.evaluate(totals)
	ro.hasFailedAnalysis = failsAnalysis(evidence, ro.progress(now))
	fields := []zap.Field{zap.String("service", service), zap.String("version", ro.order.To), zap.Float64("evidence", evidence), zap.Any("old", ro.analyzer.overall.totals.Old),
		zap.Any("new", ro.analyzer.overall.totals.New), zap.Float64("elapsed", ro.progress(now))}
	if ro.hasFailedAnalysis {
		ro.failedAt = now
		r.log.Warn("version failed analysis", append(fields, zap.Any("routes", totals))...)
	} else if share := r.share(ro, now); share != ro.loggedShare {
		ro.loggedShare = share
		r.log.Info("roll-out stage", append(fields, zap.Float64("share", share))...)
	}
	return ro.hasFailedAnalysis
}

// schedule returns the schedule of a roll-out under the settings in force.
func (r *rollouts) schedule(ro *serviceRollout) schedule {
	return newSchedule(r.settings().ExposureRatio, ro.order.Duration)
}

// share returns the share of sessions that the new version gets.
func (r *rollouts) share(ro *serviceRollout, now time.Time) float64 {
	return r.schedule(ro).share(ro.progress(now))
}

// pendingStatus is a status that is to be written if its row still has the expected
// version.
type pendingStatus struct {
	service         string
	status          RolloutStatus
	expectedVersion uint64
	// overdue is how long the status has been due; a standby waits before it writes.
	// remaining is the time from when it was due to the end of the roll-out's time.
	overdue   time.Duration
	remaining time.Duration
}

// pendingStatuses lists the statuses that are to be written.
func (r *rollouts) pendingStatuses(now time.Time) []pendingStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []pendingStatus
	for service, ro := range r.byService {
		if ro.order.To == "" || ro.isDecided() {
			continue
		}
		dueState, dueSince, completeFrom := RolloutRunning, ro.startedAt, r.schedule(ro).completeFrom
		switch {
		case ro.hasFailedAnalysis:
			dueState, dueSince = RolloutReverted, ro.failedAt
		case ro.progress(now) >= completeFrom:
			dueState, dueSince = RolloutCompleted, ro.startedAt.Add(time.Duration(completeFrom*float64(ro.order.Duration)))
		}
		if ro.hasCurrentStatus() && ro.status.State == dueState {
			continue
		}
		out = append(out, pendingStatus{service: service, status: RolloutStatus{State: dueState, To: ro.order.To}, expectedVersion: ro.statusVersion, overdue: now.Sub(dueSince), remaining: ro.startedAt.Add(ro.order.Duration).Sub(dueSince)})
	}
	return out
}

// running returns the versions of the orders in progress, by service.
func (r *rollouts) running() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]uint64{}
	for service, ro := range r.byService {
		if ro.order.To != "" && ro.state() == RolloutRunning {
			out[service] = ro.orderVersion
		}
	}
	return out
}
