package dispatch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/admission"
	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/record"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Places reaches the owners of replicas, this node included.
type Places interface {
	// Acquire asks owner for a place; it returns an error if the owner does
	// not answer.
	Acquire(ctx context.Context, owner string, args wire.AcquireArgs) (wire.AcquireReply, error)
	// Release gives a place back; it does not wait for an answer.
	Release(owner string, args wire.ReleaseArgs)
}

// Options are what a dispatcher works with.
type Options struct {
	// Life ends when the process stops at once; calls that outlast their
	// caller run within it.
	Life context.Context
	// Node, Incarnation and DataCentre are the own node's; the incarnation may
	// rise.
	Node        string
	Incarnation func() uint64
	DataCentre  string
	// Config holds the revision in force, View the nodes and replicas.
	Config *config.Holder
	View   func() *membership.Snapshot
	Places Places
	Dialer backend.Dialer
	Claims *ledger.Claims
	Bills  *ledger.Bills
	Pins   *ledger.Pins
	Record *record.Log
	// Suspects remembers requests that ran where a replica died, Alarms tells
	// other nodes of them; nil remembers none.
	Suspects *Suspects
	Alarms   Alarms
	// Observer learns from attempts and answers; nil learns nothing.
	Observer Observer
	// Cascade chooses between versions; nil keeps their order.
	Cascade Cascade
	// Held tells which versions should get no new sessions; nil means none.
	Held func(config.Target) bool
}

// Dispatcher carries requests to backend servers. It is safe for concurrent
// use.
type Dispatcher struct {
	Options
	mu      sync.Mutex
	budgets map[string]*admission.RetryBudget // guarded by mu, by organisation
	pauses  map[string]chan struct{}          // guarded by mu, by grant
	places  map[string]*place                 // guarded by mu, by grant
	// handed is the view that the owners of places were last compared with,
	// handAgain when those that do not count them are told again; both are
	// guarded by mu.
	handed    *membership.Snapshot
	handAgain time.Time
	recent    *routing.Recent         // guarded by mu
	cached    *routing.PrefixIndex    // guarded by mu
	told      *admission.RetryTimes   // guarded by mu
	used      *admission.UsageCounter // guarded by mu
	pace      *pace
	// outliers has a lock of its own, taken alone.
	outliers *outliers
	worked   atomic.Pointer[versionRules]
	viewed   atomic.Pointer[viewWaits]
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	return &Dispatcher{
		Options: o, pace: newPace(), outliers: newOutliers(), budgets: map[string]*admission.RetryBudget{}, pauses: map[string]chan struct{}{}, places: map[string]*place{},
		recent: routing.NewRecent(), cached: routing.NewPrefixIndex(rememberedBlocks), told: admission.NewRetryTimes(), used: admission.NewUsageCounter(),
	}
}

// Request is what is common to all requests.
type Request struct {
	// ID identifies the request; its bill is stored under it.
	ID string
	// Organisation, Caller and Session tell whose it is.
	Organisation string
	Caller       string
	Session      string
	// Rank is the rank's order.
	Rank int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Fingerprint identifies organisation and content.
	Fingerprint uint64
}

