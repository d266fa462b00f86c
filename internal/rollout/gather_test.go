package rollout

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// gathering is a data centre whose nodes tell their totals by way of two
// gatherers; messages are lost, doubled and come late.
type gathering struct {
	now       time.Time
	totals    [2]Totals
	starts    [2]uint64
	gatherers [2]*Gatherer
	toGather  [2][]Report
	toDriver  []Report
	driver    *guarded
	// heard and first are, by process, the newest and the first totals that
	// reached the driver before a later start of the node did.
	heard, first map[Process]Totals
	newest       map[string]uint64
}

func newGathering() *gathering {
	g := &gathering{now: time.Unix(0, 0), driver: newGuarded(revision().Config.Rollouts["r"]), heard: map[Process]Totals{}, first: map[Process]Totals{}, newest: map[string]uint64{}}
	for i := range g.totals {
		g.totals[i], g.starts[i] = Totals{}, 1
	}
	for i := range g.gatherers {
		g.gatherers[i] = NewGatherer()
	}
	return g
}

func (g *gathering) report(node int) Report {
	return Report{Process: Process{string(rune('a' + node)), g.starts[node]}, Totals: maps.Clone(g.totals[node]), Complete: true}
}

// deliver gives a message to the driver and notes what it may count.
func (g *gathering) deliver(r Report) {
	g.driver.take(r, g.now)
	if r.Incarnation < g.newest[r.Node] {
		return
	}
	g.newest[r.Node] = r.Incarnation
	if g.first[r.Process] == nil {
		g.first[r.Process] = r.Totals
	}
	if known := g.heard[r.Process]; known == nil || r.Totals[old].Rated.Total()+r.Totals[next].Rated.Total() >= known[old].Rated.Total()+known[next].Rated.Total() {
		g.heard[r.Process] = r.Totals
	}
}

// check holds what the driver counted against what reached it.
func (g *gathering) check(t *rapid.T) {
	wantOld, wantNext := Counts{}, Counts{}
	for p, totals := range g.heard {
		wantOld = wantOld.Plus(totals[old].Rated)
		wantNext = wantNext.Plus(totals[next].Rated.Minus(g.first[p][next].Rated))
	}
	gotOld := g.driver.guard.tests[ratings].old.Plus(g.driver.old.Rated)
	if gotOld != wantOld || g.driver.next.Rated != wantNext {
		t.Fatalf("counted %v and %v, told %v and %v", gotOld, g.driver.next.Rated, wantOld, wantNext)
	}
}

// takeOne removes and returns a drawn message.
func takeOne(t *rapid.T, list *[]Report) (Report, bool) {
	if len(*list) == 0 {
		return Report{}, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "message")
	r := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return r, true
}

// Whatever is lost, doubled, late or passed on by two gatherers, and whoever
// dies, the driver counts each process's totals once; once messages go
// through again it has them all.
func TestGatheredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGathering()
		node, gatherer := rapid.IntRange(0, 1), rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"serve": func(t *rapid.T) {
				totals := g.totals[node.Draw(t, "node")]
				version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
				of := old
				if version == "v2" {
					of = next
				}
				totals[of] = totals[of].Plus(Evidence{Rated: Counts{Good: rapid.IntRange(0, 3).Draw(t, "good"), Bad: rapid.IntRange(0, 3).Draw(t, "bad")}})
			},
			"tell": func(t *rapid.T) {
				to, r := gatherer.Draw(t, "gatherer"), g.report(node.Draw(t, "node"))
				if rapid.Bool().Draw(t, "late") {
					g.toGather[to] = append(g.toGather[to], r)
					return
				}
				g.gatherers[to].Take(r, g.now)
			},
			"gather": func(t *rapid.T) {
				to := gatherer.Draw(t, "gatherer")
				if r, ok := takeOne(t, &g.toGather[to]); ok {
					g.gatherers[to].Take(r, g.now)
				}
			},
			"pass on": func(t *rapid.T) {
				for _, r := range g.gatherers[gatherer.Draw(t, "gatherer")].Of(old, next) {
					r.Totals = maps.Clone(r.Totals)
					g.toDriver = append(g.toDriver, r)
				}
			},
			"deliver": func(t *rapid.T) {
				if r, ok := takeOne(t, &g.toDriver); ok {
					g.deliver(r)
					if rapid.Bool().Draw(t, "doubled") {
						g.toDriver = append(g.toDriver, r)
					}
				}
			},
			"lose":            func(t *rapid.T) { _, _ = takeOne(t, &g.toDriver) },
			"gatherer starts": func(t *rapid.T) { g.gatherers[gatherer.Draw(t, "gatherer")] = NewGatherer() },
			"node starts": func(t *rapid.T) {
				n := node.Draw(t, "node")
				g.totals[n] = Totals{}
				g.starts[n]++
			},
			"": g.check,
		})
		for n := range g.totals {
			g.gatherers[0].Take(g.report(n), g.now)
		}
		for _, r := range g.gatherers[0].Of(old, next) {
			g.deliver(r)
		}
		g.check(t)
		for n := range g.totals {
			r := g.report(n)
			if got := g.heard[r.Process]; got[old] != r.Totals[old] || got[next] != r.Totals[next] {
				t.Fatalf("of %v the driver has %v of %v", r.Process, got, r.Totals)
			}
		}
	})
}
