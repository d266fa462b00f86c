package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	probeInterval = time.Second
	// configInterval is how often the nodes that stand for a data centre look
	// for a new configuration, configFallback how often the others do.
	configInterval = 2 * time.Second
	configFallback = 5 * time.Second
	// vmShare times the number of live nodes is how often a node reads the
	// list of VMs, so that the fleet reads it once each vmShare.
	vmShare       = 500 * time.Millisecond
	vmIntervalMin = 2 * time.Second
	vmIntervalMax = 5 * time.Minute
	// intervalJitter is the share by which such an interval may be shorter.
	intervalJitter = 0.2
	// loopTick is how often a node looks whether a read of the store is due.
	loopTick = 500 * time.Millisecond
)

// followConfig asks the store for a newer revision: often on the nodes that
// stand for a data centre, now and then on the others.
func (n *Node) followConfig(ctx context.Context) {
	interval := configFallback
	if n.members.Snapshot().IsRelay(n.options.Settings.ID) || n.config.Current().Number == 0 {
		interval = configInterval
	}
	if !n.due(&n.configRead, interval) {
		return
	}
	head, _, err := n.store.Head(ctx)
	if err != nil || head.Number <= n.config.Current().Number {
		return
	}
	head.Config, err = n.content(ctx, head.Hash)
	if err != nil {
		return
	}
	n.take(head)
}

// content returns the configuration of a hash: the one in force if it did not
// change, else from the store.
func (n *Node) content(ctx context.Context, hash string) (*config.Config, error) {
	if current := n.config.Current(); current.Hash == hash {
		return current.Config, nil
	}
	return n.store.Content(ctx, hash)
}

// due tells whether interval has passed since *last, and if so moves it to
// now, less a random part so that nodes do not act together.
func (n *Node) due(last *time.Time, interval time.Duration) bool {
	now := time.Now()
	if now.Sub(*last) < interval {
		return false
	}
	*last = now.Add(-time.Duration(rand.Float64() * intervalJitter * float64(interval)))
	return true
}

// take puts a revision in force.
func (n *Node) take(rev *config.Revision) {
	if !n.config.Offer(rev) {
		return
	}
	n.owner.Configure(rev.Config)
	n.metrics.Revision.Set(float64(rev.Number))
	n.members.Update(time.Now(), func(s *wire.NodeState) { s.Revision = rev.Number })
	n.kickPeers()
	n.options.Log.Info("configuration in force", zap.Uint64("revision", rev.Number), zap.String("author", rev.Author), zap.String("note", rev.Note))
}

// followVMs reads the platform's list of VMs. Peers hear of what changed, so
// that the nodes can share the reading.
func (n *Node) followVMs(ctx context.Context) {
	interval := time.Duration(n.members.Snapshot().LiveCount()) * vmShare
	if !n.due(&n.vmsRead, min(max(interval, vmIntervalMin), vmIntervalMax)) {
		return
	}
	began := time.Now()
	vms, err := n.options.Platform.VMs(ctx)
	if err != nil {
		return
	}
	n.members.SetVMs(began, time.Now(), vms)
	n.own()
}

// own takes on the replicas that fall to this node, and gives up the rest.
func (n *Node) own() {
	n.owner.SetReplicas(n.members.Snapshot().Assigned(n.options.Settings.ID), n.config.Current().Config)
}

// probe asks the owned replicas for their load.
func (n *Node) probe(ctx context.Context) {
	n.owner.Probe(ctx, n.options.Dialer, n.isService)
	n.owner.ApplyHeadroom(n.members.Snapshot().Replica)
	n.metrics.PendingBills.Set(float64(n.bills.Pending()))
	n.members.Publish(time.Now(), n.owner.ReplicaStates())
}

// isService tells whether a pool is a plain service.
func (n *Node) isService(pool string) bool { return n.config.Current().Config.Services[pool] != nil }

// alive tells whether a node runs in the given incarnation.
func (n *Node) alive(id string, incarnation uint64) bool {
	if id == n.options.Settings.ID {
		return incarnation == n.members.Incarnation()
	}
	other, ok := n.members.Snapshot().Node(id)
	return ok && other.Live && other.State.Incarnation == incarnation
}
