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

// OwnerClient calls the owners of replicas, including this node.
type OwnerClient interface {
	// Acquire asks owner for a slot. It returns an error if the owner does not
	// answer.
	Acquire(ctx context.Context, owner string, args wire.AcquireArgs) (wire.AcquireReply, error)
	// Release returns a slot to its owner, without waiting for a reply.
	Release(owner string, args wire.ReleaseArgs)
}

// Options configures a Dispatcher.
type Options struct {
	// ProcessContext is cancelled when the process is stopped without a graceful
	// shutdown. Calls that outlive their caller run under it.
	ProcessContext context.Context
	// Node, Incarnation and DataCentre describe this node. The incarnation may
	// increase while the process runs.
	Node        string
	Incarnation func() uint64
	DataCentre  string
	// Config holds the revision in force. View returns the current snapshot of
	// nodes and replicas.
	Config *config.Holder
	View   func() *membership.Snapshot
	Owners OwnerClient
	Dialer backend.Dialer
	Claims *ledger.Claims
	Bills  *ledger.Bills
	Pins   *ledger.Pins
	Record *record.Log
	// Suspects records requests that were running on a replica when it crashed.
	// CrashReporter publishes the records to other nodes. A nil Suspects disables the
	// tracking.
	Suspects      *Suspects
	CrashReporter CrashReporter
	// Observer is notified of attempts and answers. Nil disables it.
	Observer Observer
	// Cascade chooses between versions. Nil keeps the configured order.
	Cascade Cascade
	// IsOnHold reports whether a version is on hold and gets no new sessions. Nil
	// means that no version is on hold.
	IsOnHold func(config.Target) bool
}

// Dispatcher sends requests to backend servers and retries failed attempts. It
// is safe for concurrent use.
type Dispatcher struct {
	Options
	mu           sync.Mutex
	retryBudgets map[string]*admission.RetryBudget // guarded by mu, by organisation
	pauseSignals map[string]chan struct{}          // guarded by mu, by grant
	slots        map[string]*slot                  // guarded by mu, by grant
	// comparedView is the view against which the owners of held slots were last
	// checked. reportAgainAt is when slots that their owner does not count yet
	// are reported again. Both are guarded by mu.
	comparedView  *membership.Snapshot
	reportAgainAt time.Time
	recentSends   *routing.RecentSends    // guarded by mu
	prefixes      *routing.PrefixIndex    // guarded by mu
	retryTimes    *admission.RetryTimes   // guarded by mu
	usage         *admission.UsageCounter // guarded by mu
	durations     *durationEstimator
	// outliers has its own lock. It is never taken together with another lock.
	outliers     *outliers
	currentRules atomic.Pointer[revisionRules]
	currentWaits atomic.Pointer[viewWaits]
}

// New returns a dispatcher with the given options.
func New(o Options) *Dispatcher {
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	return &Dispatcher{
		Options: o, durations: newDurationEstimator(), outliers: newOutliers(), retryBudgets: map[string]*admission.RetryBudget{}, pauseSignals: map[string]chan struct{}{}, slots: map[string]*slot{},
		recentSends: routing.NewRecentSends(), prefixes: routing.NewPrefixIndex(maxPrefixBlocks), retryTimes: admission.NewRetryTimes(), usage: admission.NewUsageCounter(),
	}
}

// Request holds the fields common to chat requests and service calls.
type Request struct {
	// ID identifies the request. Its bill is stored under this ID.
	ID string
	// Organisation, Caller and Session identify where the request came from.
	Organisation string
	Caller       string
	Session      string
	// Rank is the position of the request's rank. 0 is the most urgent.
	Rank int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Fingerprint identifies the organisation and the content of the request.
	Fingerprint uint64
	// Parts are the parts of the prompt that other requests may share: never its last.
	Parts []Part
}

