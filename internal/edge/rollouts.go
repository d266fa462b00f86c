package edge

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// release is one roll-out as this node sees it. It is guarded by
// rollouts.mu.
type release struct {
	order   RolloutOrder
	row     uint64 // version of the order's row
	status  RolloutStatus
	written uint64 // version of the status row; 0 if there is none
	began   time.Time
	judge   *judge
	// bad is set once this node holds the version for bad, found is when.
	bad   bool
	found time.Time
	// logged is the last share of sessions that was logged.
	logged float64
}

// current tells whether the status belongs to the order.
func (r *release) current() bool {
	return r.written > r.row && r.status.To == r.order.To
}

// isDecided tells whether the status tells how the roll-out ended.
func (r *release) isDecided() bool { return r.current() && r.status.State != RolloutRunning }

// state returns the roll-out's state, by the status if it belongs to the order.
func (r *release) state() RolloutState {
	switch {
	case r.isDecided():
		return r.status.State
	case r.bad:
		return RolloutReverted
	default:
		return RolloutRunning
	}
}

func (r *release) elapsed(now time.Time) float64 {
	return float64(now.Sub(r.began)) / float64(max(r.order.Duration, time.Second))
}

// rollouts decides which version of a service answers a session, judges new
// versions, and tells the operator. It is safe for concurrent use.
type rollouts struct {
	schema   Schema
	sessions *sessions
	settings func() *Settings
	log      *zap.Logger
	mu       sync.Mutex
	releases map[string]*release     // guarded by mu; by service
	starts   map[string]rolloutStart // guarded by mu; by service
	local    *tally                  // what this node saw
}

func newRollouts(schema Schema, s *sessions, settings func() *Settings, log *zap.Logger) *rollouts {
	return &rollouts{schema: schema, sessions: s, settings: settings, log: log, releases: map[string]*release{}, starts: map[string]rolloutStart{}, local: newTally()}
}

