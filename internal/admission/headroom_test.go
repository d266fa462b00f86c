package admission

import (
	"testing"
	"time"
)

// fillGate offers background work until the gate is full and some work waits.
func fillGate(g *testGate) {
	for range 12 {
		g.offer(&Work{Organisation: "a", Rank: 2, Tokens: 100, Deadline: g.now.Add(time.Hour), Pausable: true})
	}
}

// Headroom is kept while urgent work arrives, and urgent work gets it at once
// although less urgent work waits. It is given up when no urgent work has
// arrived for a while.
func TestHeadroomIsKeptWhileUrgentWorkArrives(t *testing.T) {
	g := newTestGate(0)
	g.SetHeadroom(0.5)
	g.offer(&Work{Organisation: "b", Rank: 0, Tokens: 10, Deadline: g.now.Add(time.Minute)})
	fillGate(g)
	if n := g.Running(); n != 5 {
		t.Fatalf("%d of 8 slots are used while half is kept", n)
	}
	if wait := g.RankWait(g.now, 0); wait != 0 {
		t.Fatalf("urgent work would wait %s beside free slots", wait)
	}
	if wait := g.RankWait(g.now, 2); wait == 0 {
		t.Fatal("background work would not wait")
	}
	g.release("0", Usage{Tokens: 10})
	g.now = g.now.Add(2 * headroomTime)
	g.pump()
	if n := g.Running(); n != 7 {
		t.Fatalf("%d of 8 slots are used long after the last urgent work", n)
	}
	g.SetHeadroom(0)
	g.pump()
	if n := g.Running(); n != 8 {
		t.Fatalf("%d of 8 slots are used without headroom", n)
	}
}

// A fair pause spares streams before their first token and streams that were
// paused before: otherwise a stream would lose its slot again and again.
func TestFairPauseSparesNewAndResumedStreams(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		g := newTestGate(0)
		g.speed.meanFirstToken = time.Second
		for range 8 {
			g.offer(&Work{Organisation: "a", Rank: 1, Tokens: 900, Resumed: resumed, Deadline: g.now.Add(time.Hour), Pausable: true})
		}
		g.offer(&Work{Organisation: "b", Rank: 1, Tokens: 900, Deadline: g.now.Add(time.Hour), Pausable: true})
		if s := g.TakeVictim(g.now.Add(time.Second)); s != nil {
			t.Fatalf("a stream was paused before its first token, resumed %t", resumed)
		}
		if s := g.TakeVictim(g.now.Add(10 * time.Second)); (s != nil) == resumed {
			t.Fatalf("paused %v, resumed %t", s, resumed)
		}
	}
}

// A stream that does not pause when asked no longer counts as pausing: another
// stream is asked.
func TestUnansweredPauseIsReplaced(t *testing.T) {
	g := newTestGate(0)
	fillGate(g)
	g.offer(&Work{Organisation: "b", Rank: 0, Tokens: 10, Deadline: g.now.Add(time.Minute)})
	first := g.TakeVictim(g.now)
	if first == nil || g.TakeVictim(g.now) != nil {
		t.Fatal("not one stream was asked to pause for one request")
	}
	now := g.now.Add(2 * pauseTimeout)
	second := g.TakeVictim(now)
	if second == nil || second == first || g.TakeVictim(now) != nil {
		t.Fatalf("after %v another stream should be asked, not %v", first, second)
	}
	g.Release(now, first.Work.ID, Usage{})
	g.Release(now, second.Work.ID, Usage{})
	if g.pausing != 0 {
		t.Fatalf("%d streams are counted as pausing after both have paused", g.pausing)
	}
}
