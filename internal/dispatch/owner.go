// Package dispatch sends requests to backend servers. It contains the owner's
// admission queue for each replica, and the attempts, retries and take-overs of
// each request.
package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// TokenIntervalTarget is the target time between tokens. Concurrency limits
	// are set so that streams meet it.
	TokenIntervalTarget = 40 * time.Millisecond
	retryJitter         = 0.3
	minRetryAfter       = admission.MinRetryAfter
)

// Reasons of an owner's refusal. They are sent to other nodes and to callers.
const (
	ReasonWait      = "the predicted wait is longer than the deadline allows"
	ReasonDraining  = "the replica is leaving or failing"
	ReasonExpired   = "the wait reached the deadline"
	ReasonCancelled = "the asker gave up"
)

// Pauser asks the node that holds a grant to pause its stream.
type Pauser func(node string, grant string)

// Owner runs the admission queues of the replicas that this node owns. It is
// safe for concurrent use. Lock order: Owner.mu before replica.mu.
type Owner struct {
	pause    Pauser
	suspects *Suspects
	onLimit  func(LimitChange)
	mu       sync.Mutex
	// limitShare is the part of the replicas' limits that this node may grant.
	limitShare float64             // guarded by mu
	replicas   map[string]*replica // guarded by mu
	ranks      []*config.Rank      // guarded by mu; sorted by order
	weights    map[string]float64  // guarded by mu; by organisation
}

// NewOwner returns an owner without replicas.
func NewOwner(pause Pauser) *Owner {
	return &Owner{pause: pause, onLimit: func(LimitChange) {}, limitShare: 1, replicas: map[string]*replica{}, weights: map[string]float64{}}
}

// replica is the owner's exact accounting of one replica.
type replica struct {
	id         string
	address    string
	pool       string
	dataCentre string

	mu                 sync.Mutex
	ranks              []*config.Rank       // guarded by mu
	gate               *admission.Gate      // guarded by mu
	holders            map[string]holder    // guarded by mu; of running streams, by grant
	waiting            map[string]*waiter   // guarded by mu
	earlyReleases      map[string]time.Time // guarded by mu; releases that arrived before their request, by grant
	targets            []config.Target      // guarded by mu
	isHealthy          bool                 // guarded by mu
	outlier            routing.Outlier      // guarded by mu; stream failures, independent of probes
	outlierIncarnation string               // guarded by mu; the backend server's incarnation that outlier belongs to
	isDraining         bool                 // guarded by mu
	excess             int                  // guarded by mu; streams of the last report in excess of the slots held then
	probed             bool                 // guarded by mu; a probe was sent at least once
	failedProbes       int                  // guarded by mu; in a row
	suspects           *Suspects            // nil does not separate suspects
	lastIncarnation    string               // guarded by mu; the backend server's incarnation in its last answer
	minHeld            heldMinima           // guarded by mu; least slots held between probes
	firstReportAt      time.Time            // guarded by mu; when the replica first reported to this owner
	probedAt           time.Time            // guarded by mu; when the last probe was sent
	limit              float64              // guarded by mu; requests per second that the replica takes from all nodes, 0 if unlimited
	limitShare         float64              // guarded by mu; part of the limit that this owner may grant
	limitError         string               // guarded by mu; describes the last malformed limit
	ownedSince         time.Time            // when this node became the owner
	grantTimer         *time.Timer          // guarded by mu; grants queued work once the rate limit allows it; nil if none is due
}

// holder is the request that a slot was granted to, and the time of the grant.
type holder struct {
	args  wire.AcquireArgs
	since time.Time
	// takenOver reports that another owner granted the slot.
	takenOver bool
}

// waiter is a queued request for a slot.
type waiter struct {
	args   wire.AcquireArgs
	work   *admission.Work
	answer chan wire.AcquireReply
}

// Acquire handles a request for a slot. It blocks until the slot is granted or
// refused.
func (o *Owner) Acquire(args wire.AcquireArgs) wire.AcquireReply {
	o.mu.Lock()
	r := o.replicas[args.Replica]
	weight := o.weights[args.Organisation]
	o.mu.Unlock()
	if r == nil {
		return wire.AcquireReply{NotOwner: true}
	}
	start := time.Now()
	w, reply := r.enqueue(args, weight, start)
	if w == nil {
		return reply
	}
	o.requestPauses(r, start)
	timer := time.NewTimer(w.work.Deadline.Sub(start))
	defer timer.Stop()
	select {
	case reply = <-w.answer:
	case <-timer.C:
		reply = r.expire(w)
	}
	reply.Queued = time.Since(start)
	return reply
}

// enqueue grants a free slot immediately, refuses a request that would wait too
// long, or queues it. The waiter is nil if the request is refused.
func (r *replica) enqueue(args wire.AcquireArgs, weight float64, now time.Time) (*waiter, wire.AcquireReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, released := r.earlyReleases[args.Grant]; released {
		delete(r.earlyReleases, args.Grant)
		return nil, wire.AcquireReply{Reason: ReasonCancelled}
	}
	if !r.isHealthy || r.isDraining {
		return nil, wire.AcquireReply{Reason: ReasonDraining, RetryAfter: minRetryAfter}
	}
	if r.hasOtherSuspect(args.Fingerprint) {
		return nil, wire.AcquireReply{Reason: ReasonSuspect, RetryAfter: minRetryAfter}
	}
	work := newWork(args, weight, now)
	offer := r.gate.Offer(now, work, args.Book)
	if !offer.Queued {
		return nil, wire.AcquireReply{Reason: ReasonWait, RetryAfter: offer.RetryAfter}
	}
	if offer.Evicted != nil {
		r.refuse(offer.Evicted.ID, wire.AcquireReply{Reason: ReasonWait, RetryAfter: offer.EvictedRetryAfter})
	}
	w := &waiter{args: args, work: work, answer: make(chan wire.AcquireReply, 1)}
	r.waiting[args.Grant] = w
	r.refuseHopeless(now)
	r.grantFree(now)
	return w, wire.AcquireReply{}
}

