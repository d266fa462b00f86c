package measure

import (
	"fmt"
	"slices"
	"time"
)

// Demand in the trial of large beside small organisations: all small ones
// together as a share of capacity, each large one as a multiple of a small one.
const (
	smallDemand        = 0.3
	largeDemandFactor  = 20.0
	largeOrganisations = 2
)

// orgSizeTraffic returns the traffic of the small organisations, with or
// without that of the large ones. The large ones together ask at least 1.5
// times what the deployment can serve.
func (s size) orgSizeTraffic(large bool) []source {
	smallOrganisations := s.organisations - largeOrganisations
	meanSeconds := 0.0
	for rank, share := range rankMix {
		meanSeconds += share * s.workSeconds(rank)
	}
	smallRate := smallDemand * float64(s.replicas) / meanSeconds / float64(smallOrganisations)
	if smallRate*largeDemandFactor*largeOrganisations < 1.5*float64(s.replicas)/meanSeconds {
		smallRate = 1.5 * float64(s.replicas) / meanSeconds / (largeDemandFactor * largeOrganisations)
	}
	var out []source
	for i := range s.organisations {
		rate := smallRate
		if i < largeOrganisations {
			if !large {
				continue
			}
			rate *= largeDemandFactor
		}
		for rank, share := range rankMix {
			out = append(out, source{organisation: i, rank: rank, rate: rate * share, end: s.duration, behaviour: givesUp})
		}
	}
	return out
}

var orgSizeColumns = []string{
	"small urgent first p95 s", "alone s", "urgent times", "small normal first p95 s", "normal alone s", "normal times",
	"small background first p95 s", "background alone s", "background times",
	"small served %", "small alone served %", "large served %", "small tokens/s each", "large tokens/s each", "useful %",
}

// registerOrgSizeScenario registers the trial of two large organisations beside
// small ones.
func registerOrgSizeScenario(s size) {
	registerScenario(Scenario{
		Name: "large-and-small-" + s.name, Description: "two large organisations ask 20 times the others, " + s.name,
		Run: func(seed uint64) *Table {
			t := &Table{Columns: orgSizeColumns}
			s.addOrgSizeRows(t, s.comparedPolicies(), seed)
			return t
		},
	})
}

// addOrgSizeRows runs each policy with and without the large organisations,
// concurrently, and adds a row for each.
func (s size) addOrgSizeRows(t *Table, policies []policy, seed uint64) {
	results := make([]*stats, 2*len(policies))
	runConcurrently(len(results), func(i int) { results[i] = runLoadTrial(s, policies[i/2], seed, s.orgSizeTraffic(i%2 == 0), nil) })
	for i, p := range policies {
		addOrgSizeRow(t, p.name, results[2*i], results[2*i+1])
	}
}

func addOrgSizeRow(t *Table, name string, withLarge, alone *stats) {
	var row []string
	for rank := range rankCount {
		p95, aloneP95 := withLarge.smallOrgFirstTokenP95(rank), alone.smallOrgFirstTokenP95(rank)
		ratio := "-"
		if aloneP95 > 0 {
			ratio = fmt.Sprintf("%.2f", p95.Seconds()/aloneP95.Seconds())
		}
		row = append(row, formatSeconds(p95), formatSeconds(aloneP95), ratio)
	}
	window := withLarge.windowEnd.Sub(withLarge.windowStart).Seconds()
	small, large := withLarge.sumOrgs(largeOrganisations, len(withLarge.orgs)), withLarge.sumOrgs(0, largeOrganisations)
	row = append(row, formatPercent(small.served, small.requests))
	smallAlone := alone.sumOrgs(largeOrganisations, len(alone.orgs))
	row = append(row, formatPercent(smallAlone.served, smallAlone.requests), formatPercent(large.served, large.requests),
		fmt.Sprintf("%.1f", float64(small.tokens)/window/float64(len(withLarge.orgs)-largeOrganisations)),
		fmt.Sprintf("%.1f", float64(large.tokens)/window/largeOrganisations), fmt.Sprintf("%.1f", 100*withLarge.utilisation()))
	t.AddRow(name, row...)
}

// smallOrgFirstTokenP95 returns the 95th percentile of the time to the first
// token of small organisations in one rank.
func (s *stats) smallOrgFirstTokenP95(rank int) time.Duration {
	var all []time.Duration
	for i := largeOrganisations; i < len(s.orgs); i++ {
		all = slices.Concat(all, s.orgs[i].firstTokens[rank])
	}
	return percentile(all, 0.95)
}

// sumOrgs adds up the statistics of a range of organisations.
func (s *stats) sumOrgs(from, to int) orgStats {
	var sum orgStats
	for _, o := range s.orgs[from:to] {
		sum.requests += o.requests
		sum.served += o.served
		sum.tokens += o.tokens
	}
	return sum
}
