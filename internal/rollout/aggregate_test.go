package rollout

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// aggregation simulates a data centre whose nodes report their totals through two
// aggregators. Messages are lost, duplicated and delayed.
type aggregation struct {
	now           time.Time
	totals        [2]Totals
	incarnations  [2]uint64
	aggregators   [2]*Aggregator
	toAggregators [2][]Report
	toController  []Report
	controller    *guardedRollout
	// received and first hold, by process, the newest and the first totals that
	// reached the controller before a report of a later incarnation did.
	received, first   map[Process]Totals
	newestIncarnation map[string]uint64
}

func newAggregation() *aggregation {
	g := &aggregation{now: time.Unix(0, 0), controller: newGuardedRollout(revision().Config.Rollouts["r"]), received: map[Process]Totals{}, first: map[Process]Totals{}, newestIncarnation: map[string]uint64{}}
	for i := range g.totals {
		g.totals[i], g.incarnations[i] = Totals{}, 1
	}
	for i := range g.aggregators {
		g.aggregators[i] = NewAggregator()
	}
	return g
}

func (g *aggregation) report(node int) Report {
	return Report{Process: Process{string(rune('a' + node)), g.incarnations[node]}, Totals: maps.Clone(g.totals[node]), IsComplete: true}
}

// deliver gives a message to the controller and records what it may count.
func (g *aggregation) deliver(r Report) {
	g.controller.addReport(r, g.now)
	if r.Incarnation < g.newestIncarnation[r.Node] {
		return
	}
	g.newestIncarnation[r.Node] = r.Incarnation
	if g.first[r.Process] == nil {
		g.first[r.Process] = r.Totals
	}
	if newest := g.received[r.Process]; newest == nil || r.Totals[oldVersion].Rated.Total()+r.Totals[newVersion].Rated.Total() >= newest[oldVersion].Rated.Total()+newest[newVersion].Rated.Total() {
		g.received[r.Process] = r.Totals
	}
}

// check compares what the controller counted with what it received.
func (g *aggregation) check(t *rapid.T) {
	wantOld, wantNext := Counts{}, Counts{}
	for p, totals := range g.received {
		wantOld = wantOld.Plus(totals[oldVersion].Rated)
		wantNext = wantNext.Plus(totals[newVersion].Rated.Minus(g.first[p][newVersion].Rated))
	}
	gotOld := g.controller.guard.tests[ratingsChannel].baseline.Plus(g.controller.pendingOld.Rated)
	if gotOld != wantOld || g.controller.pendingNext.Rated != wantNext {
		t.Fatalf("counted %v and %v, received %v and %v", gotOld, g.controller.pendingNext.Rated, wantOld, wantNext)
	}
}

// removeRandom removes a randomly drawn message and returns it.
func removeRandom(t *rapid.T, list *[]Report) (Report, bool) {
	if len(*list) == 0 {
		return Report{}, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "message")
	r := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return r, true
}

// The controller must count each process's totals exactly once, although messages
// are lost, duplicated, delayed or forwarded by two aggregators and nodes and
// aggregators restart. Once messages arrive again it must have all totals.
func TestAggregatedTotalsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newAggregation()
		node, aggregator := rapid.IntRange(0, 1), rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"serve": func(t *rapid.T) {
				totals := g.totals[node.Draw(t, "node")]
				version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
				target := oldVersion
				if version == "v2" {
					target = newVersion
				}
				totals[target] = totals[target].Plus(Evidence{Rated: Counts{Good: rapid.IntRange(0, 3).Draw(t, "good"), Bad: rapid.IntRange(0, 3).Draw(t, "bad")}})
			},
			"tell": func(t *rapid.T) {
				to, r := aggregator.Draw(t, "gatherer"), g.report(node.Draw(t, "node"))
				if rapid.Bool().Draw(t, "late") {
					g.toAggregators[to] = append(g.toAggregators[to], r)
					return
				}
				g.aggregators[to].Add(r, g.now)
			},
			"gather": func(t *rapid.T) {
				to := aggregator.Draw(t, "gatherer")
				if r, ok := removeRandom(t, &g.toAggregators[to]); ok {
					g.aggregators[to].Add(r, g.now)
				}
			},
			"pass on": func(t *rapid.T) {
				for _, r := range g.aggregators[aggregator.Draw(t, "gatherer")].ReportsFor(oldVersion, newVersion) {
					r.Totals = maps.Clone(r.Totals)
					g.toController = append(g.toController, r)
				}
			},
			"deliver": func(t *rapid.T) {
				if r, ok := removeRandom(t, &g.toController); ok {
					g.deliver(r)
					if rapid.Bool().Draw(t, "doubled") {
						g.toController = append(g.toController, r)
					}
				}
			},
			"lose":            func(t *rapid.T) { _, _ = removeRandom(t, &g.toController) },
			"gatherer starts": func(t *rapid.T) { g.aggregators[aggregator.Draw(t, "gatherer")] = NewAggregator() },
			"node starts": func(t *rapid.T) {
				n := node.Draw(t, "node")
				g.totals[n] = Totals{}
				g.incarnations[n]++
			},
			"": g.check,
		})
		for n := range g.totals {
			g.aggregators[0].Add(g.report(n), g.now)
		}
		for _, r := range g.aggregators[0].ReportsFor(oldVersion, newVersion) {
			g.deliver(r)
		}
		g.check(t)
		for n := range g.totals {
			r := g.report(n)
			if got := g.received[r.Process]; got[oldVersion] != r.Totals[oldVersion] || got[newVersion] != r.Totals[newVersion] {
				t.Fatalf("process %v: the controller has %v of %v", r.Process, got, r.Totals)
			}
		}
	})
}