// NewID returns a random identifier of 32 hex digits.
func NewID() string {
	b := make([]byte, 16)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// place is a granted place on a replica.
type place struct {
	replica routing.Replica
	request wire.AcquireArgs
	paused  chan struct{}
	since   time.Time
	owners  []string // guarded by the dispatcher's mu; who may count it, the newest last
	counted bool     // guarded by the dispatcher's mu; the newest owner counts it
}

const (
	// maxPlaceTries bounds how many owners are asked for one attempt,
	// maxWaitTries how many may refuse for the length of their queues.
	maxPlaceTries = 4
	// maxRounds bounds how often a place is looked for with a view that
	// turned out to be old, staleWait is the mean time between.
	maxRounds    = 4
	staleWait    = 300 * time.Millisecond
	maxWaitTries = 2
	// rememberedBlocks bounds what the node remembers of prefix caches, in
	// prompt blocks.
	rememberedBlocks = 1 << 15
	// ownerCheck is how often a wait looks whether its owner still lives.
	ownerCheck = 250 * time.Millisecond
	// noBackendRetry is the come-back time when no replica is there.
	noBackendRetry = 2 * time.Second
)

// wish tells what kind of place a request needs.
type wish struct {
	target   config.Target
	pool     string
	tokens   int
	prompt   int
	resumed  bool
	began    string
	prefixes []uint64
	excluded []string
	deadline time.Time
	length   time.Duration
	book     bool
	first    bool
	// returns looks whether the request was refused before.
	returns bool
	// refusedBy is set to the replica whose refusal is the answer.
	refusedBy *string
}

// scope is where the work of the wish would run, without the replica's part.
func (w *wish) scope(organisation string) rollout.Scope {
	return rollout.Scope{Model: w.target.Model, Organisation: organisation}
}

// refuses notes whose refusal is the answer.
func (w *wish) refuses(replica string) {
	if w.refusedBy != nil {
		*w.refusedBy = replica
	}
}

// acquire finds a place. Where all that was found is that the view is out of
// date, it looks again once the view has had time to follow.
func (d *Dispatcher) acquire(ctx context.Context, req *Request, w wish) (*place, error) {
	for round := 1; ; round++ {
		p, stale, err := d.search(ctx, req, w)
		if err == nil || !stale || round == maxRounds || time.Until(w.deadline) < 2*staleWait {
			return p, err
		}
		timer := time.NewTimer(staleWait/2 + mathrand.N(staleWait))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, err
		}
		w.returns = false
	}
}

// search asks one owner after the other for a place. It tells whether it
// failed for replicas that were leaving, or whose owner had changed or did not
// answer, and for nothing else.
func (d *Dispatcher) search(ctx context.Context, req *Request, w wish) (p *place, stale bool, err error) {
	tried := append([]string(nil), w.excluded...)
	var refusal *outcome.Refusal
	var quiet quietChecks
	waits, other := 0, false
	for try := 0; try < maxPlaceTries && waits < maxWaitTries; try++ {
		wait := time.Until(w.deadline)
		if wait <= 0 {
			return nil, false, outcome.Refuse(outcome.CodeDeadline, minRetryAfter, "the deadline passed before a place was found: allow more time or come back later")
		}
		now := time.Now()
		rules, err := d.rules(now)
		if err != nil {
			return nil, false, err
		}
		quiet = quietChecks{hours: rules.hours, now: now, scope: w.scope(req.Organisation), length: w.length, known: quiet.known[:0]}
		view := d.View()
		choice := routing.ReplicaRequest{
			Target: w.target, Pool: w.pool, DataCentre: d.DataCentre, Rank: req.Rank, Excluded: tried, Now: now, Closed: quiet.closed,
			Began: w.began,
		}
		at := d.choose(view.Replicas, w, choice)
		d.Record.Add(req.ID, "%s", routing.ExplainReplica(view.Replicas, choice, at))
		if at < 0 {
			break
		}
		if try == 0 && w.returns {
			early := time.Duration(0)
			if at, early = d.returning(now, req, w.target, view, at); early > 0 {
				return nil, false, outcome.Refuse(outcome.CodeOverloaded, early, "the request came back before the time it was given: come back after the given time")
			}
		}
		w.first = try == 0
		w.book = waits+1 >= maxWaitTries || len(view.Replicas) == 1
		got, reply, err := d.ask(ctx, req, w, view.Replicas[at], quiet.longest(view.Replicas[at], wait))
		switch {
		case got != nil:
			return got, false, nil
		case ctx.Err() != nil:
			return nil, false, outcome.Refuse(outcome.CodeCancelled, 0, "the caller went away before the request was sent")
		case err == nil && !reply.NotOwner:
			d.Record.Add(req.ID, "replica %s refused: %s, come back in %s", view.Replicas[at].ID, reply.Reason, reply.RetryAfter)
			if refusal == nil || reply.Reason != ReasonLeaving {
				refusal = outcome.Refuse(refusalCode(reply.Reason), reply.RetryAfter, "%s: come back after the given time", reply.Reason)
			}
			stale = stale || reply.Reason == ReasonLeaving
			other = other || reply.Reason != ReasonLeaving
			if reply.Reason == ReasonWait {
				waits++
				w.refuses(view.Replicas[at].ID)
			}
		default:
			stale = true
			d.Record.Add(req.ID, "owner %s of replica %s did not answer", view.Replicas[at].Owner, view.Replicas[at].ID)
		}
		tried = append(tried, view.Replicas[at].ID)
	}
	switch {
	case refusal != nil:
		return nil, stale && !other, refusal
	case !quiet.until.IsZero():
		return nil, false, refuseQuiet(quiet.now, quiet.until)
	}
	return nil, stale, outcome.Refuse(outcome.CodeNoBackend, jitter(noBackendRetry), "no backend server can run the request now: come back later")
}

