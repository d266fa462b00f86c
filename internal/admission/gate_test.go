package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testRanks = []RankPolicy{
	{Preempts: true, Patience: 910 * time.Millisecond},
	{Floor: 0.15, Preempts: true, Patience: 3 * time.Second},
	{Floor: 0.05, Patience: 30 * time.Second},
}

// testGate drives a gate as the owner of a replica would and checks its
// invariants.
type testGate struct {
	*Gate
	now          time.Time
	waiting      map[string]*Work
	running      map[string]*Work
	next         int
	lateRefusals []lateRefusal
}

// lateRefusal is work that was refused after it had waited.
type lateRefusal struct {
	work       *Work
	waited     time.Duration
	retryAfter time.Duration
}

func newTestGate(reserve int) *testGate {
	g := NewGate(GateOptions{
		Ranks: testRanks, Slots: 8, Memory: 20_000, Interval: 40 * time.Millisecond,
		Reserve: reserve, LowUseShare: 0.7, FairPause: true,
	})
	return &testGate{Gate: g, now: time.Unix(1000, 0), waiting: map[string]*Work{}, running: map[string]*Work{}}
}

func (g *testGate) offer(w *Work) Decision {
	w.ID = fmt.Sprint(g.next)
	g.next++
	v := g.Offer(g.now, w, true)
	if v.Evicted != nil {
		delete(g.waiting, v.Evicted.ID)
	}
	if v.Queued {
		g.waiting[w.ID] = w
	}
	g.refuseLate()
	g.pump()
	return v
}

func (g *testGate) pump() {
	for w := g.Grant(g.now); w != nil; w = g.Grant(g.now) {
		delete(g.waiting, w.ID)
		g.running[w.ID] = w
	}
}

func (g *testGate) release(id string, u Usage) {
	g.Release(g.now, id, u)
	delete(g.running, id)
	g.refuseLate()
	g.pump()
}

// refuseLate removes the work that the gate refuses after a wait.
func (g *testGate) refuseLate() {
	for w, retryAfter := g.RefuseLate(g.now); w != nil; w, retryAfter = g.RefuseLate(g.now) {
		g.lateRefusals = append(g.lateRefusals, lateRefusal{work: w, waited: g.now.Sub(w.Arrived), retryAfter: retryAfter})
		delete(g.waiting, w.ID)
	}
}

func (g *testGate) checkInvariants(t *rapid.T) {
	for _, s := range g.lateRefusals {
		if s.work.Resumed || s.retryAfter < MinRetryAfter || s.waited > testRanks[g.rank(s.work.order())].Patience/2 {
			t.Fatalf("refused after %s with %s, resumed %t", s.waited, s.retryAfter, s.work.Resumed)
		}
	}
	g.lateRefusals = nil
	memory := 0
	for _, w := range g.running {
		memory += w.Memory
	}
	limit := g.Limit()
	switch {
	case limit < 1 || limit > 8:
		t.Fatalf("the limit is %d", limit)
	case len(g.running) != g.Gate.Running() || len(g.waiting) != g.Gate.Waiting():
		t.Fatalf("%d run and %d wait, the gate counts %d and %d", len(g.running), len(g.waiting), g.Gate.Running(), g.Gate.Waiting())
	case memory > 20_000 && len(g.running) > 1:
		t.Fatalf("%d tokens of KV cache are granted", memory)
	}
	g.checkWorkConserving(t, limit)
}

// checkWorkConserving fails if a slot outside the headroom is free while work
// that fits waits.
func (g *testGate) checkWorkConserving(t *rapid.T, limit int) {
	if len(g.running) >= limit-g.reserve(limit) || len(g.waiting) == 0 {
		return
	}
	w := g.order.Next(g.now, nil)
	if w == nil || g.fits(w) {
		t.Fatalf("%d of %d slots are used while %d wait", len(g.running), limit, len(g.waiting))
	}
}