// apply follows orders and statuses.
func (r *rollouts) apply(rows []news.Row, now time.Time) {
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

func (r *rollouts) applyOrder(row news.Row, now time.Time) {
	o, err := r.schema.Rollout(row.Data)
	if err != nil {
		r.log.Error("roll-out order passed over", zap.String("key", row.Key), telemetry.Cause(err))
		return
	}
	old := r.release(o.Service)
	if old.row >= row.Version {
		return
	}
	r.releases[o.Service] = &release{order: o, row: row.Version, status: old.status, written: old.written, began: now, judge: newJudge()}
	r.local.reset(o.Service)
	r.log.Info("roll-out ordered", zap.String("service", o.Service), zap.String("to", o.To), zap.Duration("duration", o.Duration), zap.Uint64("row", row.Version))
}

func (r *rollouts) applyStatus(service string, row news.Row) {
	s, err := r.schema.RolloutStatus(row.Data)
	if err != nil {
		r.log.Error("roll-out status passed over", zap.String("service", service), telemetry.Cause(err))
		return
	}
	x := r.release(service)
	if x.written >= row.Version {
		return
	}
	x.status, x.written = s, row.Version
	r.log.Info("roll-out status", zap.String("service", service), zap.String("to", s.To), zap.Int("state", int(s.State)), zap.Uint64("row", row.Version))
}

// release returns the roll-out of a service. The caller holds mu.
func (r *rollouts) release(service string) *release {
	x := r.releases[service]
	if x == nil {
		x = &release{judge: newJudge()}
		r.releases[service] = x
	}
	return x
}

// Pick implements forward.Versions.
func (r *rollouts) Pick(service, session string, now time.Time) forward.Choice {
	r.mu.Lock()
	x := r.releases[service]
	if x == nil || x.order.To == "" {
		r.mu.Unlock()
		return forward.Choice{}
	}
	to, state, share, half := x.order.To, x.state(), r.share(x, now), x.elapsed(now) >= 0.5
	r.mu.Unlock()
	switch {
	case state == RolloutCompleted:
		return forward.Choice{Only: to}
	case state == RolloutReverted:
		return forward.Choice{Except: to}
	case sessionPoint(service, session) >= share:
		return forward.Choice{Except: to}
	case !half && r.underWay(service, session, to, now):
		return forward.Choice{Except: to}
	default:
		return forward.Choice{Prefer: to, Share: share}
	}
}

// underWay tells whether a session goes on with a version other than to.
func (r *rollouts) underWay(service, session, to string, now time.Time) bool {
	v := r.sessions.version(service, session, r.settings().SessionLife, now)
	return v != "" && v != to
}

// Observe implements forward.Versions.
func (r *rollouts) Observe(service, version string, o forward.Observation, now time.Time) {
	if o.Session != "" {
		r.sessions.used(service, o.Session, version, now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.releases[service]
	if x == nil || x.order.To == "" || x.state() != RolloutRunning {
		return
	}
	r.local.add(service, version == x.order.To, o)
}

// rolloutStart tells when a roll-out began, for nodes that start when none is
// left that knows.
type rolloutStart struct {
	To string `json:"to"`
	// Order is the version of the order's row, StartedMS the time by the store's
	// clock.
	Order     uint64 `json:"order"`
	StartedMS int64  `json:"started_ms"`
}

// applyStarts notes when roll-outs began.
func (r *rollouts) applyStarts(rows []news.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		service, ok := strings.CutPrefix(row.Key, prefixStart)
		if !ok || row.Deleted {
			continue
		}
		var s rolloutStart
		if err := json.Unmarshal(row.Data, &s); err != nil {
			r.log.Warn("start of a roll-out is unreadable", zap.String("service", service), telemetry.Cause(err))
			continue
		}
		r.starts[service] = s
	}
}

// start returns the row that tells when a roll-out began, by the store's clock.
func (r *rollouts) start(service string, clock time.Duration, now time.Time) rolloutStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.release(service)
	return rolloutStart{To: x.order.To, Order: x.row, StartedMS: (clock - now.Sub(x.began)).Milliseconds()}
}

// resume takes the time that roll-outs are under way from their starts.
func (r *rollouts) resume(clock time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, s := range r.starts {
		x := r.releases[service]
		if x == nil || x.row != s.Order {
			continue
		}
		elapsed := clock - time.Duration(s.StartedMS)*time.Millisecond
		if began := now.Add(-elapsed); began.Before(x.began.Add(-resumeSlack)) {
			r.log.Info("roll-out goes on", zap.String("service", service), zap.String("to", s.To), zap.Duration("elapsed", elapsed))
			x.began = began
		}
	}
}

// resumeSlack is the difference between clocks that does not count.
const resumeSlack = 500 * time.Millisecond

// adopt takes from another node how long a roll-out is under way, so that a
// node that started meanwhile has the same stage, and its verdict: one node that
// did not see enough must not complete what the others hold for bad.
func (r *rollouts) adopt(service string, c counts, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.releases[service]
	if x == nil || x.row != c.Order {
		return
	}
	if elapsed := time.Duration(c.ElapsedMS) * time.Millisecond; now.Sub(x.began) < elapsed {
		x.began = now.Add(-elapsed)
	}
	if c.Bad && !x.bad && !x.isDecided() {
		x.bad, x.found = true, now
		r.log.Warn("version found bad by another node", zap.String("service", service), zap.String("version", x.order.To))
	}
}

// evaluate takes what all nodes saw of a service, by route, and tells whether
// its new version was just found to be bad.
func (r *rollouts) evaluate(service string, order uint64, totals map[string]comparison, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.releases[service]
	if x == nil || x.row != order || x.bad || x.state() != RolloutRunning {
		return false
	}
	evidence := x.judge.evaluate(totals)
	x.bad = convicts(evidence, x.elapsed(now))
	fields := []zap.Field{zap.String("service", service), zap.String("version", x.order.To), zap.Float64("evidence", evidence), zap.Any("old", x.judge.all.seen.Old),
		zap.Any("new", x.judge.all.seen.New), zap.Float64("elapsed", x.elapsed(now))}
	if x.bad {
		x.found = now
		r.log.Warn("version found bad", append(fields, zap.Any("routes", totals))...)
	} else if share := r.share(x, now); share != x.logged {
		x.logged = share
		r.log.Info("roll-out stage", append(fields, zap.Float64("share", share))...)
	}
	return x.bad
}

// schedule returns how a release proceeds under the settings in force.
func (r *rollouts) schedule(x *release) schedule {
	return newSchedule(r.settings().ExposureRatio, x.order.Duration)
}

// share returns the share of sessions that the new version gets.
func (r *rollouts) share(x *release, now time.Time) float64 {
	return r.schedule(x).share(x.elapsed(now))
}

// pendingStatus is a status that is to be written.
type pendingStatus struct {
	service  string
	status   RolloutStatus
	expected uint64
	// late is how long it has been due, for a standby to wait before it steps in;
	// left is the time from when it was due to the end of the roll-out's time.
	late time.Duration
	left time.Duration
}

// pendingStatuses lists the statuses that are to be written.
func (r *rollouts) pendingStatuses(now time.Time) []pendingStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []pendingStatus
	for service, x := range r.releases {
		if x.order.To == "" || x.isDecided() {
			continue
		}
		want, since, from := RolloutRunning, x.began, r.schedule(x).completeFrom
		switch {
		case x.bad:
			want, since = RolloutReverted, x.found
		case x.elapsed(now) >= from:
			want, since = RolloutCompleted, x.began.Add(time.Duration(from*float64(x.order.Duration)))
		}
		if x.current() && x.status.State == want {
			continue
		}
		out = append(out, pendingStatus{service: service, status: RolloutStatus{State: want, To: x.order.To}, expected: x.written, late: now.Sub(since), left: x.began.Add(x.order.Duration).Sub(since)})
	}
	return out
}

// running returns the versions of the orders under way, by service.
func (r *rollouts) running() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]uint64{}
	for service, x := range r.releases {
		if x.order.To != "" && x.state() == RolloutRunning {
			out[service] = x.row
		}
	}
	return out
}
