package admission

import (
	"testing"
	"time"
)

// A rate limit paces grants although slots are free, and the predicted wait grows with the
// work ahead, so that work which would come too late is refused at once with when to
// return.
func TestRateLimitPacesGrantsAndPredictsWaits(t *testing.T) {
	g := newTestGate(0)
	g.SetRateLimit(2, g.now)
	for range 3 {
		g.offer(&Work{Organisation: "a", Rank: 1, Tokens: 10, Deadline: g.now.Add(10 * time.Second)})
	}
	if g.Running() != 0 {
		t.Fatalf("%d run at once, though nothing was saved up", g.Running())
	}
	late := &Work{Organisation: "a", Rank: 1, Tokens: 10, Deadline: g.now.Add(500 * time.Millisecond)}
	if wait := g.PredictedWait(g.now, late); wait < 1900*time.Millisecond || wait > 2100*time.Millisecond {
		t.Fatalf("a wait of %s is predicted behind three others at 2 a second", wait)
	}
	if wait := g.RankWait(g.now, 1); wait < 1900*time.Millisecond {
		t.Fatalf("other nodes are told a wait of %s", wait)
	}
	if v := g.offer(late); v.Queued || v.RetryAfter < time.Second {
		t.Fatalf("late work: %+v", v)
	}
	if next := g.NextGrant(g.now); next != 500*time.Millisecond {
		t.Fatalf("the next grant is in %s", next)
	}
	for n := 1; n <= 3; n++ {
		g.now = g.now.Add(500 * time.Millisecond)
		g.pump()
		if g.Running() != n {
			t.Fatalf("%d run after %d permits", g.Running(), n)
		}
	}
	g.SetRateLimit(0, g.now)
	g.offer(&Work{Organisation: "a", Rank: 1, Tokens: 10, Deadline: g.now.Add(10 * time.Second)})
	if g.Running() != 4 {
		t.Fatal("work waits after the limit ended")
	}
}

// Requests that the gate did not grant count as well, and a delay puts off the next one.
func TestRateLimitCountsOtherRequests(t *testing.T) {
	g := newTestGate(0)
	g.SetRateLimit(2, g.now)
	g.offer(&Work{Organisation: "a", Rank: 1, Tokens: 10, Deadline: g.now.Add(10 * time.Second)})
	g.SpendRate(g.now)
	if next := g.NextGrant(g.now); next != time.Second {
		t.Fatalf("the next grant is in %s after a probe", next)
	}
	g.DelayRate(3 * time.Second)
	if next := g.NextGrant(g.now); next < 3*time.Second {
		t.Fatalf("the next grant is in %s after a delay of 3 s", next)
	}
}

// Streams are not paused while the rate limit grants no slot: the urgent work could not
// use it, and the paused stream would take one more request.
func TestNoStreamIsPausedForWorkThatTheRateLimitHolds(t *testing.T) {
	g := newTestGate(0)
	fillGate(g)
	g.SetRateLimit(1, g.now)
	g.offer(&Work{Organisation: "z", Rank: 0, Tokens: 10, Deadline: g.now.Add(10 * time.Second)})
	if s := g.TakeVictim(g.now); s != nil {
		t.Fatal("a stream is paused")
	}
	g.now = g.now.Add(time.Second)
	if s := g.TakeVictim(g.now); s == nil {
		t.Fatal("no stream is paused though the rate limit allows a request")
	}
}
