package dispatch

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// choose returns the index of the replica to ask, or -1.
func (d *Dispatcher) choose(replicas []routing.Replica, w wish, r routing.ReplicaRequest) int {
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
func (d *Dispatcher) returning(now time.Time, req *Request, view *membership.Snapshot, at int) (int, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	early := d.told.Early(now, req.Fingerprint)
	if early > 0 && !quick(&view.Replicas[at], req.Rank) {
		return at, early
	}
	kept := d.told.Take(now, req.Fingerprint)
	if i := routing.Find(view.Replicas, kept); i >= 0 && view.Replicas[i].Usable {
		return i, 0
	}
	return at, 0
}

// quick tells whether a replica's owner is expected to answer at once.
func quick(r *routing.Replica, rank int) bool {
	n := len(r.Waits)
	return n == 0 || r.Waits[min(max(rank, 0), n-1)] <= routing.QuickWait
}

// note remembers which replica told a refused request to come back.
func (d *Dispatcher) note(now time.Time, req *Request, replica string, retryAfter time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told.Note(now, req.Fingerprint, replica, retryAfter)
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
