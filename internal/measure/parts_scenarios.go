package measure

import (
	"fmt"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
)

// partsSizes are the fleets of the trials.
var partsSizes = []partsSize{{6, 9, 11}, {24, 27, 41}, {195, 90, 336}, {340, 150, 2000}}

func init() {
	for _, s := range partsSizes {
		registerScenario(Scenario{Name: fmt.Sprintf("crash-parts-%d", s.nodes), Description: fmt.Sprintf("a prompt part crashes backend servers of %d nodes: ways to find it, by its share of the requests", s.nodes), Run: s.runWays})
		registerScenario(Scenario{Name: fmt.Sprintf("crash-parts-faults-%d", s.nodes), Description: fmt.Sprintf("the same beside faults of the %d nodes, and with several such parts", s.nodes), Run: s.runFaults})
		registerScenario(Scenario{Name: fmt.Sprintf("crash-parts-sound-%d", s.nodes), Description: fmt.Sprintf("backend servers of %d nodes crash of other causes: sound prompt parts quarantined", s.nodes), Run: s.runOtherCauses})
	}
}

// partsRouter is the way of the router.
var partsRouter = partsWay{name: "3 moments, 5 if ambiguous (router)", rule: dispatch.DefaultPartRule, cancels: true}

// partsWays are the ways compared.
var partsWays = []partsWay{
	{name: "whole requests only", wholeRequests: true},
	{name: "all parts of one crash", blamesAll: true, rule: dispatch.DefaultPartRule, cancels: true},
	{name: "2 moments", rule: dispatch.PartRule{Moments: 2, IfAmbiguous: 2}, cancels: true},
	{name: "3 moments", rule: dispatch.PartRule{Moments: 3, IfAmbiguous: 3}, cancels: true},
	partsRouter,
	{name: "4 moments, 5 if ambiguous", rule: dispatch.PartRule{Moments: 4, IfAmbiguous: 5}, cancels: true},
	{name: "router without cancelling", rule: dispatch.DefaultPartRule},
}

const (
	partsDuration       = 30 * time.Second
	otherCausesDuration = 2 * time.Minute
	partsDowntime       = 4 * time.Second
)

var partsShares = []float64{0.01, 0.05, 0.1, 0.3}

// runWays compares the ways at each share.
func (s partsSize) runWays(seed uint64) *Table {
	table := &Table{Columns: partsColumns}
	results := make([]*partsStats, len(partsWays)*len(partsShares))
	at := func(i int) (partsWay, float64) { return partsWays[i/len(partsShares)], partsShares[i%len(partsShares)] }
	runConcurrently(len(results), func(i int) {
		way, share := at(i)
		t := newPartsTrial(s, way, seed)
		t.share, t.crashing = share, 1
		results[i] = t.run(partsDuration)
	})
	for i, r := range results {
		way, share := at(i)
		addPartsRow(table, fmt.Sprintf("%s, share %g", way.name, share), r, s.nodes)
	}
	return table
}

// partsFaults are the disturbances beside crashing parts.
var partsFaults = []struct {
	name     string
	crashing int
	start    func(*partsTrial)
}{
	{"2 crashing parts", 2, func(*partsTrial) {}},
	{"3 crashing parts", 3, func(*partsTrial) {}},
	{"nodes replaced each 2 s", 1, (*partsTrial).replaceNodes},
	{"a sixth of the nodes cut off for 4 s", 1, (*partsTrial).cutNodes},
	{"other servers die each second", 1, func(t *partsTrial) { t.crashRepeatedly(time.Second, time.Second, 1) }},
	{"3 crashing parts, all of the above", 3, func(t *partsTrial) {
		t.replaceNodes()
		t.cutNodes()
		t.crashRepeatedly(time.Second, time.Second, 1)
	}},
}

func (s partsSize) runFaults(seed uint64) *Table {
	table := &Table{Columns: partsColumns}
	results := make([]*partsStats, len(partsFaults))
	runConcurrently(len(results), func(i int) {
		t := newPartsTrial(s, partsRouter, seed)
		t.share, t.crashing = 0.05, partsFaults[i].crashing
		partsFaults[i].start(t)
		results[i] = t.run(partsDuration)
	})
	for i, r := range results {
		addPartsRow(table, partsFaults[i].name, r, s.nodes)
	}
	return table
}