// Random sequences of offers, releases, pauses and expiries: no work is lost or
// run twice, the limit stays within its bounds, memory is not exceeded, no slot
// idles while work waits, and each refusal has a bounded retry time.
func TestGateKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGate(rapid.IntRange(0, 2).Draw(t, "reserve"))
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				w := &Work{
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Weight:       rapid.SampledFrom([]float64{0, 1, 4}).Draw(t, "weight"),
					Rank:         rapid.IntRange(-1, 3).Draw(t, "rank"), Tokens: rapid.IntRange(1, 900).Draw(t, "tokens"),
					Memory: rapid.IntRange(1, 6000).Draw(t, "memory"), Resumed: rapid.Bool().Draw(t, "resumed"), Pausable: rapid.Bool().Draw(t, "pausable"),
					Fingerprint: rapid.Uint64Range(0, 20).Draw(t, "fingerprint"), Arrived: g.now,
					Deadline: g.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline")) * time.Second),
				}
				resumed := w.Resumed
				v := g.offer(w)
				if !v.Queued && (resumed || v.RetryAfter < MinRetryAfter || v.RetryAfter > 2*MaxRetryAfter) {
					t.Fatalf("refused with %s, resumed %t", v.RetryAfter, resumed)
				}
			},
			"release": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, max(g.next, 1)).Draw(t, "id"))
				g.release(id, Usage{
					Tokens: rapid.IntRange(0, 900).Draw(t, "tokens"), IsComplete: rapid.Bool().Draw(t, "whole"),
					FirstToken: time.Duration(rapid.IntRange(0, 900).Draw(t, "first")) * time.Millisecond, TokenInterval: time.Duration(rapid.IntRange(0, 90).Draw(t, "interval")) * time.Millisecond,
				})
			},
			"pause": func(t *rapid.T) {
				if s := g.TakeVictim(g.now); s != nil && (g.running[s.Work.ID] == nil || !s.Work.Pausable) {
					t.Fatalf("%s was chosen for a pause", s.Work.ID)
				}
			},
			"expire": func(t *rapid.T) {
				g.now = g.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "step")) * time.Millisecond)
				for _, w := range g.Expire(g.now) {
					delete(g.waiting, w.ID)
				}
				g.pump()
			},
			"headroom": func(t *rapid.T) {
				g.SetHeadroom(rapid.SampledFrom([]float64{0, 0.01, 0.5, 0.7}).Draw(t, "headroom"))
				g.pump()
			},
			"": func(t *rapid.T) { g.checkInvariants(t) },
		})
	})
}

// flood offers more work than the gate can serve and releases streams at a
// steady rate. It returns the tokens served by rank and by organisation.
func flood(g *testGate, steps int, offer func(i int) *Work) (ranks [3]int, orgs map[string]int) {
	orgs = map[string]int{}
	for i := range steps {
		g.now = g.now.Add(100 * time.Millisecond)
		for range 3 {
			w := offer(i)
			w.Arrived, w.Deadline = g.now, g.now.Add(time.Minute)
			g.offer(w)
		}
		oldest := ""
		for id := range g.running {
			if s := g.Stream(id); oldest == "" || s.Since.Before(g.Stream(oldest).Since) || (s.Since.Equal(g.Stream(oldest).Since) && id < oldest) {
				oldest = id
			}
		}
		if oldest != "" {
			w := g.running[oldest]
			ranks[w.Rank] += 50
			orgs[w.Organisation] += 50
			g.release(oldest, Usage{Tokens: 50, IsComplete: true, TokenInterval: 20 * time.Millisecond})
		}
		for _, w := range g.Expire(g.now) {
			delete(g.waiting, w.ID)
		}
	}
	return ranks, orgs
}

