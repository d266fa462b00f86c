package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What several nodes tell adds up to what all of them carried, whatever order
// it comes in; told again it replaces, and untold it fades.
func TestToldUseAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		names, nodes := []string{"a", "b", "c"}, []string{"n0", "n1", "n2"}
		counts := map[string]*Used{}
		for _, node := range nodes {
			counts[node] = NewUsed()
		}
		told := newFleetUse()
		all := NewUsed()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "step")) * time.Millisecond)
			name, node := rapid.SampledFrom(names).Draw(t, "name"), rapid.SampledFrom(nodes).Draw(t, "node")
			tokens := rapid.IntRange(0, 2000).Draw(t, "tokens")
			counts[node].Add(now, name, tokens)
			all.Add(now, name, tokens)
			told.tell(now, &Work{Organisation: name, Node: node, Used: counts[node].Of(now, name)})
		}
		total := 0
		for _, name := range names {
			total += all.Of(now, name)
		}
		for _, name := range names {
			used, fair, ok := told.share(now, &Work{Organisation: name})
			if !ok {
				continue
			}
			if math.Abs(used-float64(all.Of(now, name))) > 60 || math.Abs(fair*told.weights-float64(total)) > 180 {
				t.Fatalf("%s used %d of %d, told %.0f of %.0f", name, all.Of(now, name), total, used, fair*told.weights)
			}
		}
	})
}

// A node that is gone is forgotten, so that memory stays bounded.
func TestToldUseIsForgotten(t *testing.T) {
	told := newFleetUse()
	now := time.Unix(1000, 0)
	for i := range 200 {
		told.tell(now, &Work{Organisation: fmt.Sprint(i), Node: "gone", Used: 1000})
	}
	now = now.Add(2 * forgetTime)
	for range 5000 {
		told.tell(now, &Work{Organisation: "here", Node: "n", Used: 10})
	}
	if len(told.byName) != 1 || math.Abs(told.weights-1) > 1e-6 {
		t.Fatalf("%d organisations of weight %.2f are kept", len(told.byName), told.weights)
	}
}

// overloaded returns a gate whose normal work has waited too long for a while.
func overloaded(t *testing.T) *testGate {
	g := newTestGate(1)
	for range 100 {
		g.now = g.now.Add(100 * time.Millisecond)
		for range 3 {
			g.offer(&Work{Organisation: "large", Rank: 1, Tokens: 100, Memory: 100, Arrived: g.now, Deadline: g.now.Add(10 * time.Second)})
		}
	}
	if !g.pressure[1].lasts {
		t.Fatal("no overload lasts")
	}
	return g
}

// A small organisation's work is queued when its own turn comes in time,
// though all that waits is settled and its rank's queue is too long.
func TestOwnTurnDecides(t *testing.T) {
	g := overloaded(t)
	g.now = g.now.Add(testRanks[1].Patience)
	w := &Work{Organisation: "small", Rank: 1, Tokens: 300, Memory: 100, Arrived: g.now, Deadline: g.now.Add(time.Minute)}
	if wait := g.PredictedWait(g.now, w); wait < testRanks[1].Patience {
		t.Fatalf("the queue is only %s long", wait)
	}
	if v := g.offer(w); !v.Queued || v.Evicted != nil {
		t.Fatalf("got %+v", v)
	}
}

// The first waiting work of a small organisation is not refused for the next
// of a large one, however long it is.
func TestEarlierTurnIsKept(t *testing.T) {
	q := NewQueue([]float64{0, 0})
	now := time.Unix(1000, 0)
	q.Push(&Work{ID: "1", Organisation: "small", Rank: 1, Tokens: 900, Arrived: now})
	q.Push(&Work{ID: "2", Organisation: "large", Rank: 1, Tokens: 100, Arrived: now})
	if w := q.Excess(&Work{Organisation: "large", Rank: 1, Tokens: 100}, time.Time{}); w != nil {
		t.Fatalf("%s of %s would be refused", w.ID, w.Organisation)
	}
	q.Push(&Work{ID: "3", Organisation: "large", Rank: 1, Tokens: 100, Arrived: now})
	if w := q.Excess(&Work{Organisation: "third", Rank: 1, Tokens: 900}, time.Time{}); w == nil || w.ID != "3" {
		t.Fatalf("%+v would be refused", w)
	}
}

// Promoted work waits as long as its own rank's patience allows, not as that
// of the rank it is treated as.
func TestPromotedWorkHasItsOwnPatience(t *testing.T) {
	g := overloaded(t)
	g.now = g.now.Add(testRanks[1].Patience)
	work := func(rank int) *Work {
		return &Work{Organisation: "small", Rank: rank, Tokens: 400, Memory: 100, Arrived: g.now, Deadline: g.now.Add(5 * time.Minute)}
	}
	if v := g.offer(work(1)); !v.Queued {
		t.Fatalf("got %+v", v)
	}
	w := work(2)
	if v := g.offer(w); !v.Queued || !w.Promoted() {
		t.Fatalf("got %+v, promoted %t", v, w.Promoted())
	}
	if v := g.offer(work(1)); v.Queued {
		t.Fatal("normal work is queued beyond its patience")
	}
}
