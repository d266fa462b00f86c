// Package dispatch carries requests to backend servers: the owner's queue for
// each replica, and the attempts of each request.
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
	// TokenIntervalTarget is the time between tokens that limits protect.
	TokenIntervalTarget = 40 * time.Millisecond
	retryJitter         = 0.3
	minRetryAfter       = admission.MinRetryAfter
)

// Reasons of an owner's refusal.
const (
	ReasonWait      = "the predicted wait is longer than the deadline allows"
	ReasonLeaving   = "the replica is leaving or failing"
	ReasonExpired   = "the wait reached the deadline"
	ReasonCancelled = "the asker gave up"
)

// Pauser tells the holder of a grant to pause its stream.
type Pauser func(node string, grant string)

// Owner queues for the replicas that this node owns. It is safe for
// concurrent use. Lock order: Owner.mu before replica.mu.
type Owner struct {
	pause    Pauser
	suspects *Suspects
	mu       sync.Mutex
	replicas map[string]*replica // guarded by mu
	ranks    []*config.Rank      // guarded by mu; in their order
	weights  map[string]float64  // guarded by mu; by organisation
}

// NewOwner returns an owner of no replica.
func NewOwner(pause Pauser) *Owner {
	return &Owner{pause: pause, replicas: map[string]*replica{}, weights: map[string]float64{}}
}

// replica is the owner's exact account of one replica.
type replica struct {
	id         string
	address    string
	pool       string
	dataCentre string

	mu       sync.Mutex
	ranks    []*config.Rank       // guarded by mu
	gate     *admission.Gate      // guarded by mu
	holders  map[string]holder    // guarded by mu; who runs, by grant
	waiting  map[string]*waiter   // guarded by mu
	early    map[string]time.Time // guarded by mu; releases that came before their request
	targets  []config.Target      // guarded by mu
	healthy  bool                 // guarded by mu
	outlier  routing.Outlier      // guarded by mu; failures of streams, whatever probes say
	started  string               // guarded by mu; the backend server's incarnation
	leaving  bool                 // guarded by mu
	excess   int                  // guarded by mu; of the last report over the places held then
	asked    bool                 // guarded by mu; a probe was sent
	failures int                  // guarded by mu
	suspects *Suspects            // nil keeps no requests apart
	process  string               // guarded by mu; the incarnation last seen
	known    leasts               // guarded by mu; the places held between probes
	taken    time.Time            // guarded by mu; when the replica first reported to this owner
}

// holder is who was granted a place, and when.
type holder struct {
	args  wire.AcquireArgs
	since time.Time
	// adopted tells that another owner granted the place.
	adopted bool
}

// waiter is a request for a place.
type waiter struct {
	args   wire.AcquireArgs
	work   *admission.Work
	answer chan wire.AcquireReply
}

// Acquire answers a request for a place. It returns when the place is granted
// or refused.
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
	o.pauseFor(r, start)
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

// enqueue grants a free place at once, refuses a hopeless wait, or queues.
func (r *replica) enqueue(args wire.AcquireArgs, weight float64, now time.Time) (*waiter, wire.AcquireReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, gone := r.early[args.Grant]; gone {
		delete(r.early, args.Grant)
		return nil, wire.AcquireReply{Reason: ReasonCancelled}
	}
	if !r.healthy || r.leaving {
		return nil, wire.AcquireReply{Reason: ReasonLeaving, RetryAfter: minRetryAfter}
	}
	if r.crowded(args.Fingerprint) {
		return nil, wire.AcquireReply{Reason: ReasonSuspect, RetryAfter: minRetryAfter}
	}
	work := newWork(args, weight, now)
	v := r.gate.Offer(now, work, args.Book)
	if !v.Queued {
		return nil, wire.AcquireReply{Reason: ReasonWait, RetryAfter: v.RetryAfter}
	}
	if v.Evicted != nil {
		r.refuse(v.Evicted.ID, wire.AcquireReply{Reason: ReasonWait, RetryAfter: v.EvictedRetryAfter})
	}
	w := &waiter{args: args, work: work, answer: make(chan wire.AcquireReply, 1)}
	r.waiting[args.Grant] = w
	r.settle(now)
	r.pump(now)
	return w, wire.AcquireReply{}
}

