package measure

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
)

// pump grants places and asks for pauses.
func (o *simOwner) pump() {
	f := o.f
	if f.ev.now.Before(o.frozen) {
		return
	}
	for w := o.gate.Grant(f.ev.now); w != nil; w = o.gate.Grant(f.ev.now) {
		t := o.waiting[w.ID]
		delete(o.waiting, w.ID)
		o.holding[t.id] = t
		t.granted = f.ev.now
		f.ev.after(f.delay(o.dc, f.nodes[t.req.home].dc), func() { f.start(t) })
	}
	for s := o.gate.Pause(f.ev.now); s != nil; s = o.gate.Pause(f.ev.now) {
		t := o.holding[s.Work.ID]
		f.stats.pauses++
		f.ev.after(f.delay(o.dc, f.nodes[t.req.home].dc), func() { f.pause(t) })
	}
}

// start sends granted work to the engine.
func (f *fleet) start(t *simTry) {
	if t.over {
		return
	}
	r := t.req
	delay := f.delay(f.nodes[r.home].dc, t.owner.dc)
	t.stream = &simStream{rank: r.rank, prompt: r.prompt + r.steps, blocks: r.blocks, left: r.answer - r.steps, memory: r.prompt + r.declared}
	t.stream.onToken = func() { f.token(t, delay) }
	t.stream.onFinish = func() { f.ev.after(delay, func() { f.finish(t) }) }
	if f.policy.prefixes != knowsNothing {
		f.nodes[r.home].memory.Add(t.owner.id, r.blocks)
	}
	f.ev.after(delay, func() {
		if t.over {
			return
		}
		f.stats.tries++
		t.owner.engine.submit(t.stream)
	})
}

// token counts a token on its way to the caller.
func (f *fleet) token(t *simTry, delay time.Duration) {
	r := t.req
	if r.crashes {
		f.ev.after(0, func() { f.crash(t.owner) })
		return
	}
	if t.tokens == 0 {
		t.first = f.ev.now
		f.stats.prefill(f.ev.now, max(t.stream.prompt-t.stream.hit, 0), r.steps > 0)
		if r.steps == 0 {
			r.hit += t.stream.hit
			r.first = f.ev.now.Add(delay).Sub(r.asked)
			f.stats.first(r, f.ev.now)
		}
	}
	f.stats.token(r, f.ev.now)
	t.tokens++
	r.steps++
	t.last = f.ev.now
}

// finish ends a whole answer.
func (f *fleet) finish(t *simTry) {
	if t.over || t.req.done {
		return
	}
	t.req.done = true
	if f.suspects != nil {
		f.suspects.ClearCrashes(fingerprint(t.req), f.ev.now)
	}
	f.end(t, true)
	f.stats.finished(t.req, f.ev.now)
}

// pause stops a stream that makes room; its rest is asked for anew.
func (f *fleet) pause(t *simTry) {
	if t.over || t.req.done {
		return
	}
	t.req.paused++
	if t.req.steps > 0 {
		t.req.began = t.owner.id
	}
	f.end(t, false)
	f.ask(t.req, search{})
}

// end gives a place back.
func (f *fleet) end(t *simTry, whole bool) {
	t.over = true
	o, node := t.owner, f.nodes[t.req.home]
	if t.stream != nil && !whole {
		o.engine.cancel(t.stream)
	}
	t.req.decoding += t.last.Sub(t.first)
	if o.gate.Stream(t.id) == nil {
		return
	}
	f.use(t)
	u := admission.Usage{Tokens: t.tokens, IsComplete: whole}
	if t.tokens > 0 {
		u.FirstToken = t.first.Sub(t.granted)
	}
	if t.tokens > 1 {
		u.TokenInterval = t.last.Sub(t.first) / time.Duration(t.tokens-1)
	}
	f.ev.after(f.delay(node.dc, o.dc), func() {
		delete(o.holding, t.id)
		o.gate.Release(f.ev.now, t.id, u)
		o.settle()
		o.pump()
	})
}
