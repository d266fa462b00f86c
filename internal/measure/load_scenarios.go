package measure

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	for _, s := range []size{virtanen, turnoflor, twoYears} {
		day := s.normalDay(obeysRetryAfter)
		registerLoadScenario("normal-day", "a normal day", s, day, nil)
		registerLoadScenario("urgent-alone", "the urgent work of a normal day with nothing beside it", s, s.normalDayOfRank(urgent), nil)
		registerLoadScenario("background-flood", "the least urgent work at 5 times what the fleet can take", s,
			append(s.normalDay(obeysRetryAfter), s.flood(background, 5, s.allOrganisations(), givesUp)...), nil)
		registerLoadScenario("urgent-flood", "the most urgent work at 3 times what the fleet can take", s,
			append(s.normalDay(obeysRetryAfter), s.flood(urgent, 3, s.allOrganisations(), givesUp)...), nil)
		registerLoadScenario("pool-half", "half of the replicas stop for a third of the time", s, day, stopShareOfReplicas(0.5))
		registerLoadScenario("pool-out", "all replicas stop for a third of the time", s, day, stopShareOfReplicas(1))
		registerLoadScenario("cut-off", "one data centre is cut off for a third of the time", s, day, isolateDataCentre)
		registerOrgSizeScenario(s)
	}
}

// registerLoadScenario registers a traffic scenario for one deployment size.
func registerLoadScenario(name, description string, s size, sources []source, faults func(*fleet)) {
	registerScenario(Scenario{
		Name: name + "-" + s.name, Description: description + ", " + s.name,
		Run: func(seed uint64) *Table {
			t := &Table{Columns: loadColumns}
			addLoadRows(t, s, s.comparedPolicies(), seed, sources, faults)
			return t
		},
	})
}

// addLoadRows runs the policies concurrently and adds a row for each.
func addLoadRows(t *Table, s size, policies []policy, seed uint64, sources []source, faults func(*fleet)) {
	results := make([]*stats, len(policies))
	runConcurrently(len(policies), func(i int) { results[i] = runLoadTrial(s, policies[i], seed, sources, faults) })
	for i, p := range policies {
		addLoadRow(t, p.name, results[i])
	}
}

// runConcurrently calls run for 0 to n-1 at the same time. The calls must share
// no state.
func runConcurrently(n int, run func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { run(i) })
	}
	wg.Wait()
}

// runLoadTrial simulates one policy under the given traffic and faults.
func runLoadTrial(s size, p policy, seed uint64, sources []source, faults func(*fleet)) *stats {
	f := newFleet(s, p, seed)
	f.stats.windowStart, f.stats.windowEnd = epoch.Add(min(warmUp, s.duration/4)), epoch.Add(s.duration-min(coolDown, s.duration/4))
	for _, src := range sources {
		f.startSource(src)
	}
	if faults != nil {
		faults(f)
	}
	f.ev.run(epoch.Add(s.duration + rankWorkloads[normal].deadline))
	return f.stats
}

var loadColumns = loadColumnNames()

// loadColumnNames returns the columns of a load trial, in the order of
// addLoadRow.
func loadColumnNames() []string {
	var out []string
	for _, rank := range rankNames {
		out = append(out, rank+" first p50 s", rank+" first p95 s", rank+" first p99 s")
	}
	for _, figure := range []string{"in time %", "served %", "refused %", "tokens/s"} {
		for _, rank := range rankNames {
			out = append(out, rank+" "+figure)
		}
	}
	return append(out, "interval p95 ms", "useful %", "wasted %", "pauses", "refusals", "served when told %", "cached %")
}

func addLoadRow(t *Table, name string, s *stats) {
	var row []string
	for i := range s.ranks {
		for _, q := range []float64{0.5, 0.95, 0.99} {
			row = append(row, formatSeconds(percentile(s.ranks[i].firstTokens, q)))
		}
	}
	var intervals []time.Duration
	for i := range s.ranks {
		row = append(row, formatPercent(s.ranks[i].inTime, s.ranks[i].requests))
		intervals = append(intervals, s.ranks[i].intervals...)
	}
	for i := range s.ranks {
		row = append(row, formatPercent(s.ranks[i].served, s.ranks[i].requests))
	}
	for i := range s.ranks {
		row = append(row, formatPercent(s.ranks[i].refused, s.ranks[i].requests))
	}
	window := s.windowEnd.Sub(s.windowStart).Seconds()
	for i := range s.ranks {
		row = append(row, fmt.Sprintf("%.0f", float64(s.ranks[i].tokens)/window))
	}
	row = append(row, formatMillis(percentile(intervals, 0.95)), fmt.Sprintf("%.1f", 100*s.utilisation()),
		fmt.Sprintf("%.1f", 100*s.wastedWork/(window*float64(s.replicas))), fmt.Sprint(s.pauses), fmt.Sprint(s.refusals),
		formatPercent(s.retriesServedOnTime, s.retriesServed+s.retriesUnserved), formatPercent(s.cachedTokens, s.promptTokens))
	t.AddRow(name, row...)
}
