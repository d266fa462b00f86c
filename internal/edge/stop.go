package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// acceptRatio is the part of the stop time during which new connections are still
	// accepted, and maxAcceptTime bounds it: callers keep an address for the directory's
	// time to live, and a stream that begins later may not end before the process does.
	acceptRatio   = 0.4
	maxAcceptTime = directoryTTL + 500*time.Millisecond
	// finishRatio is the part of the stop time at which requests still in progress are cut
	// off. The rest is for the process to end.
	finishRatio = 0.93
	// interruptTime is how long the requests that are cut off may take to write their
	// answers.
	interruptTime = 100 * time.Millisecond
	// interruptPoll is how often that is checked.
	interruptPoll = 5 * time.Millisecond
	// unregisterTimeoutStep is a quarter of the time that the removal of this node's row
	// may take.
	unregisterTimeoutStep = 50 * time.Millisecond
)

// stop withdraws the node from the directory at once, accepts callers with cached
// addresses for a while, and lets requests in progress end. Requests that could not end in
// time are refused, and those that have not ended are answered before the process ends.
func (n *Node) stop(lifetime context.Context) {
	began := time.Now()
	s := n.settings.Load()
	end := began.Add(time.Duration(finishRatio * float64(s.StopTime)))
	n.stopsAt.Store(&end)
	n.stopping.Store(true)
	n.permits.roster.Stop()
	n.sendHeartbeat()
	n.options.Log.Info("stopping", zap.Int("running", n.forwarder.Running()), zap.Duration("time", s.StopTime))
	loop.Sleep(lifetime, acceptTime(s.StopTime))
	ctx, cancel := context.WithDeadline(lifetime, end)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.options.Log.Warn("requests in progress cut off at shutdown", zap.Int("running", n.forwarder.Running()), telemetry.ErrorField(err))
	}
	n.interrupt(lifetime)
	_ = n.callers.Close()
	n.relay.drain(ctx)
	n.unregister(lifetime)
	n.options.Log.Info("stopped", zap.Int("unfinished", n.forwarder.Running()), zap.Int64("ms", time.Since(began).Milliseconds()))
}

// interrupt ends the requests in progress and waits until they have written their answers.
func (n *Node) interrupt(ctx context.Context) {
	n.forwarder.Interrupt()
	ctx, cancel := context.WithTimeout(ctx, interruptTime)
	defer cancel()
	for n.forwarder.Running() > 0 && ctx.Err() == nil {
		loop.Sleep(ctx, interruptPoll)
	}
}

// acceptTime returns how long a stopping node still accepts new connections.
func acceptTime(stopTime time.Duration) time.Duration {
	return min(time.Duration(acceptRatio*float64(stopTime)), maxAcceptTime)
}

// unregister removes this node's row. If the row stays, other nodes find that the node
// does not answer.
func (n *Node) unregister(ctx context.Context) {
	if _, ok := n.rows.Get(tableSystem, n.memberKey()); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, unregisterTimeoutStep*4)
	defer cancel()
	if err := n.options.Store.Remove(ctx, tableSystem, n.memberKey()); err != nil {
		n.options.Log.Warn("cannot remove the node's row", telemetry.ErrorField(err))
	}
}
