package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Waiting work is refused within half of its rank's patience or not at all,
// whatever wait was predicted when it was queued: two owners may hold a request
// in turn.
func TestWaitingWorkIsRefusedEarly(t *testing.T) {
	evicted, refusedLate := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGate(1)
		rank := rapid.IntRange(0, len(testRanks)-1).Draw(t, "rank")
		every := rapid.IntRange(2, 8).Draw(t, "every")
		draw := rapid.Uint64().Draw(t, "draw")
		for i := range 600 {
			g.now = g.now.Add(100 * time.Millisecond)
			draw = draw*6364136223846793005 + 1442695040888963407
			v := g.offer(&Work{
				Organisation: string('a' + rune(draw>>40%4)), Rank: rank, Tokens: 50, Memory: 100, Fingerprint: draw,
				Arrived: g.now, Deadline: g.now.Add(5 * time.Minute),
			})
			if v.Evicted != nil {
				evicted++
				if waited := g.now.Sub(v.Evicted.Arrived); waited > testRanks[rank].Patience/2 {
					t.Fatalf("work was refused after %s of patience %s", waited, testRanks[rank].Patience)
				}
			}
			if i%every == 0 {
				g.releaseOne()
			}
			refusedLate += len(g.lateRefusals)
			g.checkInvariants(t)
		}
	})
	if evicted == 0 || refusedLate == 0 {
		t.Fatalf("%d were evicted, %d refused late", evicted, refusedLate)
	}
}

// releaseOne ends the running stream with the lowest ID.
func (g *testGate) releaseOne() {
	first := ""
	for id := range g.running {
		if first == "" || id < first {
			first = id
		}
	}
	if first != "" {
		g.release(first, Usage{Tokens: 50, IsComplete: true, TokenInterval: 20 * time.Millisecond})
	}
}
