package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// slotSearch is the state of a node's search for a slot.
type slotSearch struct {
	tried         []string
	queueRefusals int
}

// requestSlot requests a slot from an owner, or refuses the try.
func (f *fleet) requestSlot(r *simRequest, s slotSearch) {
	if r.isDone || f.refuseIfQuarantined(r) {
		return
	}
	node := f.nodes[r.entryNode]
	index := -1
	if len(s.tried) <= maxTriedOwners {
		index = f.chooseReplica(r, s.tried)
	}
	if len(s.tried) == 0 && index >= 0 && r.receivedTokens == 0 && !f.policy.waitsUntilDeadline {
		retryAfter := node.retryTimes.Remaining(f.ev.now, fingerprint(r))
		if retryAfter > 0 && f.laggedView(r)[index].Waits[r.rank] > routing.QuickWait {
			f.refuseTry(r, retryAfter)
			return
		}
		if booked := f.ownerIndex(node.retryTimes.TakeBooking(f.ev.now, fingerprint(r))); booked >= 0 && !f.owners[booked].isDown {
			index = booked
		}
	}
	if index < 0 {
		f.refuseTry(r, noReplicaRetryAfter)
		return
	}
	o := f.owners[index]
	f.attemptCount++
	t := &simAttempt{id: fmt.Sprint(f.attemptCount), request: r, owner: o}
	r.attempt = t
	node.recentSends.Add(f.ev.now, o.id)
	f.stats.slotRequests++
	s.tried = append(slices.Clip(s.tried), o.id)
	if len(s.tried) == 1 && f.laggedView(r)[index].Waits[r.rank] <= routing.QuickWait {
		f.ev.after(routing.QuickAnswer, func() { f.abandonIfStuck(t, s) })
	}
	f.ev.after(f.delay(node.dc, o.dc), func() { f.offerToOwner(t, s) })
}

// abandonIfStuck withdraws the request from an owner that was reported to have
// a free slot but has not granted it, and asks another one.
func (f *fleet) abandonIfStuck(t *simAttempt, s slotSearch) {
	isQueued := t.owner.waiting[t.id] != nil
	if t.request.isDone || t.request.attempt != t || !(isQueued || t.isUnanswered) {
		return
	}
	t.owner.gate.Withdraw(t.id)
	delete(t.owner.waiting, t.id)
	f.requestSlot(t.request, s)
}

// retryElsewhere asks another owner unless another attempt has begun meanwhile.
func (f *fleet) retryElsewhere(t *simAttempt, s slotSearch) {
	if t.request.attempt == t {
		f.requestSlot(t.request, s)
	}
}

func fingerprint(r *simRequest) uint64 {
	if r.crashesEngine {
		return crashFingerprint
	}
	return uint64(r.id) + 1
}

// ownerIndex returns the index of a replica, or -1.
func (f *fleet) ownerIndex(id string) int {
	for i, o := range f.owners {
		if o.id == id {
			return i
		}
	}
	return -1
}

// laggedView returns the replica states that the request's entry node has
// received.
func (f *fleet) laggedView(r *simRequest) []routing.Replica {
	return f.views[max(len(f.views)-2-r.entryNode%3, 0)]
}

// offerToOwner delivers a slot request to the owner.
func (f *fleet) offerToOwner(t *simAttempt, s slotSearch) {
	r, o := t.request, t.owner
	if r.isDone {
		return
	}
	replyDelay := f.delay(f.nodes[r.entryNode].dc, o.dc)
	if f.isPartitioned(f.nodes[r.entryNode].dc, o.dc) {
		t.isUnanswered = true
		f.ev.after(failureDetectionTime, func() { f.retryElsewhere(t, s) })
		return
	}
	if f.ev.now.Before(o.frozenUntil) {
		t.isUnanswered = true
		f.ev.after(failureDetectionTime, func() { f.retryElsewhere(t, s) })
		return
	}
	if o.isDown {
		f.ev.after(replyDelay, func() { f.requestSlot(r, s) })
		return
	}
	if o.wouldMeetSuspect(r) {
		f.ev.after(replyDelay+suspectRetryDelay, func() { f.requestSlot(r, s) })
		return
	}
	work := &admission.Work{
		ID: t.id, Organisation: f.chargedOrganisation(r), Caller: f.chargedCaller(r), Rank: r.rank, Tokens: r.declaredTokens - r.receivedTokens, Memory: r.promptTokens + r.declaredTokens,
		Resumed: r.receivedTokens > 0 || r.pauses > 0 || f.policy.waitsUntilDeadline, Pausable: true, Fingerprint: fingerprint(r),
		Arrived: f.ev.now, Deadline: r.tryStarted.Add(rankWorkloads[r.rank].deadline),
	}
	f.addUsage(work, r)
	decision := o.gate.Offer(f.ev.now, work, s.queueRefusals+1 >= maxQueueRefusals)
	t.search = s
	if decision.Evicted != nil {
		o.refuseQueued(decision.Evicted, decision.EvictedRetryAfter)
	}
	o.refuseLate()
	switch {
	case decision.Queued:
		o.waiting[t.id] = t
		o.grantAndPause()
	default:
		f.returnQueueRefusal(t, decision.RetryAfter)
	}
}

