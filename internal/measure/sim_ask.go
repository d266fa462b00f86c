package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// search is the state of one search for a place.
type search struct {
	tried []string
	waits int
}

// ask asks an owner for a place.
func (f *fleet) ask(r *simRequest, s search) {
	if r.done || f.convicted(r) {
		return
	}
	node := f.nodes[r.home]
	at := -1
	if len(s.tried) <= placeTries {
		at = f.choose(r, s.tried)
	}
	if len(s.tried) == 0 && at >= 0 && r.steps == 0 && !f.policy.naive {
		early := node.told.Remaining(f.ev.now, fingerprint(r))
		if early > 0 && f.view(r)[at].Waits[r.rank] > routing.QuickWait {
			f.refuse(r, early)
			return
		}
		if kept := f.index(node.told.TakeBooking(f.ev.now, fingerprint(r))); kept >= 0 && !f.owners[kept].down {
			at = kept
		}
	}
	if at < 0 {
		f.refuse(r, noReplica)
		return
	}
	o := f.owners[at]
	f.turn++
	t := &simTry{id: fmt.Sprint(f.turn), req: r, owner: o}
	r.try = t
	node.recent.Add(f.ev.now, o.id)
	f.stats.messages++
	s.tried = append(slices.Clip(s.tried), o.id)
	if len(s.tried) == 1 && f.view(r)[at].Waits[r.rank] <= routing.QuickWait {
		f.ev.after(routing.QuickAnswer, func() { f.giveUp(t, s) })
	}
	f.ev.after(f.delay(node.dc, o.dc), func() { f.offer(t, s) })
}

// giveUp asks another owner where one with a free place has not answered.
func (f *fleet) giveUp(t *simTry, s search) {
	stuck := t.owner.waiting[t.id] != nil
	if t.req.done || t.req.try != t || !(stuck || t.unanswered) {
		return
	}
	t.owner.gate.Withdraw(t.id)
	delete(t.owner.waiting, t.id)
	f.ask(t.req, s)
}

// retry asks another owner unless that was done meanwhile.
func (f *fleet) retry(t *simTry, s search) {
	if t.req.try == t {
		f.ask(t.req, s)
	}
}

func fingerprint(r *simRequest) uint64 {
	if r.crashes {
		return crashPrint
	}
	return uint64(r.id) + 1
}

// index returns the place of a replica, or -1.
func (f *fleet) index(id string) int {
	for i, o := range f.owners {
		if o.id == id {
			return i
		}
	}
	return -1
}

// view is what the request's entry node knows of the replicas.
func (f *fleet) view(r *simRequest) []routing.Replica {
	return f.views[max(len(f.views)-2-r.home%3, 0)]
}

// offer brings a request for a place to the owner.
func (f *fleet) offer(t *simTry, s search) {
	r, o := t.req, t.owner
	if r.done {
		return
	}
	back := f.delay(f.nodes[r.home].dc, o.dc)
	if f.apart(f.nodes[r.home].dc, o.dc) {
		t.unanswered = true
		f.ev.after(cutNoticed, func() { f.retry(t, s) })
		return
	}
	if f.ev.now.Before(o.frozen) {
		t.unanswered = true
		f.ev.after(cutNoticed, func() { f.retry(t, s) })
		return
	}
	if o.down {
		f.ev.after(back, func() { f.ask(r, s) })
		return
	}
	if o.crowded(r) {
		f.ev.after(back+suspectRetry, func() { f.ask(r, s) })
		return
	}
	work := &admission.Work{
		ID: t.id, Organisation: f.payer(r), Caller: f.caller(r), Rank: r.rank, Tokens: r.declared - r.steps, Memory: r.prompt + r.declared,
		Resumed: r.steps > 0 || r.paused > 0 || f.policy.naive, Pausable: true, Fingerprint: fingerprint(r),
		Arrived: f.ev.now, Deadline: r.asked.Add(kinds[r.rank].deadline),
	}
	f.tell(work, r)
	v := o.gate.Offer(f.ev.now, work, s.waits+1 >= waitTries)
	t.search = s
	if v.Evicted != nil {
		o.evict(v.Evicted, v.EvictedRetryAfter)
	}
	o.settle()
	switch {
	case v.Queued:
		o.waiting[t.id] = t
		o.pump()
	default:
		f.tooLong(t, v.RetryAfter)
	}
}

// tooLong tells the entry node that an owner's queue is too long. It asks one
// more owner, then refuses.
func (f *fleet) tooLong(t *simTry, retryAfter time.Duration) {
	r, s := t.req, t.search
	s.waits++
	f.ev.after(f.delay(f.nodes[r.home].dc, t.owner.dc), func() {
		if s.waits < waitTries {
			f.ask(r, s)
			return
		}
		f.nodes[r.home].told.Record(f.ev.now, fingerprint(r), t.owner.id, retryAfter)
		f.refused(t, retryAfter)
	})
}

// settle refuses waiting work whose turn does not come in time.
func (o *simOwner) settle() {
	for w, retryAfter := o.gate.RefuseLate(o.f.ev.now); w != nil; w, retryAfter = o.gate.RefuseLate(o.f.ev.now) {
		o.evict(w, retryAfter)
	}
}

// evict refuses waiting work.
func (o *simOwner) evict(w *admission.Work, retryAfter time.Duration) {
	t := o.waiting[w.ID]
	delete(o.waiting, w.ID)
	o.f.tooLong(t, retryAfter)
}

// choose returns the index of a replica.
func (f *fleet) choose(r *simRequest, tried []string) int {
	if f.policy.roundRobin {
		f.nextReplica++
		for i := range f.owners {
			at := (f.nextReplica + i) % len(f.owners)
			if !f.owners[at].down && !slices.Contains(tried, f.owners[at].id) {
				return at
			}
		}
		return -1
	}
	node := f.nodes[r.home]
	view := f.view(r)
	tried = f.unreachable(node.dc, tried)
	req := routing.ReplicaRequest{
		Target: simTarget, DataCentre: f.dcName(node.dc), Rank: r.rank, Excluded: tried,
		Draw: f.rng.Uint64(), Choices: f.policy.choices,
	}
	req.Cached = f.cached(r)
	req.StartedOn = r.began
	if r.steps > 0 {
		req.StartedOn = r.began
	}
	req.Recent, req.Now = node.recent, f.ev.now
	return routing.ChooseReplica(view, req)
}

// refused gives a caller its refusal.
func (f *fleet) refused(t *simTry, retryAfter time.Duration) {
	if !t.req.done && t.req.steps == 0 {
		f.refuse(t.req, retryAfter)
	}
}

func (f *fleet) refuse(r *simRequest, retryAfter time.Duration) {
	f.stats.refusals++
	r.away = true
	again := r.manner
	if r.tries >= maxTries {
		again = leaves
	}
	switch again {
	case obeys:
		if r.told == 0 {
			r.told = f.ev.now.Sub(r.arrived) + retryAfter
		}
		f.ev.after(retryAfter, func() { f.begin(r) })
	case insists:
		f.ev.after(retryAtOnce, func() { f.begin(r) })
	default:
		r.refused, r.done = true, true
		f.stats.finished(r, f.ev.now)
	}
}
