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
	// probesToFail is the number of successive failed probes after which a
	// replica is unhealthy.
	probesToFail = 2
	// earlyReleaseTTL is how long a release that arrived before its request is
	// remembered.
	earlyReleaseTTL = 10 * time.Second
	// reservedSlots is the number of slots kept free on each replica for the
	// most urgent rank.
	reservedSlots = 1
	// promotionShare is the fraction of its fair share below which an
	// organisation's least urgent work is promoted.
	promotionShare = 0.7
)

// Configure applies the ranks and weights of a revision.
func (o *Owner) Configure(c *config.Config) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ranks = slices.SortedFunc(maps.Values(c.Ranks), func(a, b *config.Rank) int { return cmp.Compare(a.Order, b.Order) })
	o.weights = map[string]float64{}
	for name, org := range c.Organisations {
		o.weights[name] = org.Weight
	}
	for _, r := range o.replicas {
		slots, memory := poolCapacity(c, r.pool)
		r.configure(o.ranks, slots, memory)
	}
}

// poolCapacity returns the largest batch and the KV cache size of a pool's
// replicas. The cache size is in tokens, and 0 means unlimited.
func poolCapacity(c *config.Config, pool string) (slots, memory int) {
	if p := c.Pools[pool]; p != nil {
		return p.Slots, p.KVTokens
	}
	if s := c.Services[pool]; s != nil {
		return s.Slots, 0
	}
	return config.DefaultSlots, 0
}

// rankPolicies converts the ranks to the policies of an admission gate.
func rankPolicies(ranks []*config.Rank) []admission.RankPolicy {
	out := make([]admission.RankPolicy, max(len(ranks), 1))
	for i, r := range ranks {
		out[i] = admission.RankPolicy{Floor: r.Floor, Preempts: r.Preempts, Patience: r.FirstToken.Std()}
	}
	return out
}

// configure applies changed ranks and the capacity of the pool. Queued work is
// kept.
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
	r.gate.SetRanks(rankPolicies(ranks), waiting)
}

// SetReplicas sets the replicas of this owner to those listed. New replicas start with
// empty accounting. Work queued at replicas that are no longer listed is
// refused.
func (o *Owner) SetReplicas(vms []infra.VM, c *config.Config) {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := map[string]bool{}
	for _, vm := range vms {
		owned[vm.ID] = true
		r := o.replicas[vm.ID]
		if r == nil {
			r = o.newReplica(vm, c)
			o.replicas[vm.ID] = r
		}
		r.mu.Lock()
		r.isDraining = vm.Leaving
		if r.isDraining {
			r.refuseWaiting()
		}
		r.mu.Unlock()
	}
	for id, r := range o.replicas {
		if owned[id] {
			continue
		}
		r.mu.Lock()
		r.refuseWaiting()
		r.mu.Unlock()
		delete(o.replicas, id)
	}
}

func (o *Owner) newReplica(vm infra.VM, c *config.Config) *replica {
	slots, memory := poolCapacity(c, vm.Pool)
	gate := admission.NewGate(admission.GateOptions{
		Ranks: rankPolicies(o.ranks), Slots: slots, Memory: memory,
		Interval: TokenIntervalTarget, Reserve: reservedSlots, FairPause: true, LowUseShare: promotionShare, Random: rand.Float64,
	})
	return &replica{
		id: vm.ID, address: vm.Address, pool: vm.Pool, dataCentre: vm.DataCentre,
		ranks: o.ranks, gate: gate, suspects: o.suspects, holders: map[string]holder{},
		waiting: map[string]*waiter{}, earlyReleases: map[string]time.Time{}, limitShare: o.limitShare, ownedSince: time.Now(),
	}
}

// ApplyHeadroom applies the headroom that the view assigns to each replica for the
// most urgent rank.
func (o *Owner) ApplyHeadroom(view func(id string) (routing.Replica, bool)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, r := range o.replicas {
		if viewed, ok := view(id); ok {
			r.setHeadroom(viewed.Headroom, time.Now())
		}
	}
}

func (r *replica) setHeadroom(share float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.SetHeadroom(share)
	r.grantFree(now)
}

// Probe queries the load of all owned replicas in parallel and records the
// answers.
func (o *Owner) Probe(ctx context.Context, dialer backend.Dialer, isService func(pool string) bool) {
	o.mu.Lock()
	list := slices.Collect(maps.Values(o.replicas))
	o.mu.Unlock()
	o.probeAll(ctx, list, dialer, isService)
}