// returnQueueRefusal reports to the entry node that an owner's queue is too
// long. The node asks one more owner, then refuses.
func (f *fleet) returnQueueRefusal(t *simAttempt, retryAfter time.Duration) {
	r, s := t.request, t.search
	s.queueRefusals++
	f.ev.after(f.delay(f.nodes[r.entryNode].dc, t.owner.dc), func() {
		if s.queueRefusals < maxQueueRefusals {
			f.requestSlot(r, s)
			return
		}
		f.nodes[r.entryNode].retryTimes.Record(f.ev.now, fingerprint(r), t.owner.id, retryAfter)
		f.refuseUnstarted(t, retryAfter)
	})
}

// refuseLate refuses queued work that would not be served in time.
func (o *simOwner) refuseLate() {
	for w, retryAfter := o.gate.RefuseLate(o.fleet.ev.now); w != nil; w, retryAfter = o.gate.RefuseLate(o.fleet.ev.now) {
		o.refuseQueued(w, retryAfter)
	}
}

// refuseQueued refuses work in the queue.
func (o *simOwner) refuseQueued(w *admission.Work, retryAfter time.Duration) {
	t := o.waiting[w.ID]
	delete(o.waiting, w.ID)
	o.fleet.returnQueueRefusal(t, retryAfter)
}

// chooseReplica returns the index of a replica that was not tried yet, or -1.
func (f *fleet) chooseReplica(r *simRequest, tried []string) int {
	if f.policy.roundRobinReplicas {
		f.nextReplica++
		for i := range f.owners {
			index := (f.nextReplica + i) % len(f.owners)
			if !f.owners[index].isDown && !slices.Contains(tried, f.owners[index].id) {
				return index
			}
		}
		return -1
	}
	node := f.nodes[r.entryNode]
	view := f.laggedView(r)
	tried = f.excludeUnreachable(node.dc, tried)
	req := routing.ReplicaRequest{
		Target: simTarget, DataCentre: f.dcName(node.dc), Rank: r.rank, Excluded: tried,
		Draw: f.rng.Uint64(), Choices: f.policy.maxChoices,
	}
	req.Cached = f.cachedReplicas(r)
	req.StartedOn = r.lastReplica
	if r.receivedTokens > 0 {
		req.StartedOn = r.lastReplica
	}
	req.Recent, req.Now = node.recentSends, f.ev.now
	return routing.ChooseReplica(view, req)
}

// refuseUnstarted refuses a request unless it has ended or received tokens.
func (f *fleet) refuseUnstarted(t *simAttempt, retryAfter time.Duration) {
	if !t.request.isDone && t.request.receivedTokens == 0 {
		f.refuseTry(t.request, retryAfter)
	}
}

func (f *fleet) refuseTry(r *simRequest, retryAfter time.Duration) {
	f.stats.refusals++
	r.isAway = true
	behaviour := r.behaviour
	if r.callerTries >= maxCallerTries {
		behaviour = givesUp
	}
	switch behaviour {
	case obeysRetryAfter:
		if r.promisedRetry == 0 {
			r.promisedRetry = f.ev.now.Sub(r.arrived) + retryAfter
		}
		f.ev.after(retryAfter, func() { f.startTry(r) })
	case retriesAtOnce:
		f.ev.after(immediateRetryDelay, func() { f.startTry(r) })
	default:
		r.isRefused, r.isDone = true, true
		f.stats.recordEnd(r, f.ev.now)
	}
}
