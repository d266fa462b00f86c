package dispatch

import (
	"context"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// choose returns the index of the replica to ask, or -1. Replicas that failed
// this node of late are passed over while there is another.
func (d *Dispatcher) choose(replicas []routing.Replica, w wish, r routing.ReplicaRequest) int {
	at := -1
	asked := r.Excluded
	if ejected := d.outliers.ejected(r.Now); len(ejected) > 0 {
		r.Excluded = append(slices.Clone(asked), ejected...)
		at = d.chooseFrom(replicas, w, r)
		r.Excluded = asked
	}
	if at < 0 {
		at = d.chooseFrom(replicas, w, r)
	}
	if at >= 0 {
		d.outliers.try(r.Now, replicas[at].ID)
	}
	return at
}

func (d *Dispatcher) chooseFrom(replicas []routing.Replica, w wish, r routing.ReplicaRequest) int {
	var known [routing.MaxCachedAt]routing.CachedAt
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Cached = d.cached.Lookup(known[:0], w.prefixes)
	r.Recent, r.Choices, r.Draw = d.recent, routing.DefaultChoices, mathrand.Uint64()
	at := routing.ChooseReplica(replicas, r)
	if at >= 0 {
		d.recent.Sent(r.Now, replicas[at].ID)
	}
	return at
}

// returning looks at a request that was refused before. It returns the replica
// that keeps its turn, else the one chosen, or how long before its time it has
// come back while there is still a queue.
func (d *Dispatcher) returning(now time.Time, req *Request, target config.Target, view *membership.Snapshot, at int) (int, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	early := d.told.Remaining(now, req.Fingerprint)
	if early > 0 && !quick(&view.Replicas[at], req.Rank) {
		return at, early
	}
	kept := d.told.TakeBooking(now, req.Fingerprint)
	if i := routing.Find(view.Replicas, kept); i >= 0 && view.Replicas[i].Usable && slices.Contains(view.Replicas[i].Targets, target) {
		return i, 0
	}
	return at, 0
}

// quick tells whether a replica's owner is expected to answer at once.
func quick(r *routing.Replica, rank int) bool {
	n := len(r.Waits)
	return n == 0 || r.Waits[min(max(rank, 0), n-1)] <= routing.QuickWait
}

// note remembers when a refused request was told to come back, and which
// replica keeps its turn.
func (d *Dispatcher) note(req *Request, replica string, err error) {
	refusal := outcome.AsRefusal(err)
	if replica == "" || refusal.Code != outcome.CodeOverloaded {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told.Record(time.Now(), req.Fingerprint, replica, refusal.RetryAfter)
}

// acquireFrom asks an owner. It gives up once the owner is taken for dead, or,
// where an answer is expected at once, when none has come.
func (d *Dispatcher) acquireFrom(ctx context.Context, owner string, args wire.AcquireArgs, quick bool) (wire.AcquireReply, error) {
	if owner == d.Node {
		return d.Places.Acquire(ctx, owner, args)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if quick {
		timer := time.AfterFunc(routing.QuickAnswer, cancel)
		defer timer.Stop()
	}
	go d.watch(ctx, cancel, owner)
	return d.Places.Acquire(ctx, owner, args)
}

// watch cancels a wait once its owner is taken for dead.
func (d *Dispatcher) watch(ctx context.Context, cancel context.CancelFunc, owner string) {
	ticker := time.NewTicker(ownerCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n, ok := d.View().Node(owner); !ok || !n.Live {
			cancel()
			return
		}
	}
}