// NewID returns a random identifier of 32 hex digits.
func NewID() string {
	b := make([]byte, 16)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// slot is a slot on a replica that its owner granted to a request of this node.
type slot struct {
	replica   routing.Replica
	request   wire.AcquireArgs
	pause     chan struct{}
	grantedAt time.Time
	owners    []string // guarded by the dispatcher's mu; who may count it, the newest last
	isCounted bool     // guarded by the dispatcher's mu; the newest owner counts it
}

const (
	// maxSlotAttempts bounds the owners that one search asks for a slot.
	maxSlotAttempts = 4
	// maxSearchRounds bounds how often the search for a slot is repeated after
	// a stale view made it fail. staleViewDelay is the mean delay between
	// rounds.
	maxSearchRounds = 4
	staleViewDelay  = 300 * time.Millisecond
	// maxWaitRefusals bounds how many owners in one search may refuse because
	// their queue is too long.
	maxWaitRefusals = 2
	// maxPrefixBlocks bounds the record of prefix caches on this node, in
	// prompt blocks.
	maxPrefixBlocks = 1 << 15
	// ownerCheckInterval is how often a wait checks that the owner is still
	// live.
	ownerCheckInterval = 250 * time.Millisecond
	// noBackendRetryAfter is the retry-after time when no replica is available.
	noBackendRetryAfter = 2 * time.Second
)

// slotRequest describes the slot that a request needs.
type slotRequest struct {
	target       config.Target
	pool         string
	tokens       int
	promptTokens int
	resumed      bool
	startedOn    string
	prefixes     []uint64
	excluded     []string
	deadline     time.Time
	duration     time.Duration
	// bookRetry asks the owner to book a time for the retry if it refuses.
	bookRetry  bool
	isFirstTry bool
	// checkRetry makes the search check whether the request was refused before.
	checkRetry bool
	// refusedBy, if not nil, is set to the replica whose refusal is returned.
	refusedBy *string
}

// scope returns the quiet-hours scope of the work, without the fields that
// depend on the replica.
func (w *slotRequest) scope(organisation string) rollout.Scope {
	return rollout.Scope{Model: w.target.Model, Organisation: organisation}
}

// setRefusedBy records the replica whose refusal is returned.
func (w *slotRequest) setRefusedBy(replica string) {
	if w.refusedBy != nil {
		*w.refusedBy = replica
	}
}

// acquire finds a slot. If the search failed only because the view is stale,
// acquire waits for the view to be updated and searches again.
func (d *Dispatcher) acquire(ctx context.Context, req *Request, w slotRequest) (*slot, error) {
	for round := 1; ; round++ {
		sl, stale, err := d.searchSlot(ctx, req, w)
		if err == nil || !stale || round == maxSearchRounds || time.Until(w.deadline) < 2*staleViewDelay {
			return sl, err
		}
		timer := time.NewTimer(staleViewDelay/2 + mathrand.N(staleViewDelay))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, err
		}
		w.checkRetry = false
	}
}

// searchSlot asks one owner after another for a slot. stale reports that the
// search failed only because replicas were draining, or because their owner had
// changed or did not answer.
func (d *Dispatcher) searchSlot(ctx context.Context, req *Request, w slotRequest) (sl *slot, stale bool, err error) {
	tried := append([]string(nil), w.excluded...)
	var refusal *outcome.Refusal
	var checks quietChecks
	waitRefusals, otherRefusal := 0, false
	for try := 0; try < maxSlotAttempts && waitRefusals < maxWaitRefusals; try++ {
		wait := time.Until(w.deadline)
		if wait <= 0 {
			return nil, false, outcome.Refuse(outcome.CodeDeadline, minRetryAfter, "the deadline passed before a place was found: allow more time or come back later")
		}
		now := time.Now()
		rules, err := d.rules(now)
		if err != nil {
			return nil, false, err
		}
		checks = quietChecks{hours: rules.hours, now: now, scope: w.scope(req.Organisation), duration: w.duration, windows: checks.windows[:0]}
		view := d.View()
		choice := routing.ReplicaRequest{
			Target: w.target, Pool: w.pool, DataCentre: d.DataCentre, Rank: req.Rank, Excluded: tried, Now: now, InQuietHours: checks.isClosed,
			StartedOn: w.startedOn,
		}
		chosen := d.chooseReplica(view.Replicas, w, choice)
		d.Record.Add(req.ID, "%s", routing.ExplainReplica(view.Replicas, choice, chosen))
		if chosen < 0 {
			break
		}
		if try == 0 && w.checkRetry {
			remaining := time.Duration(0)
			if chosen, remaining = d.checkRetry(now, req, w.target, view, chosen); remaining > 0 {
				return nil, false, outcome.Refuse(outcome.CodeOverloaded, remaining, "the request came back before the time it was given: come back after the given time")
			}
		}
		w.isFirstTry = try == 0
		w.bookRetry = waitRefusals+1 >= maxWaitRefusals || len(view.Replicas) == 1
		granted, reply, err := d.askOwner(ctx, req, w, view.Replicas[chosen], checks.maxWait(view.Replicas[chosen], wait))
		switch {
		case granted != nil:
			return granted, false, nil
		case ctx.Err() != nil:
			return nil, false, outcome.Refuse(outcome.CodeCancelled, 0, "the caller went away before the request was sent")
		case err == nil && !reply.NotOwner:
			d.Record.Add(req.ID, "replica %s refused: %s, retry after %s", view.Replicas[chosen].ID, reply.Reason, reply.RetryAfter)
			if refusal == nil || reply.Reason != ReasonDraining {
				refusal = outcome.Refuse(refusalCode(reply.Reason), reply.RetryAfter, "%s: come back after the given time", reply.Reason)
			}
			stale = stale || reply.Reason == ReasonDraining
			otherRefusal = otherRefusal || reply.Reason != ReasonDraining
			if reply.Reason == ReasonWait {
				waitRefusals++
				w.setRefusedBy(view.Replicas[chosen].ID)
			}
		default:
			stale = true
			d.Record.Add(req.ID, "owner %s of replica %s did not answer", view.Replicas[chosen].Owner, view.Replicas[chosen].ID)
		}
		tried = append(tried, view.Replicas[chosen].ID)
	}
	switch {
	case refusal != nil:
		return nil, stale && !otherRefusal, refusal
	case !checks.until.IsZero():
		return nil, false, refuseQuiet(checks.now, checks.until)
	}
	return nil, stale, outcome.Refuse(outcome.CodeNoBackend, jitter(noBackendRetryAfter), "no backend server can run the request now: come back later")
}