func newWork(args wire.AcquireArgs, weight float64, now time.Time) *admission.Work {
	return &admission.Work{
		ID: args.Grant, Organisation: args.Organisation, Caller: args.Caller, Weight: weight, Node: args.Node, Used: args.Used,
		Rank: args.Rank, Tokens: args.Tokens, Memory: args.Prompt + args.Tokens,
		Resumed: args.Resumed, Pausable: args.Target != (config.Target{}), Fingerprint: args.Fingerprint,
		Arrived: now, Deadline: now.Add(args.Wait),
	}
}

// jitter spreads come-back times so that callers do not return together.
func jitter(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d + time.Duration(rand.Float64()*retryJitter*float64(d))
}

// settle refuses waiting work whose turn does not come in time. The caller
// holds mu.
func (r *replica) settle(now time.Time) {
	for work, after := r.gate.RefuseLate(now); work != nil; work, after = r.gate.RefuseLate(now) {
		r.refuse(work.ID, wire.AcquireReply{Reason: ReasonWait, RetryAfter: after})
	}
}

// pump grants free places. The caller holds mu.
func (r *replica) pump(now time.Time) {
	for {
		work := r.gate.Grant(now)
		if work == nil {
			return
		}
		w := r.waiting[work.ID]
		delete(r.waiting, work.ID)
		r.hold(holder{args: w.args, since: now})
		w.answer <- wire.AcquireReply{Granted: true, Promoted: work.Promoted()}
	}
}

// pauseFor asks the holders of less urgent streams to pause them, as far as
// waiting work may preempt.
func (o *Owner) pauseFor(r *replica, now time.Time) {
	for _, h := range r.pauses(now) {
		o.pause(h.Node, h.Grant)
	}
}

// pauses returns the holders of the streams to be paused now.
func (r *replica) pauses(now time.Time) []wire.AcquireArgs {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.AcquireArgs
	for s := r.gate.Pause(now); s != nil; s = r.gate.Pause(now) {
		out = append(out, r.holders[s.Work.ID].args)
	}
	return out
}

// expire ends a wait at its deadline; a grant that came first stands.
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

// Release takes a place back, or ends a wait.
func (o *Owner) Release(args wire.ReleaseArgs) {
	o.mu.Lock()
	r := o.replicas[args.Replica]
	o.mu.Unlock()
	if r == nil {
		return
	}
	now := time.Now()
	r.release(args, now)
	o.pauseFor(r, now)
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
		r.endUnknown(args.Grant, now)
		return
	}
	h := r.holders[args.Grant]
	delete(r.holders, args.Grant)
	r.known.note(len(r.holders))
	if h.adopted {
		r.early[args.Grant] = now
	}
	r.judge(args, now, h.since)
	r.settle(now)
	r.pump(now)
}

// judge takes what a stream tells of the replica's health. The caller holds
// mu.
func (r *replica) judge(args wire.ReleaseArgs, now, began time.Time) {
	if failing(args.Failed) {
		r.outlier.Fail(now, began, rand.Float64())
	}
	if failing(args.Failed) || args.Failed == backend.KindDraining {
		r.healthy = false
		r.refuseWaiting()
	}
	if args.Failed == "" && args.Tokens > 0 {
		r.outlier.Succeed()
	}
}

// refuse ends a wait. The caller holds mu.
func (r *replica) refuse(grant string, reply wire.AcquireReply) {
	w := r.waiting[grant]
	r.gate.Withdraw(grant)
	delete(r.waiting, grant)
	w.answer <- reply
}

// refuseWaiting sends all waiting work away, so that it is tried elsewhere.
// The caller holds mu.
func (r *replica) refuseWaiting() {
	for id := range r.waiting {
		r.refuse(id, wire.AcquireReply{Reason: ReasonLeaving, RetryAfter: minRetryAfter})
	}
}
