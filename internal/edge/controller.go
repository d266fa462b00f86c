package edge

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// maxStandbyDelay is how long a status must be overdue before the next node in line
	// writes it. The first node may be gone, or the store may refuse its write.
	maxStandbyDelay = 1200 * time.Millisecond
	// statusWriters is how many nodes in line have a turn to write a status before the
	// roll-out's time is over.
	statusWriters = 8
	// startStoreInterval is the least time between two writes of when a roll-out began.
	startStoreInterval = 2 * time.Second
)

// standbyDelay returns the delay between the turns of two nodes in line. remaining is
// the time from when the status was due until it must be written.
func standbyDelay(remaining time.Duration) time.Duration {
	return min(maxStandbyDelay, remaining/statusWriters)
}

// controlRollouts publishes this node's counts of new versions, evaluates the counts
// of all nodes, and writes the statuses that are due. Any node may write: the
// condition on the row's version lets one of them win.
func (n *Node) controlRollouts(ctx context.Context) {
	now := time.Now()
	if clock, ok := n.options.Store.Clock(); ok {
		n.rollouts.applyStoredStarts(clock, now)
	}
	n.rollouts.setAllWiden(n.members.widenCanaries())
	n.evidence.publish(n.rollouts, n.members.count(), now)
	for service, order := range n.rollouts.running() {
		n.rollouts.evaluate(service, order, n.evidence.totals(service, order), now)
	}
	n.rollouts.applyHeldOrders(now)
	for _, service := range n.rollouts.unstoredStarts() {
		if n.controllerTurn(service) == 0 && now.Sub(n.startStoredAt) > startStoreInterval {
			n.startStoredAt = now
			n.storeRolloutStart(ctx, service)
		}
	}
	for _, d := range n.rollouts.pendingStatuses(now) {
		if d.overdue >= time.Duration(n.controllerTurn(d.service))*standbyDelay(d.remaining) {
			n.writeStatus(ctx, d)
		}
	}
}

// controllerTurn returns this node's turn among those that may write a service's
// status; 0 writes first.
func (n *Node) controllerTurn(service string) int {
	var nodes []string
	for _, m := range n.members.live() {
		if !m.Stopping {
			nodes = append(nodes, m.Inner)
		}
	}
	for i, inner := range routing.Rendezvous(nodes, "rollout/"+service) {
		if inner == n.innerAddress {
			return i
		}
	}
	return len(nodes)
}

// writeStatus writes one due status to the store and reads the table back.
func (n *Node) writeStatus(ctx context.Context, d pendingStatus) {
	raw, err := n.options.Schema.EncodeRolloutStatus(d.status)
	if err != nil {
		n.options.Log.Error("cannot encode roll-out status, not written", telemetry.ErrorField(err))
		return
	}
	t := n.options.Schema.Tables()
	if d.expected.Version == 0 {
		d.expected.Era = n.rows.Cursor(t.Status).Era
	}
	ok, err := n.options.Store.Write(ctx, t.Status, t.RolloutPrefix+d.service, d.expected, raw)
	n.reader.countCall("status", outcomeOf(err))
	n.options.Log.Info("roll-out status written", append(d.analysis, zap.String("service", d.service), zap.String("to", d.status.To), zap.Int("state", int(d.status.State)),
		zap.Uint64("expected", d.expected.Version), zap.Bool("stored", ok), telemetry.ErrorField(err), zap.Int64("late_ms", d.overdue.Milliseconds()))...)
	// The row's version is read back from the store: an answer may be lost after the write
	// was done.
	n.reloadStatuses(ctx, t.Status)
	if ok && d.status.State == RolloutRunning {
		n.storeRolloutStart(ctx, d.service)
	}
}

// storeRolloutStart stores when a roll-out began, since all nodes may be lost at once.
func (n *Node) storeRolloutStart(ctx context.Context, service string) {
	clock, known := n.options.Store.Clock()
	if !known {
		n.options.Log.Warn("start of the roll-out is not stored: the store's clock is unknown", zap.String("service", service))
		return
	}
	raw, err := json.Marshal(n.rollouts.startRow(service, clock, time.Now()))
	if err != nil {
		n.options.Log.Error("start of the roll-out is not stored", telemetry.ErrorField(err))
		return
	}
	key := startKeyPrefix + service
	stored, err := n.options.Store.Write(ctx, tableSystem, key, n.rows.Expected(tableSystem, key), raw)
	n.reader.countCall("status", outcomeOf(err))
	if err != nil || !stored {
		n.options.Log.Warn("start of the roll-out is not stored", zap.String("service", service), zap.Bool("stored", stored), telemetry.ErrorField(err))
	}
}

// reloadStatuses reads the table of statuses again.
func (n *Node) reloadStatuses(ctx context.Context, table string) {
	if err := n.reader.readTable(ctx, table); err != nil {
		n.options.Log.Warn("cannot read back roll-out statuses", telemetry.ErrorField(err))
	}
}
