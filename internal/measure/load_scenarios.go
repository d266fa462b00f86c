package measure

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	for _, s := range []size{virtanen, turnoflor, twoYears} {
		day := s.normalDay(obeys)
		registerLoad("normal-day", "a normal day", s, day, nil)
		registerLoad("urgent-alone", "the urgent work of a normal day with nothing beside it", s, s.alone(urgent), nil)
		registerLoad("background-flood", "the least urgent work at 5 times what the fleet can take", s,
			append(s.normalDay(obeys), s.flood(background, 5, s.everyone(), leaves)...), nil)
		registerLoad("urgent-flood", "the most urgent work at 3 times what the fleet can take", s,
			append(s.normalDay(obeys), s.flood(urgent, 3, s.everyone(), leaves)...), nil)
		registerLoad("pool-half", "half of the replicas stop for a third of the time", s, day, shrink(0.5))
		registerLoad("pool-out", "all replicas stop for a third of the time", s, day, shrink(1))
		registerLoad("cut-off", "one data centre is cut off for a third of the time", s, day, cutOff)
		registerShares(s)
	}
}

// registerLoad adds a scenario of traffic for one deployment size.
func registerLoad(name, about string, s size, sources []source, faults func(*fleet)) {
	register(Scenario{
		Name: name + "-" + s.name, About: about + ", " + s.name,
		Run: func(seed uint64) *Table {
			t := &Table{Columns: loadColumns}
			addLoads(t, s, s.policies(), seed, sources, faults)
			return t
		},
	})
}

// addLoads adds the trials of policies, which run at the same time.
func addLoads(t *Table, s size, policies []policy, seed uint64, sources []source, faults func(*fleet)) {
	got := make([]*stats, len(policies))
	together(len(policies), func(i int) { got[i] = runLoad(s, policies[i], seed, sources, faults) })
	for i, p := range policies {
		addLoad(t, p.name, got[i])
	}
}

// together carries trials out at the same time; they share nothing.
func together(n int, run func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { run(i) })
	}
	wg.Wait()
}

// runLoad carries one trial out.
func runLoad(s size, p policy, seed uint64, sources []source, faults func(*fleet)) *stats {
	f := newFleet(s, p, seed)
	f.stats.from, f.stats.to = epoch.Add(min(warmUp, s.span/4)), epoch.Add(s.span-min(tail, s.span/4))
	for _, src := range sources {
		f.add(src)
	}
	if faults != nil {
		faults(f)
	}
	f.ev.run(epoch.Add(s.span + kinds[normal].deadline))
	return f.stats
}

var loadColumns = columns()

// columns names the figures of a trial of load, in the order of addLoad.
func columns() []string {
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

func addLoad(t *Table, name string, s *stats) {
	var row []string
	for i := range s.ranks {
		for _, q := range []float64{0.5, 0.95, 0.99} {
			row = append(row, seconds(percentile(s.ranks[i].first, q)))
		}
	}
	var intervals []time.Duration
	for i := range s.ranks {
		row = append(row, percent(s.ranks[i].inTime, s.ranks[i].asked))
		intervals = append(intervals, s.ranks[i].intervals...)
	}
	for i := range s.ranks {
		row = append(row, percent(s.ranks[i].served, s.ranks[i].asked))
	}
	for i := range s.ranks {
		row = append(row, percent(s.ranks[i].refused, s.ranks[i].asked))
	}
	span := s.to.Sub(s.from).Seconds()
	for i := range s.ranks {
		row = append(row, fmt.Sprintf("%.0f", float64(s.ranks[i].tokens)/span))
	}
	row = append(row, millis(percentile(intervals, 0.95)), fmt.Sprintf("%.1f", 100*s.utilisation()),
		fmt.Sprintf("%.1f", 100*s.waste/(span*float64(s.replicas))), fmt.Sprint(s.pauses), fmt.Sprint(s.refusals),
		percent(s.kept, s.told+s.unserved), percent(s.hit, s.prompt))
	t.Add(name, row...)
}
