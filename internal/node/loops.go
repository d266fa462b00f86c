package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	probeInterval = time.Second
	// configInterval is how often relay nodes look for a new configuration,
	// configFallbackInterval how often the other nodes do.
	configInterval         = 2 * time.Second
	configFallbackInterval = 5 * time.Second
	// A node reads the list of VMs every vmIntervalPerNode times the number of
	// live nodes, so that the whole fleet reads it once per vmIntervalPerNode.
	vmIntervalPerNode = 500 * time.Millisecond
	vmIntervalMin     = 2 * time.Second
	vmIntervalMax     = 5 * time.Minute
	// intervalJitter is the maximum share by which such an interval is
	// shortened at random.
	intervalJitter = 0.2
	// loopTick is how often a node checks whether a read of the store is due.
	loopTick = 500 * time.Millisecond
)

// followConfig reads a newer revision from the store. Relay nodes do so more
// often than the others.
func (n *Node) followConfig(ctx context.Context) {
	interval := configFallbackInterval
	if n.members.Snapshot().IsRelay(n.options.Settings.ID) || n.config.Current().Number == 0 {
		interval = configInterval
	}
	if !n.advanceIfDue(&n.configRead, interval) {
		return
	}
	head, _, err := n.store.Head(ctx)
	if err != nil || head.Number <= n.config.Current().Number {
		return
	}
	head.Config, err = n.configContent(ctx, head.Hash)
	if err != nil {
		return
	}
	n.applyRevision(head)
}

// configContent returns the configuration with the given hash: the one in force
// if its hash is the same, otherwise the one read from the store.
func (n *Node) configContent(ctx context.Context, hash string) (*config.Config, error) {
	if current := n.config.Current(); current.Hash == hash {
		return current.Config, nil
	}
	return n.store.Content(ctx, hash)
}

// advanceIfDue reports whether interval has passed since *last. If so, it sets
// *last to now less a random part of the interval, so that nodes do not act in
// step.
func (n *Node) advanceIfDue(last *time.Time, interval time.Duration) bool {
	now := time.Now()
	if now.Sub(*last) < interval {
		return false
	}
	*last = now.Add(-time.Duration(rand.Float64() * intervalJitter * float64(interval)))
	return true
}

// applyRevision puts a newer revision in force.
func (n *Node) applyRevision(rev *config.Revision) {
	if !n.config.ReplaceIfNewer(rev) {
		return
	}
	n.owner.Configure(rev.Config)
	n.metrics.Revision.Set(float64(rev.Number))
	n.members.Update(time.Now(), func(s *wire.NodeState) { s.Revision = rev.Number })
	n.triggerExchange()
	n.options.Log.Info("configuration in force", zap.Uint64("revision", rev.Number), zap.String("author", rev.Author), zap.String("note", rev.Note))
}

// followVMs reads the platform's list of VMs. Changes are gossiped to peers, so
// that the nodes share the reads.
func (n *Node) followVMs(ctx context.Context) {
	interval := time.Duration(n.members.Snapshot().LiveCount()) * vmIntervalPerNode
	if !n.advanceIfDue(&n.vmsRead, min(max(interval, vmIntervalMin), vmIntervalMax)) {
		return
	}
	start := time.Now()
	vms, err := n.options.Platform.VMs(ctx)
	if err != nil {
		return
	}
	n.members.SetVMs(start, time.Now(), vms)
	n.updateOwnedReplicas()
}

// updateOwnedReplicas takes over the replicas assigned to this node and gives
// up all others.
func (n *Node) updateOwnedReplicas() {
	n.owner.SetReplicas(n.members.Snapshot().Assigned(n.options.Settings.ID), n.config.Current().Config)
}

// probeReplicas probes the load of the owned replicas and publishes their
// states.
func (n *Node) probeReplicas(ctx context.Context) {
	n.owner.Probe(ctx, n.options.Dialer, n.isService)
	n.owner.ApplyHeadroom(n.members.Snapshot().Replica)
	n.metrics.PendingBills.Set(float64(n.bills.Pending()))
	n.members.Publish(time.Now(), n.owner.ReplicaStates())
}

// logLimit logs a change of the limit that a backend server names.
func (n *Node) logLimit(c dispatch.LimitChange) {
	fields := []zap.Field{zap.String("replica", c.Replica), zap.Float64("limit", c.Limit), zap.Float64("before", c.Before)}
	if c.Err != nil {
		n.options.Log.Warn("invalid limit of backend server", append(fields, telemetry.ErrorField(c.Err))...)
		return
	}
	n.options.Log.Info("backend server changed its limit", fields...)
}

// isService reports whether a pool is a plain service.
func (n *Node) isService(pool string) bool { return n.config.Current().Config.Services[pool] != nil }

// isLive reports whether a node is live in the given incarnation.
func (n *Node) isLive(id string, incarnation uint64) bool {
	if id == n.options.Settings.ID {
		return incarnation == n.members.Incarnation()
	}
	other, ok := n.members.Snapshot().Node(id)
	return ok && other.IsLive && other.State.Incarnation == incarnation
}
