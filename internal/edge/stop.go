package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// acceptShare is the part of the time to stop during which new connections
	// are still taken, acceptMost bounds it: callers keep an address for the
	// directory's time to live, and a stream that begins later may not end before
	// the process does.
	acceptShare = 0.4
	acceptMost  = directoryTTL + 500*time.Millisecond
	// finishShare is the part of the time to stop at which what still runs is
	// cut; the rest is for the process to end.
	finishShare = 0.93
	// stopTick is how often a stop looks whether all requests have ended.
	stopTick = 50 * time.Millisecond
)

// stop leaves the directory at once, takes callers that do not know yet for a
// while, and lets running requests end.
func (n *Node) stop(life context.Context) {
	began := time.Now()
	s := n.settings.Load()
	n.stopping.Store(true)
	n.beat()
	n.o.Log.Info("stopping", zap.Int("running", n.forwarder.Running()), zap.Duration("time", s.StopTime))
	loop.Sleep(life, acceptTime(s.StopTime))
	ctx, cancel := context.WithDeadline(life, began.Add(time.Duration(finishShare*float64(s.StopTime))))
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.o.Log.Warn("requests are cut by the stop", zap.Int("running", n.forwarder.Running()), telemetry.Cause(err))
	}
	_ = n.callers.Close()
	n.unregister(life)
	n.o.Log.Info("stopped", zap.Int("unfinished", n.forwarder.Running()), zap.Int64("ms", time.Since(began).Milliseconds()))
}

// acceptTime returns how long a stop still takes new connections.
func acceptTime(stop time.Duration) time.Duration {
	return min(time.Duration(acceptShare*float64(stop)), acceptMost)
}

// unregister removes this node's row; a row that stays is found to be of a
// silent node.
func (n *Node) unregister(ctx context.Context) {
	if _, ok := n.rows.Get(tableSystem, n.memberKey()); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTick*4)
	defer cancel()
	if err := n.o.Store.Remove(ctx, tableSystem, n.memberKey()); err != nil {
		n.o.Log.Warn("node stays registered", telemetry.Cause(err))
	}
}
