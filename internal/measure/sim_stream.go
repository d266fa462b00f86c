package measure

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
)

// grantAndPause grants free slots to waiting work and requests pauses.
func (o *simOwner) grantAndPause() {
	f := o.fleet
	if f.ev.now.Before(o.frozenUntil) {
		return
	}
	for w := o.gate.Grant(f.ev.now); w != nil; w = o.gate.Grant(f.ev.now) {
		t := o.waiting[w.ID]
		delete(o.waiting, w.ID)
		o.granted[t.id] = t
		t.granted = f.ev.now
		f.ev.after(f.delay(o.dc, f.nodes[t.request.entryNode].dc), func() { f.startStream(t) })
	}
	for s := o.gate.TakeVictim(f.ev.now); s != nil; s = o.gate.TakeVictim(f.ev.now) {
		t := o.granted[s.Work.ID]
		f.stats.pauses++
		f.ev.after(f.delay(o.dc, f.nodes[t.request.entryNode].dc), func() { f.pauseStream(t) })
	}
}

// startStream sends granted work to the engine.
func (f *fleet) startStream(t *simAttempt) {
	if t.isEnded {
		return
	}
	r := t.request
	delay := f.delay(f.nodes[r.entryNode].dc, t.owner.dc)
	t.stream = &simStream{rank: r.rank, promptTokens: r.promptTokens + r.receivedTokens, blocks: r.blocks, remainingTokens: r.answerTokens - r.receivedTokens, memory: r.promptTokens + r.declaredTokens}
	t.stream.onToken = func() { f.receiveToken(t, delay) }
	t.stream.onFinish = func() { f.ev.after(delay, func() { f.finishAnswer(t) }) }
	if f.policy.prefixKnowledge != prefixesUnknown {
		f.nodes[r.entryNode].sentPrefixes.Add(t.owner.id, r.blocks)
	}
	f.ev.after(delay, func() {
		if t.isEnded {
			return
		}
		f.stats.engineStarts++
		t.owner.engine.submit(t.stream)
	})
}

// receiveToken records a token on its way to the caller.
func (f *fleet) receiveToken(t *simAttempt, delay time.Duration) {
	r := t.request
	if r.crashesEngine {
		f.ev.after(0, func() { f.crashEngine(t.owner) })
		return
	}
	if t.tokens == 0 {
		t.firstToken = f.ev.now
		f.stats.recordPrefill(f.ev.now, max(t.stream.promptTokens-t.stream.cachedTokens, 0), r.receivedTokens > 0)
		if r.receivedTokens == 0 {
			r.cachedTokens += t.stream.cachedTokens
			r.firstToken = f.ev.now.Add(delay).Sub(r.tryStarted)
			f.stats.recordFirstToken(r, f.ev.now)
		}
	}
	f.stats.recordToken(r, f.ev.now)
	t.tokens++
	r.receivedTokens++
	t.lastToken = f.ev.now
}

// finishAnswer ends a request whose answer is complete.
func (f *fleet) finishAnswer(t *simAttempt) {
	if t.isEnded || t.request.isDone {
		return
	}
	t.request.isDone = true
	if f.suspects != nil {
		f.suspects.ClearCrashes(fingerprint(t.request), f.ev.now)
	}
	f.endAttempt(t, true)
	f.stats.recordEnd(t.request, f.ev.now)
}

// pauseStream stops a stream to free its slot and requests a new slot for the
// rest.
func (f *fleet) pauseStream(t *simAttempt) {
	if t.isEnded || t.request.isDone {
		return
	}
	t.request.pauses++
	if t.request.receivedTokens > 0 {
		t.request.lastReplica = t.owner.id
	}
	f.endAttempt(t, false)
	f.requestSlot(t.request, slotSearch{})
}

// endAttempt ends an attempt and releases its slot.
func (f *fleet) endAttempt(t *simAttempt, isComplete bool) {
	t.isEnded = true
	o, node := t.owner, f.nodes[t.request.entryNode]
	if t.stream != nil && !isComplete {
		o.engine.cancel(t.stream)
	}
	t.request.decodingTime += t.lastToken.Sub(t.firstToken)
	if o.gate.Stream(t.id) == nil {
		return
	}
	f.recordUsage(t)
	u := admission.Usage{Tokens: t.tokens, IsComplete: isComplete}
	if t.tokens > 0 {
		u.FirstToken = t.firstToken.Sub(t.granted)
	}
	if t.tokens > 1 {
		u.TokenInterval = t.lastToken.Sub(t.firstToken) / time.Duration(t.tokens-1)
	}
	f.ev.after(f.delay(node.dc, o.dc), func() {
		delete(o.granted, t.id)
		o.gate.Release(f.ev.now, t.id, u)
		o.refuseLate()
		o.grantAndPause()
	})
}
