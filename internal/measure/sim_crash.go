package measure

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
)

// Times of the trial of a request that crashes its backend server.
const (
	resentEvery  = time.Second
	restartTime  = 10 * time.Second
	suspectRetry = 200 * time.Millisecond
)

// crashPrint is the fingerprint of the request that crashes engines.
const crashPrint = 1 << 40

// crashes counts what the crashing request did.
type crashes struct {
	replicas, broken, refused, innocent int
	convicted                           time.Duration
}

// resend sends a request that crashes its engine again and again, from its
// organisation's usual nodes.
func resend(f *fleet) {
	var next func()
	next = func() {
		if f.ev.now.Sub(epoch) >= f.span {
			return
		}
		r := f.traffic.request(source{rank: normal, manner: leaves})
		r.crashes = true
		f.arrive(r)
		f.ev.after(resentEvery, next)
	}
	f.at(faultFrom, next)
}

// crash takes an engine down for a while; what ran there is suspected.
func (f *fleet) crash(o *simOwner) {
	if o.down {
		return
	}
	f.stats.crashes.replicas++
	for _, id := range slices.Sorted(maps.Keys(o.holding)) {
		if t := o.holding[id]; t.stream != nil && !t.over {
			f.stats.crashes.broken++
			if f.suspects != nil {
				f.suspects.RecordCrash(fingerprint(t.req), o.id, f.ev.now)
			}
		}
	}
	f.kill(o.index)
	f.ev.after(restartTime, func() { f.revive(o.index) })
}

// convicted refuses a request that has brought engines down, and tells whether
// it did.
func (f *fleet) convicted(r *simRequest) bool {
	if f.suspects == nil || !f.suspects.Convicted(fingerprint(r), f.ev.now) {
		return false
	}
	c := &f.stats.crashes
	switch {
	case !r.crashes:
		c.innocent++
	case c.refused == 0:
		c.convicted = f.ev.now.Sub(epoch) - time.Duration(faultFrom*float64(f.span))
		c.refused++
	default:
		c.refused++
	}
	r.refused, r.done = true, true
	f.stats.finished(r, f.ev.now)
	return true
}

// crowded tells whether a suspect would meet another one.
func (o *simOwner) crowded(r *simRequest) bool {
	s := o.f.suspects
	if s == nil || !s.IsSuspect(fingerprint(r), o.f.ev.now) {
		return false
	}
	other := func(t *simTry) bool {
		return fingerprint(t.req) != fingerprint(r) && s.IsSuspect(fingerprint(t.req), o.f.ev.now)
	}
	for _, t := range o.holding {
		if other(t) {
			return true
		}
	}
	for _, t := range o.waiting {
		if other(t) {
			return true
		}
	}
	return false
}

// runCrash compares what nodes do about a request that crashes engines.
func (s size) runCrash(seed uint64) *Table {
	t := &Table{Columns: []string{"engines down", "streams broken", "refused after s", "sent again and refused", "others refused", "urgent in time %", "normal in time %", "background served %", "useful %"}}
	ways := []policy{
		router.with("suspects kept apart (router)", func(p *policy) { p.suspects = dispatch.NewSuspects }),
		router.with("tried elsewhere", func(*policy) {}),
	}
	got := make([]*stats, len(ways))
	together(len(ways), func(i int) { got[i] = runLoad(s, ways[i], seed, s.normalDay(obeys), resend) })
	for i, st := range got {
		c := st.crashes
		t.Add(ways[i].name, fmt.Sprint(c.replicas), fmt.Sprint(c.broken), seconds(c.convicted), fmt.Sprint(c.refused), fmt.Sprint(c.innocent),
			percent(st.ranks[urgent].inTime, st.ranks[urgent].asked), percent(st.ranks[normal].inTime, st.ranks[normal].asked),
			percent(st.ranks[background].served, st.ranks[background].asked), fmt.Sprintf("%.1f", 100*st.utilisation()))
	}
	return t
}
