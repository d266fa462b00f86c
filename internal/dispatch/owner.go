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
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// TokenIntervalTarget is the time between tokens that limits protect.
	TokenIntervalTarget = 40 * time.Millisecond
	// firstTokensPerSecond is a replica's assumed rate for each stream before
	// any was seen.
	firstTokensPerSecond = 25.0
	rateGain             = 0.1
	retryJitter          = 0.3
	minRetryAfter        = 250 * time.Millisecond
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
	queue    *admission.Queue     // guarded by mu
	limiter  *admission.Limiter   // guarded by mu
	running  map[string]*grant    // guarded by mu
	waiting  map[string]*waiter   // guarded by mu
	early    map[string]time.Time // guarded by mu; releases that came before their request
	rate     float64              // guarded by mu; tokens a second of one stream
	targets  []config.Target      // guarded by mu
	healthy  bool                 // guarded by mu
	leaving  bool                 // guarded by mu
	failures int                  // guarded by mu
}

// grant is a place in use.
type grant struct {
	args    wire.AcquireArgs
	work    *admission.Work
	since   time.Time
	pausing bool
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
	o.pauseFor(r, args)
	timer := time.NewTimer(args.Wait)
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
	wait := r.predictedWait(args.Rank)
	if wait > args.Wait && !r.canPause(args.Rank) {
		return nil, wire.AcquireReply{Reason: ReasonWait, RetryAfter: jitter(wait - args.Wait)}
	}
	work := &admission.Work{
		ID: args.Grant, Organisation: args.Organisation, Caller: args.Caller, Weight: weight,
		Rank: args.Rank, Tokens: args.Tokens, Arrived: now, Deadline: now.Add(args.Wait),
	}
	w := &waiter{args: args, work: work, answer: make(chan wire.AcquireReply, 1)}
	r.waiting[args.Grant] = w
	r.queue.Push(work)
	r.pump(now)
	return w, wire.AcquireReply{}
}

// jitter spreads come-back times so that callers do not return together.
func jitter(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d + time.Duration(rand.Float64()*retryJitter*float64(d))
}

// pump grants free places. The caller holds mu.
func (r *replica) pump(now time.Time) {
	for len(r.running) < r.limiter.Limit() {
		work := r.queue.Pop(now)
		if work == nil {
			return
		}
		w := r.waiting[work.ID]
		delete(r.waiting, work.ID)
		r.running[work.ID] = &grant{args: w.args, work: work, since: now}
		w.answer <- wire.AcquireReply{Granted: true}
	}
}

// predictedWait estimates how long new work of a rank would wait. The caller
// holds mu.
func (r *replica) predictedWait(rank int) time.Duration {
	limit := r.limiter.Limit()
	if len(r.running) < limit && r.queue.Len() == 0 {
		return 0
	}
	ahead := float64(r.queue.TokensAhead(rank))
	left := 0.0
	for _, g := range r.running {
		left += float64(g.work.Tokens)
	}
	mean := left / float64(max(len(r.running), 1)) / float64(limit)
	return time.Duration((ahead/float64(limit) + mean/2) / r.rate * float64(time.Second))
}

// canPause tells whether work of the rank may pause a running stream. The
// caller holds mu.
func (r *replica) canPause(rank int) bool {
	if rank >= len(r.ranks) || !r.ranks[rank].Preempts {
		return false
	}
	for _, g := range r.running {
		if g.args.Rank > rank && !g.pausing && g.args.Target != (config.Target{}) {
			return true
		}
	}
	return false
}

// pauseFor asks the holder of the least urgent stream to pause it, if the
// waiting work may preempt.
func (o *Owner) pauseFor(r *replica, args wire.AcquireArgs) {
	r.mu.Lock()
	_, waits := r.waiting[args.Grant]
	var victim *grant
	if waits && r.canPause(args.Rank) {
		victim = r.victim(args.Rank)
		victim.pausing = true
	}
	r.mu.Unlock()
	if victim != nil {
		o.pause(victim.args.Node, victim.args.Grant)
	}
}

// victim returns the least urgent stream, the newest among equals. The caller
// holds mu and has checked that there is one.
func (r *replica) victim(rank int) *grant {
	var best *grant
	for _, g := range r.running {
		if g.args.Rank <= rank || g.pausing || g.args.Target == (config.Target{}) {
			continue
		}
		if best == nil || g.args.Rank > best.args.Rank || (g.args.Rank == best.args.Rank && g.since.After(best.since)) {
			best = g
		}
	}
	return best
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
	r.queue.Remove(w.args.Grant)
	delete(r.waiting, w.args.Grant)
	return wire.AcquireReply{Reason: ReasonExpired, RetryAfter: jitter(r.predictedWait(w.args.Rank))}
}

// Release takes a place back, or ends a wait.
func (o *Owner) Release(args wire.ReleaseArgs) {
	o.mu.Lock()
	r := o.replicas[args.Replica]
	o.mu.Unlock()
	if r == nil {
		return
	}
	r.release(args, time.Now())
}

func (r *replica) release(args wire.ReleaseArgs, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.waiting[args.Grant]; w != nil {
		r.queue.Remove(args.Grant)
		delete(r.waiting, args.Grant)
		w.answer <- wire.AcquireReply{Reason: ReasonCancelled}
		return
	}
	g := r.running[args.Grant]
	if g == nil {
		r.early[args.Grant] = now
		return
	}
	running := len(r.running)
	delete(r.running, args.Grant)
	r.queue.Correct(g.work, args.Tokens)
	r.learn(args, running)
	r.pump(now)
}

// learn takes what a finished stream tells of the replica. The caller holds
// mu.
func (r *replica) learn(args wire.ReleaseArgs, running int) {
	if args.TokenInterval > 0 {
		r.limiter.Observe(args.TokenInterval, running)
		r.rate += rateGain * (float64(time.Second)/float64(args.TokenInterval) - r.rate)
	}
	if args.Failed == backend.KindConnect || args.Failed == backend.KindBroken || args.Failed == backend.KindDraining {
		r.healthy = false
		r.refuseWaiting()
	}
}

// refuseWaiting sends all waiting work away, so that it is tried elsewhere.
// The caller holds mu.
func (r *replica) refuseWaiting() {
	for id, w := range r.waiting {
		r.queue.Remove(id)
		delete(r.waiting, id)
		w.answer <- wire.AcquireReply{Reason: ReasonLeaving, RetryAfter: minRetryAfter}
	}
}
