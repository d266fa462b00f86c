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
	// standIn is how long a status must be overdue for the next node in line to
	// write it in place of the first, which may be gone or refused by the store.
	standIn = 1200 * time.Millisecond
	// writers is how many nodes in line have their turn before a roll-out's time
	// is over.
	writers = 8
)

// standInFor returns the stand-in time of a status that must be written within
// some time of its being due.
func standInFor(left time.Duration) time.Duration { return min(standIn, left/writers) }

// judge shares what this node saw of new versions, weighs what all saw, and
// writes the statuses that are due. Any node may write: the condition on the
// row's version lets one of them win.
func (n *Node) judge(ctx context.Context) {
	now := time.Now()
	if clock, ok := n.o.Store.Clock(); ok {
		n.rollouts.resume(clock, now)
	}
	n.evidence.publish(n.rollouts, n.members.count(), now)
	for service, order := range n.rollouts.running() {
		n.rollouts.evaluate(service, order, n.evidence.totals(service, order), now)
	}
	for _, d := range n.rollouts.pendingStatuses(now) {
		if d.late >= time.Duration(n.driverTurn(d.service))*standInFor(d.left) {
			n.writeStatus(ctx, d)
		}
	}
}

// driverTurn returns this node's place among those that may write a service's
// status.
func (n *Node) driverTurn(service string) int {
	var nodes []string
	for _, m := range n.members.alive() {
		if !m.Stopping {
			nodes = append(nodes, m.Inner)
		}
	}
	for i, inner := range routing.Rendezvous(nodes, "rollout/"+service) {
		if inner == n.inner {
			return i
		}
	}
	return len(nodes)
}

func (n *Node) writeStatus(ctx context.Context, d pendingStatus) {
	raw, err := n.o.Schema.EncodeRolloutStatus(d.status)
	if err != nil {
		n.o.Log.Error("roll-out status is not written", telemetry.Cause(err))
		return
	}
	t := n.o.Schema.Tables()
	ok, err := n.o.Store.Write(ctx, t.Status, t.RolloutPrefix+d.service, d.expected, raw)
	n.reader.calls("status", outcomeOf(err))
	n.o.Log.Info("roll-out status written", zap.String("service", d.service), zap.String("to", d.status.To), zap.Int("state", int(d.status.State)),
		zap.Uint64("expected", d.expected), zap.Bool("stored", ok), telemetry.Cause(err), zap.Int64("late_ms", d.late.Milliseconds()))
	// The row's own version is learned by reading it back: an answer may be lost
	// after the write was done.
	n.readStatus(ctx, t.Status)
	if ok && d.status.State == RolloutRunning {
		n.writeStart(ctx, d.service)
	}
}

// writeStart keeps when a roll-out began in the store: all nodes may be lost at
// once.
func (n *Node) writeStart(ctx context.Context, service string) {
	clock, known := n.o.Store.Clock()
	if !known {
		n.o.Log.Warn("start of the roll-out is not kept: the store has not told its time", zap.String("service", service))
		return
	}
	raw, err := json.Marshal(n.rollouts.start(service, clock, time.Now()))
	if err != nil {
		n.o.Log.Error("start of the roll-out is not kept", telemetry.Cause(err))
		return
	}
	row, _ := n.rows.Get(tableSystem, prefixStart+service)
	stored, err := n.o.Store.Write(ctx, tableSystem, prefixStart+service, row.Version, raw)
	n.reader.calls("status", outcomeOf(err))
	if err != nil || !stored {
		n.o.Log.Warn("start of the roll-out is not kept", zap.String("service", service), zap.Bool("stored", stored), telemetry.Cause(err))
	}
}

// readStatus reads the statuses again.
func (n *Node) readStatus(ctx context.Context, table string) {
	rows, version, err := n.o.Store.Read(ctx, table)
	n.reader.calls("read", outcomeOf(err))
	if err != nil {
		n.o.Log.Warn("roll-out statuses are not read back", telemetry.Cause(err))
		return
	}
	n.rows.Replace(table, rows, version)
}