// otherCauses are the causes of crashes that no prompt part has.
var otherCauses = []struct {
	name  string
	start func(*partsTrial)
}{
	{"one each 5 s", func(t *partsTrial) { t.crashRepeatedly(5*time.Second, 5*time.Second, 1) }},
	{"three at once each 10 s", func(t *partsTrial) { t.crashRepeatedly(10*time.Second, 10*time.Second, 3) }},
	{"all at once each 20 s", func(t *partsTrial) { t.crashRepeatedly(20*time.Second, 20*time.Second, len(t.pool)) }},
	{"rolling each 0.1 to 0.3 s", func(t *partsTrial) { t.crashRepeatedly(100*time.Millisecond, 300*time.Millisecond, 1) }},
	{"a third flaps each second", func(t *partsTrial) { t.flap(len(t.pool) / 3) }},
	{"all flap each second", func(t *partsTrial) { t.flap(len(t.pool)) }},
}

func (s partsSize) runOtherCauses(seed uint64) *Table {
	table := &Table{Columns: []string{"crashes", "requests refused", "sound parts convicted", "records", "news KB per node"}}
	ways := partsWays[1:6]
	results := make([]*partsStats, len(otherCauses)*len(ways))
	runConcurrently(len(results), func(i int) {
		t := newPartsTrial(s, ways[i%len(ways)], seed)
		otherCauses[i/len(ways)].start(t)
		results[i] = t.run(otherCausesDuration)
	})
	for i, r := range results {
		table.AddRow(otherCauses[i/len(ways)].name+": "+ways[i%len(ways)].name, fmt.Sprint(r.otherCrashes), fmt.Sprint(r.soundRefused), fmt.Sprint(len(r.soundConvicted)), fmt.Sprint(r.records), fmt.Sprintf("%.1f", float64(r.newsBytes)/1024/float64(s.nodes)))
	}
	return table
}

// crashRepeatedly takes n servers down at a time, after intervals of the given
// range.
func (t *partsTrial) crashRepeatedly(low, high time.Duration, n int) {
	next := 0
	var again func()
	again = func() {
		for range n {
			t.crash(t.pool[next%len(t.pool)], -1, partsDowntime)
			next++
		}
		t.ev.after(t.between(low, high+1), again)
	}
	t.ev.after(partsWarmUp, again)
}

// flap crashes n servers each second, which are back after half of it.
func (t *partsTrial) flap(n int) {
	for _, s := range t.pool[:n] {
		var again func()
		again = func() {
			t.crash(s, -1, 500*time.Millisecond)
			t.ev.after(time.Second, again)
		}
		t.ev.after(partsWarmUp+t.between(0, time.Second), again)
	}
}

// replaceNodes repeatedly kills a node; a new one starts with the records of
// another.
func (t *partsTrial) replaceNodes() {
	var again func()
	again = func() {
		t.anyNode().isDead = true
		n, peer := t.addNode(), t.anyNode()
		t.exchange(peer, n)
		t.ev.after(2*time.Second, again)
	}
	t.ev.after(partsWarmUp+time.Second, again)
}

// cutNodes cuts a sixth of the nodes off for 4 s, twice.
func (t *partsTrial) cutNodes() {
	for _, start := range []time.Duration{partsWarmUp + time.Second, partsWarmUp + 12*time.Second} {
		t.ev.after(start, func() {
			cut := t.nodes[:max(1, len(t.nodes)/6)]
			for _, n := range cut {
				n.cutUntil = t.ev.now.Add(4 * time.Second)
			}
			t.ev.after(4*time.Second, func() {
				for _, n := range cut {
					for _, other := range t.nodes {
						t.exchange(other, n)
						t.exchange(n, other)
					}
				}
			})
		})
	}
}

// exchange sends all records of a node to another one.
func (t *partsTrial) exchange(from, to *partsNode) {
	if list, hasChanged := from.suspects.SnapshotIfChanged(t.clock(from)); hasChanged {
		from.records = list
	}
	if from != to && len(from.records) > 0 {
		t.deliver(to, from.records)
	}
}