// While the most urgent rank floods the gate, each lower rank with waiting work
// is served its floor.
func TestFloorsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGate(1)
		draw := rapid.Uint64().Draw(t, "draw")
		ranks, _ := flood(g, 1500, func(i int) *Work {
			draw = draw*6364136223846793005 + 1442695040888963407
			rank := [8]int{0, 0, 0, 0, 0, 0, 1, 2}[draw>>61]
			return &Work{Organisation: fmt.Sprint(draw >> 40 % 5), Rank: rank, Tokens: 50, Memory: 100}
		})
		total := ranks[0] + ranks[1] + ranks[2]
		if ranks[1] < total*14/100 || ranks[2] < total*4/100 {
			t.Fatalf("served by rank %v, floors are 15%% and 5%%", ranks)
		}
	})
}

// An organisation that requests less than its fair share is served all of it
// beside one that floods the gate.
func TestSmallOrganisationIsServedBesideFloodingOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGate(1)
		every := rapid.IntRange(4, 12).Draw(t, "every")
		rank := rapid.IntRange(0, 2).Draw(t, "rank")
		requested, n := 0, 0
		_, orgs := flood(g, 1500, func(i int) *Work {
			n++
			if n%(3*every) == 0 {
				requested += 50
				return &Work{Organisation: "small", Rank: rank, Tokens: 50, Memory: 100}
			}
			return &Work{Organisation: "large", Rank: rank, Tokens: 50, Memory: 100}
		})
		if orgs["small"] < requested*98/100-100 {
			t.Fatalf("the small organisation requested %d tokens and got %d", requested, orgs["small"])
		}
	})
}

// A caller that retries at the time it was given is queued although the queue
// is too long for new work.
func TestRetryAtItsTimeIsQueued(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGate(0)
		newWork := func() *Work {
			return &Work{Organisation: "a", Rank: 2, Tokens: 500, Deadline: g.now.Add(10 * time.Minute)}
		}
		for range rapid.IntRange(60, 200).Draw(t, "queued") {
			g.now = g.now.Add(100 * time.Millisecond)
			g.offer(newWork())
		}
		w := newWork()
		w.Fingerprint = 7
		w.Deadline = g.now.Add(time.Second)
		refused := g.offer(w)
		if refused.Queued {
			t.Fatal("work was queued that would wait beyond its deadline")
		}
		g.now = g.now.Add(refused.RetryAfter)
		if v := g.offer(newWork()); v.Queued {
			t.Fatal("the queue is not too long for new work")
		}
		retry := newWork()
		retry.Fingerprint = 7
		if v := g.offer(retry); !v.Queued {
			t.Fatalf("the caller was given %s and refused again", refused.RetryAfter)
		}
	})
}

// The learned limit meets the target on a replica whose token interval grows
// linearly with the batch, and stays within its bounds on any other.
func TestLimiterLearnsTheSlope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Float64Range(1, 60).Draw(t, "base ms")
		slope := rapid.Float64Range(0.1, 5).Draw(t, "slope ms")
		l := NewLimiter(40*time.Millisecond, 64)
		for i := range 400 {
			batch := float64(1 + i%l.Limit())
			l.Observe(time.Duration((base+slope*batch)*float64(time.Millisecond)), batch)
			if l.Limit() < 1 || l.Limit() > 64 {
				t.Fatalf("the limit is %d", l.Limit())
			}
		}
		reached := base + slope*float64(l.Limit())
		if base+slope < 36 && reached > 40 && l.Limit() > 1 {
			t.Fatalf("%d streams take %.1f ms", l.Limit(), reached)
		}
	})
}

// Retries never exceed a tenth of the first tries plus the reserve.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget()
		first, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"first": func(*rapid.T) { b.RecordFirstTry(); first++ },
			"retry": func(t *rapid.T) {
				if b.TakeRetry() {
					retries++
				}
				if float64(retries) > retryReserve+retryFraction*float64(first)+1e-9 {
					t.Fatalf("%d retries of %d first tries", retries, first)
				}
			},
		})
	})
}
