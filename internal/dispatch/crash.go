package dispatch

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// inspectTimeout bounds the time to ask an owner whether a replica crashed
	// and to publish the crash.
	inspectTimeout = 500 * time.Millisecond
	// suspectRetryDelay is the mean delay before a suspect asks again for a
	// replica that runs no other suspect.
	suspectRetryDelay = 200 * time.Millisecond
	// minSurvivalTokens is the number of tokens after which a replica counts as well
	// past the start of an answer. One that is crashed by its prompt sends fewer.
	minSurvivalTokens = 32
)

// ReasonSuspect is the reason of the owner's refusal to run a second suspect on
// a replica.
const ReasonSuspect = "the replica runs another request that may bring it down"

// CrashReporter publishes crash records to other nodes and queries the state of
// replicas.
type CrashReporter interface {
	// HasCrashed reports whether a replica has crashed, according to its owner.
	HasCrashed(ctx context.Context, owner, replica, address string) bool
	// Publish sends records to all live nodes. It waits a short time for them.
	Publish(ctx context.Context, list []wire.Suspect)
}

// refuseQuarantined returns a refusal if the request has crashed too many
// replicas.
func (d *Dispatcher) refuseQuarantined(a *answer) error {
	if d.Suspects == nil {
		return nil
	}
	now := time.Now()
	if part, ok := d.Suspects.QuarantinedPart(a.req.Parts, now); ok {
		return &outcome.Refusal{Code: outcome.CodeCrashSuspect, Ran: a.ran, Message: "a message of this request brought backend servers down and is refused everywhere: change it, or ask the operator about part " + part.Part}
	}
	if !d.Suspects.IsQuarantined(a.req.Fingerprint, now) {
		return nil
	}
	return &outcome.Refusal{Code: outcome.CodeCrashSuspect, Ran: a.ran, Message: "this request brought two backend servers down and is refused everywhere: change it, or ask the operator"}
}

// reportCrash records that a replica crashed while it ran the request, and
// publishes the record before the request is tried again. tokens is how many tokens
// the replica had sent. It returns false if the replica is live.
func (d *Dispatcher) reportCrash(ctx context.Context, a *answer, sl *slot, tokens int, err *backend.Error) bool {
	if d.Suspects == nil || err.Kind != backend.KindBroken || err.Ran == outcome.RanNo {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	if !d.CrashReporter.HasCrashed(ctx, d.countingOwner(sl), sl.replica.ID, sl.replica.Address) {
		return false
	}
	now := time.Now()
	suspect := d.Suspects.RecordCrash(a.req.Fingerprint, sl.replica.ID, now)
	records := []wire.Suspect{suspect}
	if tokens < minSurvivalTokens {
		records = append(records, d.Suspects.RecordPartCrash(a.req.Fingerprint, a.req.Parts, sl.replica.ID, now)...)
	}
	d.Record.Add(a.req.ID, "replica %s crashed while running the request, crash %d of %d", sl.replica.ID, len(suspect.Lost), crashesToQuarantine)
	d.CrashReporter.Publish(ctx, records)
	return true
}

// refusalCode returns the refusal code for an owner's reason.
func refusalCode(reason string) outcome.Code {
	if reason == ReasonSuspect {
		return outcome.CodeCrashSuspect
	}
	return outcome.CodeOverloaded
}

// awaitReplica waits before a suspect asks again for a replica that runs no
// other suspect. It returns false if the refusal has another reason or too
// little time is left.
func (d *Dispatcher) awaitReplica(ctx context.Context, a *answer, refusal error) bool {
	if outcome.AsRefusal(refusal).Code != outcome.CodeCrashSuspect || time.Until(a.req.Deadline) < 2*suspectRetryDelay {
		return false
	}
	timer := time.NewTimer(jitter(suspectRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitTrial waits until a request with the suspected parts of this prompt may be tried.
func (d *Dispatcher) awaitTrial(ctx context.Context, a *answer) {
	if d.Suspects == nil {
		return
	}
	if suspected, next := d.Suspects.SuspectedParts(a.req.Parts); len(suspected) > 0 {
		loop.Sleep(ctx, time.Until(next))
	}
}

// clear clears the crashes recorded for a request that was answered, and for the
// parts of its prompt.
func (d *Dispatcher) clear(a *answer) {
	if d.Suspects != nil {
		d.Suspects.ClearCrashes(a.req.Fingerprint, time.Now())
		d.clearParts(a)
	}
}

// clearParts clears the crashes recorded for the parts of a prompt that a replica
// answers, and tells the other nodes.
func (d *Dispatcher) clearParts(a *answer) {
	d.Suspects.RecordStart(a.req.Fingerprint, a.req.Parts, time.Now())
	if changed := d.Suspects.RecordSurvival(a.req.Parts, time.Now()); len(changed) > 0 {
		go d.CrashReporter.Publish(context.Background(), changed)
	}
}

// SetSuspects sets the record of suspects and makes the owner keep suspects on
// separate replicas. It must be called before the first replica is owned.
func (o *Owner) SetSuspects(s *Suspects) { o.suspects = s }

// hasOtherSuspect reports whether the request is a suspect and the replica
// already runs or queues another one. The caller holds mu.
func (r *replica) hasOtherSuspect(fingerprint uint64) bool {
	now := time.Now()
	if r.suspects == nil || !r.suspects.IsSuspect(fingerprint, now) {
		return false
	}
	for _, h := range r.holders {
		if h.args.Fingerprint != fingerprint && r.suspects.IsSuspect(h.args.Fingerprint, now) {
			return true
		}
	}
	for _, w := range r.waiting {
		if w.args.Fingerprint != fingerprint && r.suspects.IsSuspect(w.args.Fingerprint, now) {
			return true
		}
	}
	return false
}

// Inspect reports whether a replica is live and still has the incarnation that
// the owner saw last. A replica that has not answered when ctx ends counts as
// live. owned is false if this node does not own the replica.
func (o *Owner) Inspect(ctx context.Context, dialer backend.Dialer, replica string) (live, owned bool) {
	o.mu.Lock()
	r := o.replicas[replica]
	o.mu.Unlock()
	if r == nil {
		return false, false
	}
	r.mu.Lock()
	r.countProbe(time.Now())
	r.mu.Unlock()
	report, err := dialer.Engine(r.address).Load(ctx)
	if ctx.Err() != nil {
		return true, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return err == nil && (r.lastIncarnation == "" || r.lastIncarnation == report.Incarnation), true
}
