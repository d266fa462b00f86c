package edge

import (
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
	orderRevision gossip.Revision // of the order's row
	status        RolloutStatus
	// statusRevision is that of the status row, with version 0 if there is none.
	statusRevision gossip.Revision
	// isCarried is set if the status was reached in an earlier era of the store, and
	// lostAt when the restored store lacks it: the zero time if it has it.
	isCarried bool
	lostAt    time.Time
	// isContinued is set once the store was restored during the roll-out.
	isContinued bool
	// held is an order of the restored store that may be older than order.
	held      heldOrder
	startedAt time.Time
	analyzer  *analyzer
	// hasFailedAnalysis is set once the new version failed the analysis, failedAt is when.
	hasFailedAnalysis bool
	failedAt          time.Time
	evidence          float64 // against the new version, of the last analysis
	// mayWiden is set if the canary of a short roll-out is wider in the second half,
	// isPlanned once that was decided.
	mayWiden, isPlanned bool
	// loggedShare is the last share of sessions that was logged.
	loggedShare float64
}

// heldOrder is an order that is applied if the store still has it some time after a
// restore. There is none if its time is zero.
type heldOrder struct {
	order    RolloutOrder
	revision gossip.Revision
	until    time.Time
}

// orderSettleTime is how long after a restore the store may hold an older order than it had
// acknowledged: what it lost is written again.
const orderSettleTime = 3 * time.Second

// hasCurrentStatus reports whether the status belongs to the order.
func (r *serviceRollout) hasCurrentStatus() bool {
	return r.status.To == r.order.To && (r.isCarried || r.orderRevision.Before(r.statusRevision))
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

// analysisFields returns what the last analysis was based on, for a log line.
func (r *serviceRollout) analysisFields() []zap.Field {
	totals := r.analyzer.overall.totals
	return []zap.Field{zap.Float64("evidence", r.evidence), zap.Any("old", totals.Old), zap.Any("new", totals.New)}
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
	// allWiden is set while all nodes widen the canary of a short roll-out.
	allWiden bool // guarded by mu
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
		switch service, ok := strings.CutPrefix(row.Key, t.RolloutPrefix); {
		case !ok:
		case row.Table != t.Operator:
			r.applyStatus(service, row, now)
		case !row.Deleted:
			r.applyOrder(row, now)
		}
	}
}

// applyOrder applies the row of an order. The caller holds mu.
func (r *rollouts) applyOrder(row gossip.Row, now time.Time) {
	o, err := r.schema.Rollout(row.Data)
	if err != nil {
		r.log.Error("invalid roll-out order skipped", zap.String("key", row.Key), telemetry.ErrorField(err))
		return
	}
	old, revision := r.ensureRollout(o.Service), row.Revision()
	if !old.orderRevision.Before(revision) {
		return
	}
	isRestored := old.order.To != "" && old.orderRevision.Era < revision.Era
	switch {
	case isRestored && o == old.order:
		// The store has the order again, from the copy or from the operator.
		old.isCarried, old.isContinued = old.hasCurrentStatus(), true
		old.orderRevision, old.held = revision, heldOrder{}
		r.log.Info("roll-out goes on in the restored store", zap.String("service", o.Service), zap.String("to", o.To), zap.Uint64("era", row.Era), zap.Uint64("row", row.Version))
	case isRestored && row.Version < old.orderRevision.Version && (old.held.until.IsZero() || old.held.revision.Era < row.Era):
		old.held = heldOrder{o, revision, now.Add(orderSettleTime)}
		r.log.Info("restored store has another order, which may be older and is not followed yet", zap.String("service", o.Service), zap.String("to", o.To), zap.Uint64("era", row.Era), zap.Uint64("row", row.Version))
	default:
		r.begin(o, revision, now)
	}
}

// begin starts the roll-out of an order. The caller holds mu.
func (r *rollouts) begin(o RolloutOrder, revision gossip.Revision, now time.Time) {
	old := r.ensureRollout(o.Service)
	r.byService[o.Service] = &serviceRollout{order: o, orderRevision: revision, status: old.status, statusRevision: old.statusRevision, startedAt: now, analyzer: newAnalyzer()}
	r.localTally.reset(o.Service)
	r.log.Info("roll-out ordered", zap.String("service", o.Service), zap.String("to", o.To), zap.Duration("duration", o.Duration), zap.Uint64("row", revision.Version))
}

// applyHeldOrders starts the roll-outs of held orders that the store still has.
func (r *rollouts) applyHeldOrders(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ro := range r.byService {
		if h := ro.held; !h.until.IsZero() && now.After(h.until) {
			r.begin(h.order, h.revision, now)
		}
	}
}