// ask asks one owner for a place.
func (d *Dispatcher) ask(ctx context.Context, req *Request, w wish, r routing.Replica, wait time.Duration) (*place, wire.AcquireReply, error) {
	args := wire.AcquireArgs{
		Grant: NewID(), Node: d.Node, Incarnation: d.Incarnation(), Replica: r.ID, Target: w.target,
		Organisation: req.Organisation, Caller: req.Caller, Rank: req.Rank, Tokens: w.tokens, Prompt: w.prompt, Wait: wait, Resumed: w.resumed,
		Fingerprint: req.Fingerprint, Book: w.book, Used: d.usedBy(req.Organisation),
	}
	p := &place{replica: r, request: args, owners: []string{r.Owner}, paused: make(chan struct{}, 1)}
	d.mu.Lock()
	d.pauses[args.Grant] = p.paused
	d.mu.Unlock()
	reply, err := d.acquireFrom(ctx, r.Owner, args, w.first && quick(&r, req.Rank))
	if err == nil && reply.Granted {
		d.take(p)
		d.mu.Lock()
		d.cached.Add(r.ID, w.prefixes)
		d.mu.Unlock()
		d.Record.Add(req.ID, "granted a place on replica %s by %s after %s%s", r.ID, r.Owner, reply.Queued.Round(time.Millisecond), promotion(reply))
		return p, reply, nil
	}
	d.give(p)
	if err != nil {
		d.Places.Release(r.Owner, wire.ReleaseArgs{Grant: args.Grant, Replica: r.ID})
	}
	return nil, reply, err
}

// release gives a place back with what was learned.
func (d *Dispatcher) release(p *place, args wire.ReleaseArgs) {
	d.use(p, args.Tokens)
	d.outliers.note(time.Now(), p.since, p.replica.ID, args)
	args.Grant = p.request.Grant
	args.Replica = p.replica.ID
	for _, owner := range d.give(p) {
		d.Places.Release(owner, args)
	}
}

// Ended returns those of the grants that no request of this node holds.
func (d *Dispatcher) Ended(grants []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, g := range grants {
		if d.pauses[g] == nil {
			out = append(out, g)
		}
	}
	return out
}

// Pause tells the stream that holds the grant to pause.
func (d *Dispatcher) Pause(grant string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ch := d.pauses[grant]; ch != nil {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// admit refuses a request whose bill could not be kept, and counts the others
// towards their organisations' retry budgets.
func (d *Dispatcher) admit(req *Request) error {
	if !d.Bills.HasRoom() {
		return outcome.Refuse(outcome.CodeStoreUnavailable, jitter(noBackendRetry), "too many bills wait for the store, so no more requests are served here: use another address or come back later")
	}
	d.firstTry(req.Organisation)
	return nil
}

// firstTry counts a request towards its organisation's retry budget.
func (d *Dispatcher) firstTry(organisation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budgets[organisation]
	if b == nil {
		b = admission.NewRetryBudget()
		d.budgets[organisation] = b
	}
	b.RecordFirstTry()
}

// retry takes a retry from the budget and waits its backoff out. It tells
// whether the request may be tried again.
func (d *Dispatcher) retry(ctx context.Context, req *Request, n int) bool {
	d.mu.Lock()
	b := d.budgets[req.Organisation]
	ok := b != nil && b.TakeRetry()
	d.mu.Unlock()
	wait := admission.Backoff(n, mathrand.Float64())
	if !ok || time.Until(req.Deadline) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// backendError returns the typed failure within err.
func backendError(err error) *backend.Error {
	var typed *backend.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanMaybe, Message: err.Error()}
}
