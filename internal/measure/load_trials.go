package measure

import (
	"fmt"
	"time"
)

func init() {
	for _, s := range []size{virtanen, turnoflor, twoYears} {
		registerTrials(s)
		registerScenario(Scenario{Name: "prefix-" + s.name, Description: "what the choice of a replica knows of prefix caches, on a normal day, " + s.name, Run: s.runPrefix})
		registerScenario(Scenario{Name: "crash-" + s.name, Description: "a request that crashes its engine is sent again each second, " + s.name, Run: s.runCrash})
		registerScenario(Scenario{Name: "retry-storm-" + s.name, Description: "refused callers come back at once, or when told, in the background flood, " + s.name, Run: s.runRetryStorm})
	}
}

// registerTrials registers the trials that compare design alternatives.
func registerTrials(s size) {
	backgroundFlood := append(s.normalDay(obeysRetryAfter), s.flood(background, 5, s.allOrganisations(), givesUp)...)
	urgentFlood := append(s.normalDay(obeysRetryAfter), s.flood(urgent, 3, s.allOrganisations(), givesUp)...)
	registerScenario(loadTrial("trial-owner-"+s.name, "the owner's queue against direct dispatch while owners freeze, "+s.name, s, s.normalDay(obeysRetryAfter), freezeNodesInTurn, ownerPolicies()))
	registerScenario(loadTrial("trial-headroom-"+s.name, "headroom against pauses in the background flood, "+s.name, s, backgroundFlood, nil, headroomPolicies()))
	registerScenario(loadTrial("trial-floors-"+s.name, "rank order with floors against shares in the urgent flood, "+s.name, s, urgentFlood, nil, floorPolicies()))
	registerScenario(loadTrial("trial-limits-"+s.name, "how the limit is learned, with 40 slots, in the background flood, "+s.name, s.withSlots(manySlots), backgroundFlood, nil, limitPolicies()))
	registerScenario(s.orgSizeTrial("trial-order", "the order inside a rank with two large organisations", orderPolicies()))
	registerScenario(s.orgSizeTrial("trial-callers", "two large callers beside small ones of one organisation", callerPolicies()))
}

// orgSizeTrial returns a scenario that compares policies on large beside small
// organisations.
func (s size) orgSizeTrial(name, description string, policies []policy) Scenario {
	return Scenario{Name: name + "-" + s.name, Description: description + ", " + s.name, Run: func(seed uint64) *Table {
		t := &Table{Columns: orgSizeColumns}
		s.addOrgSizeRows(t, policies, seed)
		return t
	}}
}

// callerPolicies returns the router's policy with and without names of callers.
func callerPolicies() []policy {
	return []policy{
		routerPolicy.variant("callers told", func(p *policy) { p.callerKnowledge = callersNamed }),
		routerPolicy.variant("callers not told", func(p *policy) { p.callerKnowledge = callersUnnamed }),
	}
}

// manySlots is more than the engine can batch within the target interval.
const manySlots = 40

func (s size) withSlots(slots int) size {
	s.engine.slots = slots
	return s
}

func loadTrial(name, description string, s size, sources []source, faults func(*fleet), policies []policy) Scenario {
	return Scenario{Name: name, Description: description, Run: func(seed uint64) *Table {
		t := &Table{Columns: loadColumns}
		addLoadRows(t, s, policies, seed, sources, faults)
		return t
	}}
}

func ownerPolicies() []policy {
	return []policy{routerPolicy, {name: "direct, two choices on lagged reports", bypassesOwners: true}}
}

func headroomPolicies() []policy {
	out := []policy{routerPolicy}
	for _, reserve := range []int{0, 1, 2} {
		for _, canPause := range []bool{false, true} {
			out = append(out, routerPolicy.variant(fmt.Sprintf("headroom %d, pauses %t", reserve, canPause), func(p *policy) {
				p.sharedHeadroom, p.reserve, p.preempts, p.fairPauses = false, reserve, canPause, canPause
			}))
		}
	}
	return out
}

func floorPolicies() []policy {
	return []policy{
		routerPolicy,
		routerPolicy.variant("no floors", func(p *policy) { p.floors = [rankCount]float64{} }),
		routerPolicy.variant("shares 40:40:20", func(p *policy) { p.floors = [rankCount]float64{0, 0.4, 0.2} }),
		routerPolicy.variant("patience to the deadline", func(p *policy) { p.patience = [rankCount]time.Duration{} }),
	}
}

func limitPolicies() []policy {
	return []policy{
		routerPolicy,
		routerPolicy.variant("plus one, minus a tenth", func(p *policy) { p.newLimit = newAIMDLimit }),
		routerPolicy.variant("fixed at the slots", func(p *policy) { p.newLimit = newFixedLimit }),
	}
}