// applyStatus records a newer status. A decision is not taken back because the store was
// restored from a copy that lacks it. The caller holds mu.
func (r *rollouts) applyStatus(service string, row gossip.Row, now time.Time) {
	ro := r.ensureRollout(service)
	if !ro.statusRevision.Before(row.Revision()) {
		return
	}
	if row.Deleted {
		if row.Lost {
			ro.isCarried = ro.hasCurrentStatus()
			ro.statusRevision, ro.lostAt = gossip.Revision{Era: row.Era}, now
		}
		return
	}
	s, err := r.schema.RolloutStatus(row.Data)
	if err != nil {
		r.log.Error("invalid roll-out status skipped", zap.String("service", service), telemetry.ErrorField(err))
		return
	}
	isRestored := ro.statusRevision.Era < row.Era
	if isRestored && ro.isDecided() && s != ro.status {
		ro.isCarried, ro.lostAt = true, now
	} else {
		ro.isCarried, ro.lostAt = isRestored && ro.hasCurrentStatus() && s == ro.status, time.Time{}
		ro.status = s
	}
	ro.statusRevision = row.Revision()
	r.log.Info("roll-out status", zap.String("service", service), zap.String("to", s.To), zap.Int("state", int(s.State)), zap.Uint64("row", row.Version), zap.Bool("lost", !ro.lostAt.IsZero()))
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
	to, state, share, isPastHalf := ro.order.To, ro.state(), r.share(ro, now), ro.progress(now) >= moveStart
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

// mergeRemote applies what another node published of a roll-out: how long it has been
// in progress, so that a node that started meanwhile is in the same stage, and a
// failed analysis, since a node that did not see enough answers must not complete a
// roll-out whose version failed elsewhere.
func (r *rollouts) mergeRemote(service string, c rolloutCounts, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.byService[service]
	if ro == nil || ro.orderRevision != c.orderRevision() {
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
func (r *rollouts) evaluate(service string, order gossip.Revision, totals map[string]comparison, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.byService[service]
	if ro == nil || ro.orderRevision != order || ro.hasFailedAnalysis || ro.state() != RolloutRunning {
		return false
	}
	ro.evidence = ro.analyzer.evaluate(totals)
	ro.hasFailedAnalysis = failsAnalysis(ro.evidence, ro.progress(now))
	fields := append(ro.analysisFields(), zap.String("service", service), zap.String("version", ro.order.To), zap.Float64("elapsed", ro.progress(now)))
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
	return newSchedule(r.settings().ExposureRatio, ro.order.Duration, ro.mayWiden)
}

// setAllWiden sets whether all nodes widen the canary of a short roll-out.
func (r *rollouts) setAllWiden(allWiden bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allWiden = allWiden
}

// share returns the share of sessions that the new version gets. The caller holds mu.
func (r *rollouts) share(ro *serviceRollout, now time.Time) float64 {
	elapsed := ro.progress(now)
	if elapsed >= moveStart && !ro.isPlanned {
		// Beside nodes of an earlier release, sessions would change their version with each
		// node that serves them.
		ro.mayWiden, ro.isPlanned = r.allWiden, true
	}
	return r.schedule(ro).share(elapsed)
}

// pendingStatus is a status that is to be written if its row still has the expected
// version.
type pendingStatus struct {
	service  string
	status   RolloutStatus
	expected gossip.Revision
	// overdue is how long the status has been due; a standby waits before it writes.
	// remaining is the time from when it was due to the end of the roll-out's time.
	overdue   time.Duration
	remaining time.Duration
	analysis  []zap.Field
}

// pendingStatuses lists the statuses that are to be written.
func (r *rollouts) pendingStatuses(now time.Time) []pendingStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []pendingStatus
	for service, ro := range r.byService {
		if d, ok := r.pendingStatus(service, ro, now); ok {
			out = append(out, d)
		}
	}
	return out
}

// pendingStatus returns the status of a roll-out that is to be written, and false if there
// is none. The caller holds mu.
func (r *rollouts) pendingStatus(service string, ro *serviceRollout, now time.Time) (pendingStatus, bool) {
	d := pendingStatus{service: service, status: RolloutStatus{State: RolloutRunning, To: ro.order.To}, expected: ro.statusRevision, analysis: ro.analysisFields()}
	if ro.order.To == "" || ro.orderRevision.Era < ro.statusRevision.Era {
		// The status follows once the restored store has the order.
		return d, false
	}
	isLost := !ro.lostAt.IsZero()
	if ro.isDecided() && isLost {
		d.status, d.overdue, d.remaining = ro.status, now.Sub(ro.lostAt), statusWriters*maxStandbyDelay
		return d, true
	}
	dueSince, completeFrom := ro.startedAt, r.schedule(ro).completeFrom
	switch {
	case ro.isDecided():
		return d, false
	case ro.hasFailedAnalysis:
		d.status.State, dueSince = RolloutReverted, ro.failedAt
	case ro.progress(now) >= completeFrom:
		d.status.State, dueSince = RolloutCompleted, ro.startedAt.Add(time.Duration(completeFrom*float64(ro.order.Duration)))
	}
	d.overdue, d.remaining = now.Sub(dueSince), ro.startedAt.Add(ro.order.Duration).Sub(dueSince)
	return d, isLost || !ro.hasCurrentStatus() || ro.status.State != d.status.State
}

// running returns the revisions of the orders in progress, by service.
func (r *rollouts) running() map[string]gossip.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]gossip.Revision{}
	for service, ro := range r.byService {
		if ro.order.To != "" && ro.state() == RolloutRunning {
			out[service] = ro.orderRevision
		}
	}
	return out
}
