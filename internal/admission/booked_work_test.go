package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A stream that was granted a slot because of its rank's floor must not be
// paused at once for the more urgent work that it overtook.
func TestNewGrantIsNotPausedAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGate(rapid.IntRange(0, 1).Draw(t, "reserve"))
		g.options.FairPause, g.options.LowUseShare = false, 0
		draw := rapid.Uint64().Draw(t, "draw")
		paused := map[*Work]bool{}
		flood(g, 600, func(i int) *Work {
			for s := g.TakeVictim(g.now); s != nil; s = g.TakeVictim(g.now) {
				if s.Since.Equal(g.now) {
					t.Fatalf("a stream of rank %d was paused at the time of its grant", s.Work.Rank)
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

// A booked retry goes before more urgent work while its rank is below its
// floor, and never beyond the floor.
func TestBookedRetryGoesBeforeUrgentWork(t *testing.T) {
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
		g.bookings.retryAfter(g.now, w, 0, 0, true)
	}
	g.now = g.now.Add(2 * MinRetryAfter)
	for i := range 3 {
		g.offer(&Work{Organisation: "b", Rank: 1, Tokens: 100, Fingerprint: uint64(i + 1), Deadline: g.now.Add(time.Hour)})
	}
	for _, id := range []string{"0", "1", "2"} {
		g.release(id, Usage{})
	}
	if counts := g.runningByRank(); counts[1] != 2 {
		t.Fatalf("%v streams run by rank, the floor of the second is two slots", counts)
	}
	if s := g.TakeVictim(g.now); s != nil {
		t.Fatalf("%s was paused, its rank is at its floor", s.Work.ID)
	}
}

// If callers of one rank do not retry when told, the retry times of another
// rank must not become too early.
func TestComplianceIsLearnedByRank(t *testing.T) {
	r := newRetryBookings(nil)
	now := time.Unix(1000, 0)
	for i := range 200 {
		r.retryAfter(now, &Work{Rank: 0, Fingerprint: uint64(i + 1)}, time.Second, time.Second, true)
		now = now.Add(time.Second)
	}
	r.expire(now.Add(MaxRetryAfter))
	if r.compliance(0) > 0.5 || r.compliance(1) != initialCompliance {
		t.Fatalf("the learned compliance is %.2f and %.2f", r.compliance(0), r.compliance(1))
	}
}

// While more urgent work overloads the replica, a rank at its floor gets its
// next slot from its own streams.
func TestRankAtItsFloorWaitsForItsOwnSlots(t *testing.T) {
	g := newTestGate(0)
	for range 20 {
		g.offer(&Work{Organisation: "a", Rank: 0, Tokens: 10, Resumed: true, Deadline: g.now.Add(time.Hour)})
	}
	g.release("0", Usage{})
	g.Gate.running["x"] = &Stream{Work: &Work{ID: "x", Rank: 1, Tokens: 1000}, Since: g.now}
	g.Gate.running["y"] = &Stream{Work: &Work{ID: "y", Rank: 1, Tokens: 1000}, Since: g.now}
	if wait := g.RankWait(g.now, 1); wait < 10*time.Second {
		t.Fatalf("normal work is predicted to wait only %s for a slot of a long stream", wait)
	}
}
