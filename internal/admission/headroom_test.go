package admission

import (
	"testing"
	"time"
)

// fill offers background work until the gate is full and some waits.
func fill(g *testGate) {
	for range 12 {
		g.offer(&Work{Organisation: "a", Rank: 2, Tokens: 100, Deadline: g.now.Add(time.Hour), Pausable: true})
	}
}

// Headroom is kept while urgent work comes, urgent work finds it at once
// though less urgent work waits, and it is given up once none has come for a
// while.
func TestHeadroomFollowsUrgentWork(t *testing.T) {
	g := newTestGate(0)
	g.SetHeadroom(0.5)
	g.offer(&Work{Organisation: "b", Rank: 0, Tokens: 10, Deadline: g.now.Add(time.Minute)})
	fill(g)
	if n := g.Running(); n != 5 {
		t.Fatalf("%d of 8 slots are used while half is kept", n)
	}
	if wait := g.RankWait(0); wait != 0 {
		t.Fatalf("urgent work would wait %s beside free slots", wait)
	}
	if wait := g.RankWait(2); wait == 0 {
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

// A stream is not paused for another organisation's sake before its first
// token, nor once it has been: else it would take its place again and again.
func TestFairPauseDoesNotRepeat(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		g := newTestGate(0)
		g.speed.first = time.Second
		for range 8 {
			g.offer(&Work{Organisation: "a", Rank: 1, Tokens: 900, Resumed: resumed, Deadline: g.now.Add(time.Hour), Pausable: true})
		}
		g.offer(&Work{Organisation: "b", Rank: 1, Tokens: 900, Deadline: g.now.Add(time.Hour), Pausable: true})
		if s := g.Pause(g.now.Add(time.Second)); s != nil {
			t.Fatalf("a stream was paused before its first token, resumed %t", resumed)
		}
		if s := g.Pause(g.now.Add(10 * time.Second)); (s != nil) == resumed {
			t.Fatalf("paused %v, resumed %t", s, resumed)
		}
	}
}

// A stream that does not pause when asked is counted on no longer: another one
// is asked.
func TestSilentStreamIsReplaced(t *testing.T) {
	g := newTestGate(0)
	fill(g)
	g.offer(&Work{Organisation: "b", Rank: 0, Tokens: 10, Deadline: g.now.Add(time.Minute)})
	first := g.Pause(g.now)
	if first == nil || g.Pause(g.now) != nil {
		t.Fatal("not one stream was asked to pause for one request")
	}
	now := g.now.Add(2 * pauseAnswer)
	second := g.Pause(now)
	if second == nil || second == first || g.Pause(now) != nil {
		t.Fatalf("after %v another was to be asked, not %v", first, second)
	}
	g.Release(now, first.Work.ID, Usage{})
	g.Release(now, second.Work.ID, Usage{})
	if g.pausing != 0 {
		t.Fatalf("%d streams are taken to pause after both did", g.pausing)
	}
}
