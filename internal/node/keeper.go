package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/snapshot"
)

const (
	// keepInterval is how often a driver keeps its evidence at most. It grows
	// with the fleet by keepPerNode, as a snapshot does.
	keepInterval = 10 * time.Second
	keepPerNode  = 100 * time.Millisecond
	// keepRetry is the least time between two take-overs.
	keepRetry = 5 * time.Second
	// keepTimeout bounds one write or take-over.
	keepTimeout = 5 * time.Second
)

// keeper keeps the evidence that this node judges beyond its process. It is
// used by one loop alone.
type keeper struct {
	n     *Node
	store snapshot.Store
	kept  map[string]*kept // by roll-out
}

// kept is what this node keeps of one roll-out that it drives.
type kept struct {
	writer *snapshot.Writer
	next   time.Time // when to write or take over again
}

func newKeeper(n *Node) *keeper {
	return &keeper{n: n, store: snapshot.Store{Table: n.options.Platform, Objects: n.options.Platform}, kept: map[string]*kept{}}
}

// round takes over what this node drives now, and writes what is due.
func (k *keeper) round(ctx context.Context) {
	view := k.n.members.Snapshot()
	duties, rev, now := dutiesOf(view), k.n.config.Current(), time.Now()
	for name := range rev.Config.Rollouts {
		if !rollout.IsRunning(rev, name) || duties.driver(name) != k.n.options.Settings.ID {
			delete(k.kept, name)
			continue
		}
		if k.kept[name] == nil {
			k.kept[name] = &kept{writer: k.store.NewWriter(rolloutKey(name), fmt.Sprintf("%s/%d", k.n.options.Settings.ID, k.n.members.Incarnation()))}
		}
		if one := k.kept[name]; !now.Before(one.next) {
			one.next = now.Add(k.keep(ctx, one.writer, name, view.LiveCount()))
		}
	}
}

// keep takes over or writes, and returns how long to wait for the next time.
func (k *keeper) keep(ctx context.Context, w *snapshot.Writer, name string, nodes int) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if !w.Held() {
		k.takeOver(ctx, w, name)
		return keepRetry
	}
	body, err := k.n.remember(name)
	if err == nil && body != nil {
		err = w.Write(ctx, rollout.ControllerStateSchema, body)
	}
	k.n.metrics.Snapshots.WithLabelValues(snapshotResult(err)).Inc()
	return max(keepInterval, time.Duration(nodes)*keepPerNode)
}

// takeOver becomes the writer and goes on with what the one before kept.
func (k *keeper) takeOver(ctx context.Context, w *snapshot.Writer, name string) {
	c, err := w.TakeOver(ctx, rollout.ControllerStateSchema)
	if err == nil && c.Body != nil {
		err = k.n.recall(name, c.Body)
	}
	k.n.metrics.TakeOvers.WithLabelValues(snapshotResult(err)).Inc()
	if err == nil {
		k.n.options.Log.Info("driving a roll-out", zap.String("rollout", name), zap.Uint64("generation", c.Generation))
	}
}

func snapshotResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, snapshot.ErrFenced):
		return "fenced"
	case errors.Is(err, rollout.ErrStateMismatch):
		return "unfit"
	default:
		return "unavailable"
	}
}

// remember returns what this node knows of a roll-out.
func (n *Node) remember(name string) (json.RawMessage, error) {
	rev := n.config.Current()
	n.drivers.mu.Lock()
	defer n.drivers.mu.Unlock()
	return n.drivers.driver.ExportState(rev, name)
}

// recall takes over what another node knew of a roll-out.
func (n *Node) recall(name string, body json.RawMessage) error {
	rev, now := n.config.Current(), time.Now()
	n.drivers.mu.Lock()
	defer n.drivers.mu.Unlock()
	return n.drivers.driver.RestoreState(rev, name, body, now)
}
