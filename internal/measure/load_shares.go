package measure

import (
	"fmt"
	"slices"
	"time"
)

// Demand of the trial of large beside small organisations, as shares of
// capacity.
const (
	smallDemand = 0.3
	largeTimes  = 20.0
	largeOnes   = 2
)

// sharesTraffic is small organisations with, or without, large ones that ask
// many times as much.
func (s size) sharesTraffic(large bool) []source {
	small := s.organisations - largeOnes
	mean := 0.0
	for rank, share := range mix {
		mean += share * s.work(rank)
	}
	each := smallDemand * float64(s.replicas) / mean / float64(small)
	if each*largeTimes*largeOnes < 1.5*float64(s.replicas)/mean {
		each = 1.5 * float64(s.replicas) / mean / (largeTimes * largeOnes)
	}
	var out []source
	for i := range s.organisations {
		rate := each
		if i < largeOnes {
			if !large {
				continue
			}
			rate *= largeTimes
		}
		for rank, share := range mix {
			out = append(out, source{organisation: i, rank: rank, rate: rate * share, to: s.span, manner: leaves})
		}
	}
	return out
}

var sharesColumns = []string{
	"small urgent first p95 s", "alone s", "urgent times", "small normal first p95 s", "normal alone s", "normal times",
	"small background first p95 s", "background alone s", "background times",
	"small served %", "small alone served %", "large served %", "small tokens/s each", "large tokens/s each", "useful %",
}

// registerShares adds the trial of two large organisations beside small ones.
func registerShares(s size) {
	register(Scenario{
		Name: "large-and-small-" + s.name, About: "two large organisations ask 20 times the others, " + s.name,
		Run: func(seed uint64) *Table {
			t := &Table{Columns: sharesColumns}
			s.addSharesOf(t, s.policies(), seed)
			return t
		},
	})
}

// addSharesOf adds the trials of policies with and without large
// organisations, which run at the same time.
func (s size) addSharesOf(t *Table, policies []policy, seed uint64) {
	got := make([]*stats, 2*len(policies))
	together(len(got), func(i int) { got[i] = runLoad(s, policies[i/2], seed, s.sharesTraffic(i%2 == 0), nil) })
	for i, p := range policies {
		addShares(t, p.name, got[2*i], got[2*i+1])
	}
}

func addShares(t *Table, name string, with, alone *stats) {
	var row []string
	for rank := range simRanks {
		a, b := with.smallFirst(rank), alone.smallFirst(rank)
		times := "-"
		if b > 0 {
			times = fmt.Sprintf("%.2f", a.Seconds()/b.Seconds())
		}
		row = append(row, seconds(a), seconds(b), times)
	}
	span := with.to.Sub(with.from).Seconds()
	small, large := with.group(largeOnes, len(with.orgs)), with.group(0, largeOnes)
	row = append(row, percent(small.served, small.asked))
	quiet := alone.group(largeOnes, len(alone.orgs))
	row = append(row, percent(quiet.served, quiet.asked), percent(large.served, large.asked),
		fmt.Sprintf("%.1f", float64(small.tokens)/span/float64(len(with.orgs)-largeOnes)),
		fmt.Sprintf("%.1f", float64(large.tokens)/span/largeOnes), fmt.Sprintf("%.1f", 100*with.utilisation()))
	t.Add(name, row...)
}

// smallFirst is the 95th percentile of the time to the first token that small
// organisations saw in one rank.
func (s *stats) smallFirst(rank int) time.Duration {
	var all []time.Duration
	for i := largeOnes; i < len(s.orgs); i++ {
		all = slices.Concat(all, s.orgs[i].first[rank])
	}
	return percentile(all, 0.95)
}

// group sums up some organisations.
func (s *stats) group(from, to int) orgStats {
	var sum orgStats
	for _, o := range s.orgs[from:to] {
		sum.asked += o.asked
		sum.served += o.served
		sum.tokens += o.tokens
	}
	return sum
}
