package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A stream is not granted for a floor and then paused at once for the urgent
// work that it went before.
func TestGrantIsNotPausedAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGate(rapid.IntRange(0, 1).Draw(t, "reserve"))
		g.options.FairPause, g.options.Modest = false, 0
		draw := rapid.Uint64().Draw(t, "draw")
		paused := map[*Work]bool{}
		flood(g, 600, func(i int) *Work {
			for s := g.Pause(g.now); s != nil; s = g.Pause(g.now) {
				if s.Since.Equal(g.now) {
					t.Fatalf("a stream of rank %d was paused in the moment of its grant", s.Work.Rank)
				}
				paused[s.Work] = true
				g.release(s.Work.ID, Usage{})
			}
			draw = draw*6364136223846793005 + 1442695040888963407
			rank := [8]int{0, 0, 0, 0, 0, 1, 1, 2}[draw>>61]
			return &Work{Organisation: "a", Rank: rank, Tokens: 50, Memory: 100, Pausable: true}
		})
	})
}

// Work that comes back when told goes before more urgent work while its rank
// is below its floor, and never beyond it.
func TestTurnGoesBeforeUrgent(t *testing.T) {
	g := newTestGate(0)
	g.options.Ranks = []RankPolicy{{Preempts: true}, {Floor: 0.25, Preempts: true}}
	g.SetRanks(g.options.Ranks, nil)
	urgent := func() *Work {
		return &Work{Organisation: "a", Rank: 0, Tokens: 100, Resumed: true, Deadline: g.now.Add(time.Hour)}
	}
	for range 20 {
		g.offer(urgent())
	}
	for i := range 3 {
		w := &Work{Organisation: "b", Rank: 1, Tokens: 100, Fingerprint: uint64(i + 1), Deadline: g.now.Add(time.Hour)}
		g.returns.promise(g.now, w, 0, 0, true)
	}
	g.now = g.now.Add(2 * MinRetryAfter)
	for i := range 3 {
		g.offer(&Work{Organisation: "b", Rank: 1, Tokens: 100, Fingerprint: uint64(i + 1), Deadline: g.now.Add(time.Hour)})
	}
	for _, id := range []string{"0", "1", "2"} {
		g.release(id, Usage{})
	}
	if counts := g.byRank(); counts[1] != 2 {
		t.Fatalf("%v streams run by rank, the floor of the second is two slots", counts)
	}
	if s := g.Pause(g.now); s != nil {
		t.Fatalf("%s was paused, its rank is at its floor", s.Work.ID)
	}
}

// Callers of one rank that do not come back do not make the times told to
// another rank too early.
func TestObeyedIsLearnedByRank(t *testing.T) {
	r := newReturns(nil)
	now := time.Unix(1000, 0)
	for i := range 200 {
		r.promise(now, &Work{Rank: 0, Fingerprint: uint64(i + 1)}, time.Second, time.Second, true)
		now = now.Add(time.Second)
	}
	r.lapse(now.Add(MaxRetryAfter))
	if r.share(0) > 0.5 || r.share(1) != firstObeyed {
		t.Fatalf("%.2f and %.2f of the promises are taken to be obeyed", r.share(0), r.share(1))
	}
}

// While more urgent work overloads the replica, a rank at its floor gets its
// next slot from its own streams.
func TestWaitCountsTheOwnSlots(t *testing.T) {
	g := newTestGate(0)
	for range 20 {
		g.offer(&Work{Organisation: "a", Rank: 0, Tokens: 10, Resumed: true, Deadline: g.now.Add(time.Hour)})
	}
	g.release("0", Usage{})
	g.Gate.running["x"] = &Stream{Work: &Work{ID: "x", Rank: 1, Tokens: 1000}, Since: g.now}
	g.Gate.running["y"] = &Stream{Work: &Work{ID: "y", Rank: 1, Tokens: 1000}, Since: g.now}
	if wait := g.RankWait(1); wait < 10*time.Second {
		t.Fatalf("normal work would wait %s for a slot of long streams", wait)
	}
}
