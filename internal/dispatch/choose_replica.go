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

// chooseReplica returns the index of the replica to ask, or -1. Replicas that
// recently failed requests of this node are skipped while there is another one.
func (d *Dispatcher) chooseReplica(replicas []routing.Replica, w slotRequest, r routing.ReplicaRequest) int {
	chosen := -1
	excluded := r.Excluded
	if ejected := d.outliers.ejected(r.Now); len(ejected) > 0 {
		r.Excluded = append(slices.Clone(excluded), ejected...)
		chosen = d.chooseAmong(replicas, w, r)
		r.Excluded = excluded
	}
	if chosen < 0 {
		chosen = d.chooseAmong(replicas, w, r)
	}
	if chosen >= 0 {
		d.outliers.recordAttempt(r.Now, replicas[chosen].ID)
	}
	return chosen
}

func (d *Dispatcher) chooseAmong(replicas []routing.Replica, w slotRequest, r routing.ReplicaRequest) int {
	var cached [routing.MaxCachedPrefixes]routing.CachedPrefix
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Cached = d.prefixes.Lookup(cached[:0], w.prefixes)
	r.Recent, r.Choices, r.Draw = d.recentSends, routing.DefaultChoices, mathrand.Uint64()
	chosen := routing.ChooseReplica(replicas, r)
	if chosen >= 0 {
		d.recentSends.Add(r.Now, replicas[chosen].ID)
	}
	return chosen
}

// checkRetry handles a request that was refused before. It returns the index of
// the replica that keeps the request's turn, or else the given one. If the
// request was retried too early and would still have to queue, checkRetry
// returns the time left until its retry-after time.
func (d *Dispatcher) checkRetry(now time.Time, req *Request, target config.Target, view *membership.Snapshot, chosen int) (int, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	remaining := d.retryTimes.Remaining(now, req.Fingerprint)
	if remaining > 0 && !isQuick(&view.Replicas[chosen], req.Rank) {
		return chosen, remaining
	}
	booked := d.retryTimes.TakeBooking(now, req.Fingerprint)
	if i := routing.FindReplica(view.Replicas, booked); i >= 0 && view.Replicas[i].Usable && slices.Contains(view.Replicas[i].Targets, target) {
		return i, 0
	}
	return chosen, 0
}

// isQuick reports whether the owner of a replica is expected to answer at once.
func isQuick(r *routing.Replica, rank int) bool {
	n := len(r.Waits)
	return n == 0 || r.Waits[min(max(rank, 0), n-1)] <= routing.QuickWait
}

// recordRefusal records the retry-after time of a refused request and the
// replica that keeps its turn.
func (d *Dispatcher) recordRefusal(req *Request, replica string, err error) {
	refusal := outcome.AsRefusal(err)
	if replica == "" || refusal.Code != outcome.CodeOverloaded {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryTimes.Record(time.Now(), req.Fingerprint, replica, refusal.RetryAfter)
}

// acquireFrom asks an owner for a slot. It gives up once the owner is
// unreachable. If expectQuick is set, it also gives up when no answer arrives
// within routing.QuickAnswer.
func (d *Dispatcher) acquireFrom(ctx context.Context, owner string, args wire.AcquireArgs, expectQuick bool) (wire.AcquireReply, error) {
	if owner == d.Node {
		return d.Owners.Acquire(ctx, owner, args)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if expectQuick {
		timer := time.AfterFunc(routing.QuickAnswer, cancel)
		defer timer.Stop()
	}
	go d.watchOwner(ctx, cancel, owner)
	return d.Owners.Acquire(ctx, owner, args)
}

// watchOwner cancels a wait once its owner is unreachable.
func (d *Dispatcher) watchOwner(ctx context.Context, cancel context.CancelFunc, owner string) {
	ticker := time.NewTicker(ownerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n, ok := d.View().Node(owner); !ok || !n.IsLive {
			cancel()
			return
		}
	}
}
