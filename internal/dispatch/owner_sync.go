package dispatch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/platform"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// probesToFail is how many probes in a row must fail before a replica is
	// taken for dead.
	probesToFail = 2
	earlyKept    = 10 * time.Second
)

// Configure takes the ranks and weights of a revision.
func (o *Owner) Configure(c *config.Config) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ranks = slices.SortedFunc(maps.Values(c.Ranks), func(a, b *config.Rank) int { return cmp.Compare(a.Order, b.Order) })
	o.weights = map[string]float64{}
	for name, org := range c.Organisations {
		o.weights[name] = org.Weight
	}
	for _, r := range o.replicas {
		r.configure(o.ranks, slots(c, r.pool))
	}
}

func slots(c *config.Config, pool string) int {
	if p := c.Pools[pool]; p != nil {
		return p.Slots
	}
	if s := c.Services[pool]; s != nil {
		return s.Slots
	}
	return config.DefaultSlots
}

func floors(ranks []*config.Rank) []float64 {
	out := make([]float64, max(len(ranks), 1))
	for i, r := range ranks {
		out[i] = r.Floor
	}
	return out
}

func (r *replica) configure(ranks []*config.Rank, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.SetHighest(slots)
	if slices.EqualFunc(r.ranks, ranks, func(a, b *config.Rank) bool { return *a == *b }) {
		return
	}
	r.ranks = ranks
	r.queue = admission.NewQueue(floors(ranks))
	for _, w := range r.waiting {
		r.queue.Push(w.work)
	}
}

// Own makes the owner's replicas those listed: new ones start with an empty
// account, the waiting work of lost ones is sent away.
func (o *Owner) Own(vms []platform.VM, c *config.Config) {
	o.mu.Lock()
	defer o.mu.Unlock()
	keep := map[string]bool{}
	for _, vm := range vms {
		keep[vm.ID] = true
		r := o.replicas[vm.ID]
		if r == nil {
			r = o.newReplica(vm, c)
			o.replicas[vm.ID] = r
		}
		r.mu.Lock()
		r.leaving = vm.Leaving
		if r.leaving {
			r.refuseWaiting()
		}
		r.mu.Unlock()
	}
	for id, r := range o.replicas {
		if keep[id] {
			continue
		}
		r.mu.Lock()
		r.refuseWaiting()
		r.mu.Unlock()
		delete(o.replicas, id)
	}
}

func (o *Owner) newReplica(vm platform.VM, c *config.Config) *replica {
	return &replica{
		id: vm.ID, address: vm.Address, pool: vm.Pool, dataCentre: vm.DataCentre,
		ranks: o.ranks, queue: admission.NewQueue(floors(o.ranks)),
		limiter: admission.NewLimiter(TokenIntervalTarget, slots(c, vm.Pool)),
		running: map[string]*grant{}, waiting: map[string]*waiter{}, early: map[string]time.Time{},
		rate: firstTokensPerSecond,
	}
}

// Probe asks every owned replica for its load, all at once, and keeps what it
// answers.
func (o *Owner) Probe(ctx context.Context, dialer backend.Dialer, isService func(pool string) bool) {
	o.mu.Lock()
	list := slices.Collect(maps.Values(o.replicas))
	o.mu.Unlock()
	var wg sync.WaitGroup
	for _, r := range list {
		wg.Go(func() { r.probe(ctx, dialer, isService(r.pool)) })
	}
	wg.Wait()
}

func (r *replica) probe(ctx context.Context, dialer backend.Dialer, service bool) {
	var report backend.LoadReport
	var err error
	if service {
		report, err = dialer.Service(r.address).Load(ctx)
	} else {
		report, err = dialer.Engine(r.address).Load(ctx)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failures++
		if r.failures >= probesToFail {
			r.healthy = false
			r.refuseWaiting()
		}
		return
	}
	r.failures = 0
	r.healthy = !report.Draining
	r.targets = report.Targets
	if report.Draining {
		r.refuseWaiting()
	}
}

// Drop frees the places and waits of nodes that are gone; alive tells which
// are not.
func (o *Owner) Drop(alive func(node string, incarnation uint64) bool) {
	o.mu.Lock()
	list := slices.Collect(maps.Values(o.replicas))
	o.mu.Unlock()
	now := time.Now()
	for _, r := range list {
		r.mu.Lock()
		for id, g := range r.running {
			if !alive(g.args.Node, g.args.Incarnation) {
				delete(r.running, id)
			}
		}
		for id, at := range r.early {
			if now.Sub(at) > earlyKept {
				delete(r.early, id)
			}
		}
		r.pump(now)
		r.mu.Unlock()
	}
}

// Published returns what the node tells others of its replicas.
func (o *Owner) Published() []wire.ReplicaState {
	o.mu.Lock()
	list := slices.Collect(maps.Values(o.replicas))
	ranks := len(o.ranks)
	o.mu.Unlock()
	out := make([]wire.ReplicaState, 0, len(list))
	for _, r := range list {
		out = append(out, r.published(ranks))
	}
	slices.SortFunc(out, func(a, b wire.ReplicaState) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (r *replica) published(ranks int) wire.ReplicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := wire.ReplicaState{
		ID: r.id, Address: r.address, Pool: r.pool, DataCentre: r.dataCentre,
		Targets: r.targets, Running: len(r.running), Limit: r.limiter.Limit(),
		Healthy: r.healthy, Leaving: r.leaving,
	}
	for rank := range ranks {
		s.Waits = append(s.Waits, r.predictedWait(rank).Round(time.Millisecond))
	}
	return s
}
