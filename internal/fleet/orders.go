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
	// repeatAfter is how long an order is given to show in the engine's
	// reports before it is sent again.
	repeatAfter = 15 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 10 * time.Second
)

// Options are what Orders work with.
type Options struct {
	// Node and Incarnation are the own process's.
	Node        string
	Incarnation uint64
	Table       infra.Table
	Weights     infra.Weights
	Dialer      backend.Dialer
	// Config returns the revision in force, Replicas the replicas with the
	// versions they report.
	Config   func() *config.Revision
	Replicas func() []routing.Replica
	// Candidate tells whether this node should try to hold a pool's lease;
	// it saves calls of the store and decides nothing.
	Candidate func(pool string) bool
	// Sent is told of each order and its outcome.
	Sent func(replica string, order backend.Order, err error)
}

// orderKey names an order for the sake of not repeating it too soon.
type orderKey struct {
	replica string
	kind    backend.OrderKind
	target  config.Target
}

// Orders bring the engines of the pools that this node holds to the desired
// state. It is used by one goroutine.
type Orders struct {
	Options
	leases map[string]*Lease
	sent   map[orderKey]time.Time
	// loadAfter is when the weight store may be asked again.
	loadAfter time.Time
}

// NewOrders returns orders without any lease.
func NewOrders(o Options) *Orders {
	return &Orders{Options: o, leases: map[string]*Lease{}, sent: map[orderKey]time.Time{}}
}

// Round sends the orders that are due now, for each pool whose lease this
// node holds.
func (o *Orders) Round(ctx context.Context) {
	rev := o.Config()
	for pool := range rev.Config.Pools {
		if !o.Candidate(pool) {
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
		o.pool(ctx, pool, desired, lease)
	}
	o.forget(time.Now())
}

func (o *Orders) pool(ctx context.Context, pool string, desired []config.Target, lease *Lease) {
	for _, r := range o.Replicas() {
		if r.Pool != pool || !r.Usable {
			continue
		}
		for _, order := range Plan(desired, r.Targets) {
			if !o.due(r.ID, order) {
				continue
			}
			if order.Kind == backend.OrderLoad && !o.mayLoad(ctx, order.Target) {
				continue
			}
			o.send(ctx, r, order, lease)
		}
	}
}

// due tells whether an order was not sent a moment ago.
func (o *Orders) due(replica string, order backend.Order) bool {
	at, ok := o.sent[orderKey{replica, order.Kind, order.Target}]
	return !ok || time.Since(at) >= repeatAfter
}

// mayLoad asks the weight store for a load; while it says wait, nobody is
// asked.
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

// send sends one order, if the lease is still held at the last moment.
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
	o.Sent(r.ID, order, err)
}

// forget drops notes of orders that may be sent again anyway.
func (o *Orders) forget(now time.Time) {
	for key, at := range o.sent {
		if now.Sub(at) >= repeatAfter {
			delete(o.sent, key)
		}
	}
}