func orderPolicies() []policy {
	return []policy{
		routerPolicy,
		routerPolicy.variant("counter without promotion", func(p *policy) { p.lowUseShare = 0 }),
		routerPolicy.variant("counter without fair pauses", func(p *policy) { p.fairPauses = false }),
		routerPolicy.variant("counts of one replica", func(p *policy) { p.usageKnowledge = usageOfReplica }),
		routerPolicy.variant("exact counts of the fleet", func(p *policy) { p.usageKnowledge = usageOfFleet }),
		routerPolicy.variant("counts told 30 s late", func(p *policy) { p.usageKnowledge = usageReportedLate }),
		routerPolicy.variant("counts told by 1 ask in 10", func(p *policy) { p.usageKnowledge = usageRarelyReported }),
		routerPolicy.variant("deficit round robin", func(p *policy) { p.newOrder, p.fairPauses, p.lowUseShare = newDeficitRoundRobin, false, 0 }),
		routerPolicy.variant("earliest deadline", func(p *policy) { p.newOrder, p.fairPauses, p.lowUseShare = newDeadlineOrder, false, 0 }),
		routerPolicy.variant("first in, first out", func(p *policy) { p.newOrder, p.fairPauses, p.lowUseShare = newArrivalOrder, false, 0 }),
	}
}

// runPrefix compares sources of knowledge of the prefix caches in the choice of
// a replica.
func (s size) runPrefix(seed uint64) *Table {
	t := &Table{Columns: []string{"cached %", "of full knowledge %", "busiest replica over mean", "urgent first p95 s", "normal p95 s"}}
	policies := []policy{routerPolicy.variant("what the node sent (router)", func(p *policy) { p.prefixKnowledge = prefixesSent })}
	policies = append(policies, routerPolicy.variant("the same and a common guess", func(p *policy) { p.prefixKnowledge = prefixesSentOrHashed }))
	policies = append(policies, routerPolicy.variant("nothing", func(p *policy) { p.prefixKnowledge = prefixesUnknown }))
	policies = append(policies, routerPolicy.variant("full knowledge", func(p *policy) { p.prefixKnowledge = prefixesExact }))
	results := make([]*stats, len(policies))
	runConcurrently(len(policies), func(i int) { results[i] = runLoadTrial(s, policies[i], seed, s.normalDay(obeysRetryAfter), nil) })
	for i, p := range policies {
		addPrefixRow(t, p.name, results[i], results[len(results)-1])
	}
	return t
}

func addPrefixRow(t *Table, name string, s, full *stats) {
	busiest, total := 0, 0
	for _, n := range s.requestsPerReplica {
		busiest = max(busiest, n)
		total += n
	}
	hitShare := float64(s.cachedTokens) / float64(max(s.promptTokens, 1))
	fullShare := float64(full.cachedTokens) / float64(max(full.promptTokens, 1))
	t.AddRow(name, formatPercent(s.cachedTokens, s.promptTokens), fmt.Sprintf("%.1f", 100*hitShare/fullShare), fmt.Sprintf("%.2f", float64(busiest)*float64(s.replicas)/float64(max(total, 1))),
		formatSeconds(percentile(s.ranks[urgent].firstTokens, 0.95)), formatSeconds(percentile(s.ranks[normal].firstTokens, 0.95)))
}

// runRetryStorm compares the behaviour of refused callers in a background flood.
func (s size) runRetryStorm(seed uint64) *Table {
	t := &Table{Columns: []string{"urgent first p95 s", "normal p95 s", "useful %", "wasted %", "requests", "asks of owners", "started at engines", "over callers that leave %", "served when told %", "background in time %"}}
	baseStarts := 0
	for _, variant := range []struct {
		name      string
		behaviour refusalBehaviour
	}{{"refused callers leave", givesUp}, {"come back when told", obeysRetryAfter}, {"come back at once", retriesAtOnce}} {
		st := runLoadTrial(s, routerPolicy, seed, append(s.normalDay(variant.behaviour), s.flood(background, 5, s.allOrganisations(), variant.behaviour)...), nil)
		if baseStarts == 0 {
			baseStarts = st.engineStarts
		}
		t.AddRow(variant.name, formatSeconds(percentile(st.ranks[urgent].firstTokens, 0.95)), formatSeconds(percentile(st.ranks[normal].firstTokens, 0.95)),
			fmt.Sprintf("%.1f", 100*st.utilisation()), fmt.Sprintf("%.1f", 100*st.wastedWork/(st.windowEnd.Sub(st.windowStart).Seconds()*float64(s.replicas))),
			fmt.Sprint(st.callerTries), fmt.Sprint(st.slotRequests), fmt.Sprint(st.engineStarts), fmt.Sprintf("%+.1f", 100*(float64(st.engineStarts)/float64(baseStarts)-1)),
			formatPercent(st.retriesServedOnTime, st.retriesServed+st.retriesUnserved), formatPercent(st.ranks[background].inTime, st.ranks[background].requests))
	}
	return t
}
