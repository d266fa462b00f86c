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
	// snapshotInterval is the minimum time between two snapshots of a
	// controller's evidence. The interval grows by snapshotIntervalPerNode, as
	// the size of a snapshot grows with the fleet too.
	snapshotInterval        = 10 * time.Second
	snapshotIntervalPerNode = 100 * time.Millisecond
	// takeOverInterval is the time between two attempts to take over.
	takeOverInterval = 5 * time.Second
	// snapshotTimeout bounds one write or take-over.
	snapshotTimeout = 5 * time.Second
)

// snapshotter stores the state of this node's roll-out controllers, so that it
// outlives the process. It is used by one loop only.
type snapshotter struct {
	n        *Node
	store    snapshot.Store
	rollouts map[string]*rolloutSnapshot // by name of the roll-out
}

// rolloutSnapshot schedules the snapshots of one roll-out that this node
// controls.
type rolloutSnapshot struct {
	writer *snapshot.Writer
	next   time.Time // time of the next write or attempt to take over
}

func newSnapshotter(n *Node) *snapshotter {
	return &snapshotter{n: n, store: snapshot.Store{Table: n.options.Platform, Objects: n.options.Platform}, rollouts: map[string]*rolloutSnapshot{}}
}

// round takes over roll-outs that this node now controls and writes the
// snapshots that are due.
func (s *snapshotter) round(ctx context.Context) {
	view := s.n.members.Snapshot()
	roles, rev, now := assignEvidenceRoles(view), s.n.config.Current(), time.Now()
	for name := range rev.Config.Rollouts {
		if !rollout.IsRunning(rev, name) || roles.controllerOf(name) != s.n.options.Settings.ID {
			delete(s.rollouts, name)
			continue
		}
		if s.rollouts[name] == nil {
			s.rollouts[name] = &rolloutSnapshot{writer: s.store.NewWriter(rolloutKey(name), fmt.Sprintf("%s/%d", s.n.options.Settings.ID, s.n.members.Incarnation()))}
		}
		if current := s.rollouts[name]; !now.Before(current.next) {
			current.next = now.Add(s.takeOverOrWrite(ctx, current.writer, name, view.LiveCount()))
		}
	}
}

// takeOverOrWrite takes over a roll-out or writes its snapshot. It returns the
// time to wait until the next call.
func (s *snapshotter) takeOverOrWrite(ctx context.Context, w *snapshot.Writer, name string, nodes int) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if !w.IsCurrent() {
		s.takeOver(ctx, w, name)
		return takeOverInterval
	}
	body, err := s.n.encodeControllerState(name)
	if err == nil && body != nil {
		err = w.Write(ctx, rollout.ControllerStateSchema, body)
	}
	s.n.metrics.Snapshots.WithLabelValues(snapshotResult(err)).Inc()
	return max(snapshotInterval, time.Duration(nodes)*snapshotIntervalPerNode)
}

// takeOver becomes the only writer of a roll-out's snapshots and restores the
// newest one.
func (s *snapshotter) takeOver(ctx context.Context, w *snapshot.Writer, name string) {
	c, err := w.TakeOver(ctx, rollout.ControllerStateSchema)
	if err == nil && c.Body != nil {
		err = s.n.restoreControllerState(name, c.Body)
	}
	s.n.metrics.TakeOvers.WithLabelValues(snapshotResult(err)).Inc()
	if err == nil {
		s.n.options.Log.Info("controlling a roll-out", zap.String("rollout", name), zap.Uint64("generation", c.Generation))
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

// encodeControllerState returns the encoded controller state of a roll-out.
func (n *Node) encodeControllerState(name string) (json.RawMessage, error) {
	rev := n.config.Current()
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	return n.rollouts.controller.ExportState(rev, name)
}

// restoreControllerState restores the controller state of a roll-out from
// another node's snapshot.
func (n *Node) restoreControllerState(name string, body json.RawMessage) error {
	rev, now := n.config.Current(), time.Now()
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	return n.rollouts.controller.RestoreState(rev, name, body, now)
}
