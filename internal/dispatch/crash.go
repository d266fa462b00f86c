package dispatch

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// inspectWait bounds the question whether a replica died.
	inspectWait = 500 * time.Millisecond
	// suspectWait is the mean time after which a suspect asks again for a
	// replica that runs no other.
	suspectWait = 200 * time.Millisecond
)

// ReasonSuspect is the owner's refusal of a second suspect on a replica.
const ReasonSuspect = "the replica runs another request that may bring it down"

// Alarms tells other nodes of crashes, and asks about replicas.
type Alarms interface {
	// Died tells whether a replica is dead, as its owner finds.
	Died(ctx context.Context, owner, replica, address string) bool
	// Tell hands records to all live nodes; it waits a short while for them.
	Tell(ctx context.Context, list []wire.Suspect)
}

// refuseConvicted refuses a request that has brought replicas down.
func (d *Dispatcher) refuseConvicted(a *answer) error {
	if d.Suspects == nil || !d.Suspects.Convicted(a.req.Fingerprint, time.Now()) {
		return nil
	}
	return &outcome.Refusal{Code: outcome.CodeCrashSuspect, Ran: a.ran, Message: "this request brought two backend servers down and is refused everywhere: change it, or ask the operator"}
}

// crashed notes a replica's death under the request, and tells the others
// before the request is tried again. It returns false if the replica lives.
func (d *Dispatcher) crashed(ctx context.Context, a *answer, p *place, err *backend.Error) bool {
	if d.Suspects == nil || err.Kind != backend.KindBroken || err.Ran == outcome.RanNo {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, inspectWait)
	defer cancel()
	if !d.Alarms.Died(ctx, d.owner(p), p.replica.ID, p.replica.Address) {
		return false
	}
	e := d.Suspects.Crashed(a.req.Fingerprint, p.replica.ID, time.Now())
	d.Record.Add(a.req.ID, "replica %s died under the request, crash %d of %d", p.replica.ID, len(e.Lost), crashesToConvict)
	d.Alarms.Tell(ctx, []wire.Suspect{e})
	return true
}

// refusalCode returns the code for an owner's reason.
func refusalCode(reason string) outcome.Code {
	if reason == ReasonSuspect {
		return outcome.CodeCrashSuspect
	}
	return outcome.CodeOverloaded
}

// awaitReplica waits a little before a suspect asks again for a replica that
// runs no other. It returns false if the refusal has another reason or the
// request's time is up.
func (d *Dispatcher) awaitReplica(ctx context.Context, a *answer, refusal error) bool {
	if outcome.AsRefusal(refusal).Code != outcome.CodeCrashSuspect || time.Until(a.req.Deadline) < 2*suspectWait {
		return false
	}
	timer := time.NewTimer(jitter(suspectWait))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// clear ends a suspicion when the request was answered.
func (d *Dispatcher) clear(a *answer) {
	if d.Suspects != nil {
		d.Suspects.Cleared(a.req.Fingerprint, time.Now())
	}
}

// Watch makes the owner keep suspects apart; it is called before the first
// replica is owned.
func (o *Owner) Watch(s *Suspects) { o.suspects = s }

// crowded tells whether a suspect would meet another one. The caller holds
// mu.
func (r *replica) crowded(fingerprint uint64) bool {
	now := time.Now()
	if r.suspects == nil || !r.suspects.Suspected(fingerprint, now) {
		return false
	}
	for _, h := range r.holders {
		if h.args.Fingerprint != fingerprint && r.suspects.Suspected(h.args.Fingerprint, now) {
			return true
		}
	}
	for _, w := range r.waiting {
		if w.args.Fingerprint != fingerprint && r.suspects.Suspected(w.args.Fingerprint, now) {
			return true
		}
	}
	return false
}

// Inspect asks an owned replica whether it lives, as the process that the
// owner saw last. One that is only silent until ctx ends counts as alive.
func (o *Owner) Inspect(ctx context.Context, dialer backend.Dialer, replica string) (alive, owned bool) {
	o.mu.Lock()
	r := o.replicas[replica]
	o.mu.Unlock()
	if r == nil {
		return false, false
	}
	report, err := dialer.Engine(r.address).Load(ctx)
	if ctx.Err() != nil {
		return true, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return err == nil && (r.process == "" || r.process == report.Incarnation), true
}
