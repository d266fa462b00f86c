package measure

import (
	"cmp"
	"fmt"
	"time"
)

// partsRouterTrials is the way of the router, with its trials of suspected parts.
var partsRouterTrials = partsWay{name: "router", rule: partsRouter.rule, cancels: true, tries: true}

// quickServers are services whose servers are back soon after a crash.
type quickServers struct {
	nodes     int // 0 means 6
	servers   int
	backAfter time.Duration
	// share is that of the requests with a crashing part, of which there are so many.
	share    float64
	crashing int
	// hasOneSubject means that all sound requests have the same parts.
	hasOneSubject bool
	// upTime is the least time after which a server crashes by itself, 0 if it does not.
	// It may be up to twice as long.
	upTime time.Duration
}

func (q quickServers) String() string {
	flapping := "sound servers"
	if q.upTime > 0 {
		flapping = fmt.Sprintf("servers crash after %v to %v", q.upTime, 2*q.upTime)
	}
	return fmt.Sprintf("%d servers back after %v, %d parts in %g, %s", q.servers, q.backAfter, q.crashing, q.share, flapping)
}

func (q quickServers) run(seed uint64, duration time.Duration) *partsStats {
	t := newPartsTrial(partsSize{nodes: cmp.Or(q.nodes, 6), servers: q.servers, rate: 11}, partsRouterTrials, seed)
	t.share, t.crashing, t.backAfter, t.hasOneSubject = q.share, q.crashing, q.backAfter, q.hasOneSubject
	if q.upTime > 0 {
		t.crashByThemselves(q.upTime, q.backAfter)
	}
	return t.run(duration)
}

// crashByThemselves crashes each server again and again, some time after it was back.
func (t *partsTrial) crashByThemselves(upTime, downTime time.Duration) {
	for _, s := range t.pool {
		var again func()
		again = func() {
			t.crash(s, -1, downTime)
			t.ev.after(downTime+t.between(upTime, 2*upTime), again)
		}
		t.ev.after(partsWarmUp+t.between(0, upTime), again)
	}
}

func init() {
	registerScenario(Scenario{Name: "crash-parts-quick", Description: "prompt parts crash servers that are back soon, some of which also crash by themselves", Run: runQuickServers})
}

func runQuickServers(seed uint64) *Table {
	var rows []quickServers
	for _, servers := range []int{1, 2, 4, 12} {
		for _, backAfter := range []time.Duration{500 * time.Millisecond, 2200 * time.Millisecond, 8 * time.Second} {
			for _, share := range []float64{0.02, 0.1, 0.3, 0.6} {
				rows = append(rows, quickServers{servers: servers, backAfter: backAfter, share: share, crashing: 1}, quickServers{servers: servers, backAfter: backAfter, share: share, crashing: 2},
					quickServers{servers: servers, backAfter: backAfter, share: share, crashing: 1, upTime: 2 * time.Second})
			}
			for _, upTime := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
				rows = append(rows, quickServers{servers: servers, backAfter: backAfter, upTime: upTime})
			}
		}
	}
	table := &Table{Columns: []string{"most crashes per part", "arrivals after 5th crash", "of these late", "sound requests served", "sound parts convicted", "convicted after s"}}
	results := make([]*partsStats, len(rows))
	runConcurrently(len(rows), func(i int) { results[i] = rows[i].run(seed, time.Minute) })
	for i, s := range results {
		var worst crashingPartStats
		convicted := "-"
		for _, p := range s.parts {
			worst.crashes, worst.arrivalsAfter, worst.arrivalsLate = max(worst.crashes, p.crashes), max(worst.arrivalsAfter, p.arrivalsAfter), max(worst.arrivalsLate, p.arrivalsLate)
			convicted = "never"
			if !p.convicted.IsZero() {
				convicted = formatSeconds(p.convicted.Sub(p.firstCrash))
			}
		}
		table.AddRow(rows[i].String(), fmt.Sprint(worst.crashes), fmt.Sprint(worst.arrivalsAfter), fmt.Sprint(worst.arrivalsLate),
			fmt.Sprintf("%.3f", float64(s.soundServed)/float64(s.soundSent)), fmt.Sprint(len(s.soundConvicted)), convicted)
	}
	return table
}