// ProbeNew probes the owned replicas that were never probed, as Probe does. It
// reports whether there were any.
func (o *Owner) ProbeNew(ctx context.Context, dialer backend.Dialer, isService func(pool string) bool) bool {
	var list []*replica
	o.mu.Lock()
	for _, r := range o.replicas {
		r.mu.Lock()
		if !r.probed {
			list = append(list, r)
		}
		r.mu.Unlock()
	}
	o.mu.Unlock()
	o.probeAll(ctx, list, dialer, isService)
	return len(list) > 0
}

// probeAll probes the listed replicas in parallel, within backend.ProbeTimeout.
func (o *Owner) probeAll(ctx context.Context, list []*replica, dialer backend.Dialer, isService func(pool string) bool) {
	ctx, cancel := context.WithTimeout(ctx, backend.ProbeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range list {
		wg.Go(func() {
			if change, ok := r.probe(ctx, dialer, isService(r.pool)); ok {
				o.onLimit(change)
			}
		})
	}
	wg.Wait()
}

// probe queries the load of the replica and updates its health, versions, streams and
// limit. It returns what changed of the limit, or false.
func (r *replica) probe(ctx context.Context, dialer backend.Dialer, isService bool) (LimitChange, bool) {
	r.mu.Lock()
	isDue := r.isProbeDue(time.Now())
	r.probed = true
	r.mu.Unlock()
	if !isDue {
		return LimitChange{}, false
	}
	var report backend.LoadReport
	var err error
	if isService {
		report, err = dialer.Service(r.address).Load(ctx)
	} else {
		report, err = dialer.Engine(r.address).Load(ctx)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failedProbes++
		if r.failedProbes >= probesToFail {
			r.isHealthy = false
			r.refuseWaiting()
		}
		return LimitChange{}, false
	}
	r.failedProbes = 0
	if report.Incarnation != r.outlierIncarnation {
		r.outlierIncarnation = report.Incarnation
		r.outlier = routing.Outlier{}
	}
	r.isHealthy = !report.Draining && !r.outlier.IsEjected(time.Now())
	r.targets = report.Targets
	r.lastIncarnation = report.Incarnation
	r.reconcile(time.Now(), report)
	if report.Draining {
		r.refuseWaiting()
	}
	return r.applyLimit(report, time.Now())
}

// ReleaseLostNodes frees the slots held by nodes that no longer run. isLive
// reports whether a node still runs with the given incarnation. ReleaseLostNodes
// also deletes expired early releases.
func (o *Owner) ReleaseLostNodes(isLive func(node string, incarnation uint64) bool) {
	o.mu.Lock()
	list := slices.Collect(maps.Values(o.replicas))
	o.mu.Unlock()
	now := time.Now()
	for _, r := range list {
		r.mu.Lock()
		for id, h := range r.holders {
			if !isLive(h.args.Node, h.args.Incarnation) {
				r.gate.Release(now, id, admission.Usage{})
				delete(r.holders, id)
			}
		}
		for id, at := range r.earlyReleases {
			if now.Sub(at) > earlyReleaseTTL {
				delete(r.earlyReleases, id)
			}
		}
		r.grantFree(now)
		r.mu.Unlock()
	}
}

// ReplicaStates returns the replica states that this node gossips, sorted by ID.
func (o *Owner) ReplicaStates() []wire.ReplicaState {
	o.mu.Lock()
	list := slices.Collect(maps.Values(o.replicas))
	ranks := len(o.ranks)
	o.mu.Unlock()
	out := make([]wire.ReplicaState, 0, len(list))
	for _, r := range list {
		out = append(out, r.state(ranks))
	}
	slices.SortFunc(out, func(a, b wire.ReplicaState) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (r *replica) state(ranks int) wire.ReplicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := wire.ReplicaState{
		ID: r.id, Address: r.address, Pool: r.pool, DataCentre: r.dataCentre,
		Targets: r.targets, Running: r.gate.Batch(), Limit: r.gate.Limit(),
		Healthy: r.isHealthy, Leaving: r.isDraining,
	}
	now := time.Now()
	for rank := range ranks {
		s.Waits = append(s.Waits, r.gate.RankWait(now, rank).Round(time.Millisecond))
	}
	return s
}
