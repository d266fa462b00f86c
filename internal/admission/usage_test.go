package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The reports of several nodes add up to what all of them served, in any order.
// A new report replaces the old one, and a value that is not reported again
// decays.
func TestReportedUsageAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		names, nodes := []string{"a", "b", "c"}, []string{"n0", "n1", "n2"}
		counts := map[string]*UsageCounter{}
		for _, node := range nodes {
			counts[node] = NewUsageCounter()
		}
		reported := newFleetUsage()
		all := NewUsageCounter()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "step")) * time.Millisecond)
			name, node := rapid.SampledFrom(names).Draw(t, "name"), rapid.SampledFrom(nodes).Draw(t, "node")
			tokens := rapid.IntRange(0, 2000).Draw(t, "tokens")
			counts[node].Add(now, name, tokens)
			all.Add(now, name, tokens)
			reported.record(now, &Work{Organisation: name, Node: node, Used: counts[node].Tokens(now, name)})
		}
		total := 0
		for _, name := range names {
			total += all.Tokens(now, name)
		}
		for _, name := range names {
			used, fair, ok := reported.share(now, &Work{Organisation: name})
			if !ok {
				continue
			}
			if math.Abs(used-float64(all.Tokens(now, name))) > 60 || math.Abs(fair*reported.weights-float64(total)) > 180 {
				t.Fatalf("%s used %d of %d, reported %.0f of %.0f", name, all.Tokens(now, name), total, used, fair*reported.weights)
			}
		}
	})
}

// The reports of a node that is gone are deleted, so that memory stays bounded.
func TestReportedUsageExpires(t *testing.T) {
	reported := newFleetUsage()
	now := time.Unix(1000, 0)
	for i := range 200 {
		reported.record(now, &Work{Organisation: fmt.Sprint(i), Node: "gone", Used: 1000})
	}
	now = now.Add(2 * reportTTL)
	for range 5000 {
		reported.record(now, &Work{Organisation: "here", Node: "n", Used: 10})
	}
	if len(reported.byName) != 1 || math.Abs(reported.weights-1) > 1e-6 {
		t.Fatalf("%d organisations of weight %.2f are kept", len(reported.byName), reported.weights)
	}
}

// newOverloadedGate returns a gate whose normal work has waited too long for a
// while.
func newOverloadedGate(t *testing.T) *testGate {
	g := newTestGate(1)
	for range 100 {
		g.now = g.now.Add(100 * time.Millisecond)
		for range 3 {
			g.offer(&Work{Organisation: "large", Rank: 1, Tokens: 100, Memory: 100, Arrived: g.now, Deadline: g.now.Add(10 * time.Second)})
		}
	}
	if !g.pressure[1].isLasting {
		t.Fatal("the gate detected no lasting overload")
	}
	return g
}

// A small organisation's work is queued if it would run in time, although all
// waiting work is past its refusal window and the rank's queue is too long.
func TestSmallOrganisationIsQueuedInOverload(t *testing.T) {
	g := newOverloadedGate(t)
	g.now = g.now.Add(testRanks[1].Patience)
	w := &Work{Organisation: "small", Rank: 1, Tokens: 300, Memory: 100, Arrived: g.now, Deadline: g.now.Add(time.Minute)}
	if wait := g.PredictedWait(g.now, w); wait < testRanks[1].Patience {
		t.Fatalf("the predicted wait is only %s", wait)
	}
	if v := g.offer(w); !v.Queued || v.Evicted != nil {
		t.Fatalf("got %+v", v)
	}
}

// The first waiting work of a small organisation, however long, is not refused
// in favour of the next work of a large one.
func TestEarlierWorkIsNotEvicted(t *testing.T) {
	q := NewQueue([]float64{0, 0})
	now := time.Unix(1000, 0)
	q.Push(&Work{ID: "1", Organisation: "small", Rank: 1, Tokens: 900, Arrived: now})
	q.Push(&Work{ID: "2", Organisation: "large", Rank: 1, Tokens: 100, Arrived: now})
	if w := q.Evictable(&Work{Organisation: "large", Rank: 1, Tokens: 100}, time.Time{}); w != nil {
		t.Fatalf("%s of %s would be refused", w.ID, w.Organisation)
	}
	q.Push(&Work{ID: "3", Organisation: "large", Rank: 1, Tokens: 100, Arrived: now})
	if w := q.Evictable(&Work{Organisation: "third", Rank: 1, Tokens: 900}, time.Time{}); w == nil || w.ID != "3" {
		t.Fatalf("%+v would be refused", w)
	}
}

// Promoted work may wait as long as its own rank's patience, not that of the
// rank it is scheduled as.
func TestPromotedWorkKeepsItsOwnPatience(t *testing.T) {
	g := newOverloadedGate(t)
	g.now = g.now.Add(testRanks[1].Patience)
	work := func(rank int) *Work {
		return &Work{Organisation: "small", Rank: rank, Tokens: 400, Memory: 100, Arrived: g.now, Deadline: g.now.Add(5 * time.Minute)}
	}
	if v := g.offer(work(1)); !v.Queued {
		t.Fatalf("got %+v", v)
	}
	w := work(2)
	if v := g.offer(w); !v.Queued || !w.IsPromoted() {
		t.Fatalf("got %+v, promoted %t", v, w.IsPromoted())
	}
	if v := g.offer(work(1)); v.Queued {
		t.Fatal("normal work is queued beyond its patience")
	}
}