// newWork converts a request for a slot to work for the admission gate.
func newWork(args wire.AcquireArgs, weight float64, now time.Time) *admission.Work {
	return &admission.Work{
		ID: args.Grant, Organisation: args.Organisation, Caller: args.Caller, Weight: weight, Node: args.Node, Used: args.Used,
		Rank: args.Rank, Tokens: args.Tokens, Memory: args.Prompt + args.Tokens,
		Resumed: args.Resumed, Pausable: args.Target != (config.Target{}), Fingerprint: args.Fingerprint,
		Arrived: now, Deadline: now.Add(args.Wait),
	}
}

// jitter raises d to at least minRetryAfter and adds a random part, so that
// refused callers do not all retry at the same time.
func jitter(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d + time.Duration(rand.Float64()*retryJitter*float64(d))
}

// refuseHopeless refuses queued work that cannot be granted in time. The caller
// holds mu.
func (r *replica) refuseHopeless(now time.Time) {
	for work, after := r.gate.RefuseLate(now); work != nil; work, after = r.gate.RefuseLate(now) {
		r.refuse(work.ID, wire.AcquireReply{Reason: ReasonWait, RetryAfter: after})
	}
}

// grantFree grants free slots to queued work. The caller holds mu.
func (r *replica) grantFree(now time.Time) {
	for {
		work := r.gate.Grant(now)
		if work == nil {
			r.scheduleGrant(now)
			return
		}
		w := r.waiting[work.ID]
		delete(r.waiting, work.ID)
		r.addHolder(holder{args: w.args, since: now})
		w.answer <- wire.AcquireReply{Granted: true, Promoted: work.IsPromoted()}
	}
}

// requestPauses asks the holders of less urgent streams to pause them, as far
// as queued work may preempt them.
func (o *Owner) requestPauses(r *replica, now time.Time) {
	for _, h := range r.streamsToPause(now) {
		o.pause(h.Node, h.Grant)
	}
}

// streamsToPause returns the requests whose streams must pause now, each once.
func (r *replica) streamsToPause(now time.Time) []wire.AcquireArgs {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.AcquireArgs
	for s := r.gate.TakeVictim(now); s != nil; s = r.gate.TakeVictim(now) {
		out = append(out, r.holders[s.Work.ID].args)
	}
	return out
}

// expire ends a wait at its deadline. A grant that was made before remains
// valid.
func (r *replica) expire(w *waiter) wire.AcquireReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case reply := <-w.answer:
		return reply
	default:
	}
	r.gate.Withdraw(w.args.Grant)
	delete(r.waiting, w.args.Grant)
	wait := r.gate.PredictedWait(time.Now(), w.work)
	return wire.AcquireReply{Reason: ReasonExpired, RetryAfter: jitter(wait)}
}

// Release returns a slot, or ends a wait for one.
func (o *Owner) Release(args wire.ReleaseArgs) {
	o.mu.Lock()
	r := o.replicas[args.Replica]
	o.mu.Unlock()
	if r == nil {
		return
	}
	now := time.Now()
	r.release(args, now)
	o.requestPauses(r, now)
}

func (r *replica) release(args wire.ReleaseArgs, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting[args.Grant] != nil {
		r.refuse(args.Grant, wire.AcquireReply{Reason: ReasonCancelled})
		return
	}
	usage := admission.Usage{Tokens: args.Tokens, FirstToken: args.FirstToken, TokenInterval: args.TokenInterval, IsComplete: args.Whole}
	if !r.gate.Release(now, args.Grant, usage) {
		r.recordEarlyRelease(args.Grant, now)
		return
	}
	h := r.holders[args.Grant]
	delete(r.holders, args.Grant)
	r.minHeld.record(len(r.holders))
	if h.takenOver {
		r.earlyReleases[args.Grant] = now
	}
	r.recordHealth(args, now, h.since)
	r.refuseHopeless(now)
	r.grantFree(now)
}

// recordHealth updates the health state of the replica from the end of a
// stream. The caller holds mu.
func (r *replica) recordHealth(args wire.ReleaseArgs, now, began time.Time) {
	if isServerFailure(args.Failed) {
		r.outlier.RecordFailure(now, began, rand.Float64())
	}
	if isServerFailure(args.Failed) || args.Failed == backend.KindDraining {
		r.isHealthy = false
		r.refuseWaiting()
	}
	if args.Failed == "" && args.Tokens > 0 {
		r.outlier.RecordSuccess()
	}
}

// refuse ends a wait with the given reply. The caller holds mu.
func (r *replica) refuse(grant string, reply wire.AcquireReply) {
	w := r.waiting[grant]
	r.gate.Withdraw(grant)
	delete(r.waiting, grant)
	w.answer <- reply
}

// refuseWaiting refuses all queued work, so that it is tried on other replicas.
// The caller holds mu.
func (r *replica) refuseWaiting() {
	for id := range r.waiting {
		r.refuse(id, wire.AcquireReply{Reason: ReasonDraining, RetryAfter: minRetryAfter})
	}
}
