package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/fleet"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

const ordersInterval = 2 * time.Second

// newOrders returns the part of the node that sends orders to model engines.
func (n *Node) newOrders() *fleet.Orders {
	return fleet.NewOrders(fleet.Options{
		Node: n.options.Settings.ID, Incarnation: n.members.Incarnation(),
		Table: n.platform, Weights: n.platform, Dialer: n.options.Dialer,
		Config:      n.config.Current,
		Replicas:    func() []routing.Replica { return n.members.Snapshot().Replicas },
		IsCandidate: n.isLeaseCandidate,
		OnSent:      n.logOrder,
	})
}

// isLeaseCandidate reports whether this node should hold the lease of a pool.
// The live node with the highest rendezvous score should.
func (n *Node) isLeaseCandidate(pool string) bool {
	var live []string
	for _, m := range n.members.Snapshot().Nodes {
		if m.IsLive && !m.State.Leaving {
			live = append(live, m.State.ID)
		}
	}
	return routing.HighestScoring(live, "orders/"+pool) == n.options.Settings.ID
}

func (n *Node) logOrder(replica string, order backend.Order, err error) {
	n.options.Log.Info("order to model engine", zap.String("replica", replica), zap.String("kind", string(order.Kind)),
		zap.Stringer("target", order.Target), zap.Uint64("fencing", order.Fencing), zap.Error(err))
}
