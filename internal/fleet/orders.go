package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

const (
	// repeatAfter is how long an engine has to show an order's effect in its
	// reports before the order is sent again.
	repeatAfter = 15 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 10 * time.Second
)

// Options holds the settings and dependencies of Orders.
type Options struct {
	// Node and Incarnation identify this process.
	Node        string
	Incarnation uint64
	Table       infra.Table
	Weights     infra.Weights
	Dialer      backend.Dialer
	// Config returns the revision in force, Replicas the replicas with the
	// versions that they report.
	Config   func() *config.Revision
	Replicas func() []routing.Replica
	// IsCandidate reports whether this node should try to hold a pool's lease. It
	// only saves calls to the table: the lease decides.
	IsCandidate func(pool string) bool
	// OnSent is called with each order and its outcome.
	OnSent func(replica string, order backend.Order, err error)
}

// orderKey identifies an order, so that it is not repeated too soon.
type orderKey struct {
	replica string
	kind    backend.OrderKind
	target  config.Target
}

// Orders brings the engines of the pools whose leases this node holds to the
// desired state. It is not safe for concurrent use.
type Orders struct {
	Options
	leases map[string]*Lease
	sent   map[orderKey]time.Time
	// loadAfter is when the weight store may be asked again.
	loadAfter time.Time
}

// NewOrders returns Orders that hold no lease.
func NewOrders(o Options) *Orders {
	return &Orders{Options: o, leases: map[string]*Lease{}, sent: map[orderKey]time.Time{}}
}

// Round sends the orders that are due now, for each pool whose lease this node
// holds.
func (o *Orders) Round(ctx context.Context) {
	rev := o.Config()
	for pool := range rev.Config.Pools {
		if !o.IsCandidate(pool) {
			delete(o.leases, pool)
			continue
		}
		lease := o.leases[pool]
		if lease == nil {
			lease = NewLease(o.Table, pool, o.Node, o.Incarnation)
			o.leases[pool] = lease
		}
		desired := Desired(rev, pool)
		if len(desired) == 0 || lease.Acquire(ctx) != nil {
			continue
		}
		o.orderPool(ctx, pool, desired, lease)
	}
	o.forgetSent(time.Now())
}

func (o *Orders) orderPool(ctx context.Context, pool string, desired []config.Target, lease *Lease) {
	for _, r := range o.Replicas() {
		if r.Pool != pool || !r.Usable {
			continue
		}
		for _, order := range Plan(desired, r.Targets) {
			if !o.isDue(r.ID, order) {
				continue
			}
			if order.Kind == backend.OrderLoad && !o.mayLoad(ctx, order.Target) {
				continue
			}
			o.send(ctx, r, order, lease)
		}
	}
}

// isDue reports whether an order was not sent within repeatAfter.
func (o *Orders) isDue(replica string, order backend.Order) bool {
	at, ok := o.sent[orderKey{replica, order.Kind, order.Target}]
	return !ok || time.Since(at) >= repeatAfter
}

// mayLoad asks the weight store whether a load may start. It does not ask again
// before the wait that the store returned has passed.
func (o *Orders) mayLoad(ctx context.Context, t config.Target) bool {
	if time.Now().Before(o.loadAfter) {
		return false
	}
	wait, err := o.Weights.Acquire(ctx, t.String())
	if err != nil {
		wait = repeatAfter
	}
	if wait > 0 {
		o.loadAfter = time.Now().Add(wait)
		return false
	}
	return true
}

// send sends one order if the lease is still held just before.
func (o *Orders) send(ctx context.Context, r routing.Replica, order backend.Order, lease *Lease) {
	now := time.Now()
	number, ok := lease.Number(now)
	if !ok {
		return
	}
	order.Fencing = number
	o.sent[orderKey{r.ID, order.Kind, order.Target}] = now
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.Dialer.Engine(r.Address).Order(ctx, order)
	var failure *backend.Error
	if errors.As(err, &failure) && failure.Kind == backend.KindFenced {
		lease.Drop()
	}
	o.OnSent(r.ID, order, err)
}

// forgetSent deletes the records of orders that may be sent again.
func (o *Orders) forgetSent(now time.Time) {
	for key, at := range o.sent {
		if now.Sub(at) >= repeatAfter {
			delete(o.sent, key)
		}
	}
}
