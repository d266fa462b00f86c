package dispatch

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// probesToFail is how many probes in a row must fail before a replica is
	// taken for dead.
	probesToFail = 2
	earlyKept    = 10 * time.Second
	// reservedSlots is kept free on each replica for the most urgent rank.
	reservedSlots = 1
	// modestPart is the part of its fair share below which an organisation's
	// least urgent work is promoted.
	modestPart = 0.7
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
		slots, memory := size(c, r.pool)
		r.configure(o.ranks, slots, memory)
	}
}

// size returns the largest batch and the KV cache of a pool's replicas, in
// tokens; 0 tokens is unlimited.
func size(c *config.Config, pool string) (slots, memory int) {
	if p := c.Pools[pool]; p != nil {
		return p.Slots, p.KVTokens
	}
	if s := c.Services[pool]; s != nil {
		return s.Slots, 0
	}
	return config.DefaultSlots, 0
}

// policies returns what a gate needs to know of the ranks.
func policies(ranks []*config.Rank) []admission.RankPolicy {
	out := make([]admission.RankPolicy, max(len(ranks), 1))
	for i, r := range ranks {
		out[i] = admission.RankPolicy{Floor: r.Floor, Preempts: r.Preempts, Patience: r.FirstToken.Std()}
	}
	return out
}

func (r *replica) configure(ranks []*config.Rank, slots, memory int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.SetSlots(slots, memory)
	if slices.EqualFunc(r.ranks, ranks, func(a, b *config.Rank) bool { return *a == *b }) {
		return
	}
	r.ranks = ranks
	var waiting []*admission.Work
	for _, w := range r.waiting {
		waiting = append(waiting, w.work)
	}
	r.gate.SetRanks(policies(ranks), waiting)
}

// Own makes the owner's replicas those listed: new ones start with an empty
// account, the waiting work of lost ones is sent away.
func (o *Owner) Own(vms []infra.VM, c *config.Config) {
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

func (o *Owner) newReplica(vm infra.VM, c *config.Config) *replica {
	slots, memory := size(c, vm.Pool)
	gate := admission.NewGate(admission.GateOptions{
		Ranks: policies(o.ranks), Slots: slots, Memory: memory,
		Interval: TokenIntervalTarget, Reserve: reservedSlots, FairPause: true, LowUseShare: modestPart, Random: rand.Float64,
	})
	return &replica{
		id: vm.ID, address: vm.Address, pool: vm.Pool, dataCentre: vm.DataCentre,
		ranks: o.ranks, gate: gate, suspects: o.suspects, holders: map[string]holder{},
		waiting: map[string]*waiter{}, early: map[string]time.Time{},
	}
}

// KeepRoom takes from the view what the replicas keep free for the most urgent
// rank.
func (o *Owner) KeepRoom(view func(id string) (routing.Replica, bool)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, r := range o.replicas {
		if seen, ok := view(id); ok {
			r.keepRoom(seen.Room, time.Now())
		}
	}
}

func (r *replica) keepRoom(part float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.SetHeadroom(part)
	r.pump(now)
}

// Probe asks every owned replica for its load, all at once, and keeps what it
// answers.
func (o *Owner) Probe(ctx context.Context, dialer backend.Dialer, isService func(pool string) bool) {
	o.mu.Lock()
	list := slices.Collect(maps.Values(o.replicas))
	o.mu.Unlock()
	probeAll(ctx, list, dialer, isService)
}

// ProbeNew does the same for the replicas that were not yet asked. It tells
// whether there were any.
func (o *Owner) ProbeNew(ctx context.Context, dialer backend.Dialer, isService func(pool string) bool) bool {
	var list []*replica
	o.mu.Lock()
	for _, r := range o.replicas {
		r.mu.Lock()
		if !r.asked {
			list = append(list, r)
		}
		r.mu.Unlock()
	}
	o.mu.Unlock()
	probeAll(ctx, list, dialer, isService)
	return len(list) > 0
}

func probeAll(ctx context.Context, list []*replica, dialer backend.Dialer, isService func(pool string) bool) {
	ctx, cancel := context.WithTimeout(ctx, backend.ProbeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range list {
		wg.Go(func() { r.probe(ctx, dialer, isService(r.pool)) })
	}
	wg.Wait()
}

func (r *replica) probe(ctx context.Context, dialer backend.Dialer, service bool) {
	r.mu.Lock()
	r.asked = true
	r.mu.Unlock()
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
	if report.Incarnation != r.started {
		r.started = report.Incarnation
		r.outlier = routing.Outlier{}
	}
	r.healthy = !report.Draining && !r.outlier.Ejected(time.Now())
	r.targets = report.Targets
	r.process = report.Incarnation
	r.count(time.Now(), report)
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
		for id, h := range r.holders {
			if !alive(h.args.Node, h.args.Incarnation) {
				r.gate.Release(now, id, admission.Usage{})
				delete(r.holders, id)
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
		Targets: r.targets, Running: r.gate.Batch(), Limit: r.gate.Limit(),
		Healthy: r.healthy, Leaving: r.leaving,
	}
	for rank := range ranks {
		s.Waits = append(s.Waits, r.gate.RankWait(rank).Round(time.Millisecond))
	}
	return s
}