// askOwner asks the owner of one replica for a slot.
func (d *Dispatcher) askOwner(ctx context.Context, req *Request, w slotRequest, r routing.Replica, wait time.Duration) (*slot, wire.AcquireReply, error) {
	args := wire.AcquireArgs{
		Grant: NewID(), Node: d.Node, Incarnation: d.Incarnation(), Replica: r.ID, Target: w.target,
		Organisation: req.Organisation, Caller: req.Caller, Rank: req.Rank, Tokens: w.tokens, Prompt: w.promptTokens, Wait: wait, Resumed: w.resumed,
		Fingerprint: req.Fingerprint, Book: w.bookRetry, Used: d.recentUsage(req.Organisation),
	}
	sl := &slot{replica: r, request: args, owners: []string{r.Owner}, pause: make(chan struct{}, 1)}
	d.mu.Lock()
	d.pauseSignals[args.Grant] = sl.pause
	d.mu.Unlock()
	reply, err := d.acquireFrom(ctx, r.Owner, args, w.isFirstTry && isQuick(&r, req.Rank))
	if err == nil && reply.Granted {
		d.addSlot(sl)
		d.mu.Lock()
		d.prefixes.Add(r.ID, w.prefixes)
		d.mu.Unlock()
		d.Record.Add(req.ID, "granted a slot on replica %s by %s after %s%s", r.ID, r.Owner, reply.Queued.Round(time.Millisecond), promotionText(reply))
		return sl, reply, nil
	}
	d.removeSlot(sl)
	if err != nil {
		d.Owners.Release(r.Owner, wire.ReleaseArgs{Grant: args.Grant, Replica: r.ID})
	}
	return nil, reply, err
}

// release returns a slot to its owner and reports what was measured.
func (d *Dispatcher) release(sl *slot, args wire.ReleaseArgs) {
	d.recordUsage(sl, args.Tokens)
	d.outliers.recordRelease(time.Now(), sl.grantedAt, sl.replica.ID, args)
	args.Grant = sl.request.Grant
	args.Replica = sl.replica.ID
	for _, owner := range d.removeSlot(sl) {
		d.Owners.Release(owner, args)
	}
}

// UnheldGrants returns the given grants that no request of this node holds or waits
// for.
func (d *Dispatcher) UnheldGrants(grants []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, g := range grants {
		if d.pauseSignals[g] == nil {
			out = append(out, g)
		}
	}
	return out
}

// Pause asks the stream that holds the grant to pause. It does not block.
func (d *Dispatcher) Pause(grant string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ch := d.pauseSignals[grant]; ch != nil {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// admit refuses a request whose bill could not be stored. It counts every other
// request towards the retry budget of its organisation.
func (d *Dispatcher) admit(req *Request) error {
	if !d.Bills.HasRoom() {
		return outcome.Refuse(outcome.CodeStoreUnavailable, jitter(noBackendRetryAfter), "too many bills wait for the store, so no more requests are served here: use another address or come back later")
	}
	d.countRequest(req.Organisation)
	return nil
}

// countRequest counts a request towards the retry budget of its organisation.
func (d *Dispatcher) countRequest(organisation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.retryBudgets[organisation]
	if b == nil {
		b = admission.NewRetryBudget()
		d.retryBudgets[organisation] = b
	}
	b.RecordFirstTry()
}

// spendRetry takes a retry from the budget and waits for its backoff. It
// reports whether the request may be tried again.
func (d *Dispatcher) spendRetry(ctx context.Context, req *Request, n int) bool {
	d.mu.Lock()
	b := d.retryBudgets[req.Organisation]
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

// backendError returns the *backend.Error in the chain of err. If there is
// none, the error counts as a broken connection after which the request may
// have run.
func backendError(err error) *backend.Error {
	var typed *backend.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanMaybe, Message: err.Error()}
}
