package measure

import (
	"fmt"
	"time"
)

// crashesInBudget is the number of crashes after which a crashing part should no
// longer reach servers.
const crashesInBudget = 5

// crashingPartStats counts the effects of one crashing part.
type crashingPartStats struct {
	crashes, arrivalsAfter, arrivalsLate int
	firstCrash, lastInBudget, convicted  time.Time
}

// partsStats counts the effects of crashing parts, and of servers that crash of
// other causes.
type partsStats struct {
	parts        []crashingPartStats
	otherCrashes int
	soundRefused int
	// soundSent and soundServed are the requests without a crashing part.
	soundSent, soundServed int
	soundConvicted         map[string]bool
	records                int
	messages               int
	newsBytes              int
}

func (s *partsStats) recordRefusal(r *partsRequest) {
	if r.crashing < 0 {
		s.soundRefused++
	}
}

// recordArrival counts a request that reached a server. isInTouch means that its
// node was not cut off lately.
func (s *partsStats) recordArrival(r *partsRequest, now time.Time, isInTouch bool) {
	if r.crashing < 0 {
		return
	}
	p := &s.parts[r.crashing]
	if p.crashes < crashesInBudget {
		return
	}
	p.arrivalsAfter++
	if isInTouch && now.Sub(p.lastInBudget) > partsLateAfter {
		p.arrivalsLate++
	}
}

func (s *partsStats) recordCrash(crashing int, now time.Time) {
	if crashing < 0 {
		s.otherCrashes++
		return
	}
	p := &s.parts[crashing]
	p.crashes++
	switch p.crashes {
	case 1:
		p.firstCrash = now
	case crashesInBudget:
		p.lastInBudget = now
	}
}

// recordConviction records the first quarantine of a crashing part at any node.
func (s *partsStats) recordConviction(part string, now time.Time) {
	for i := range s.parts {
		if p := &s.parts[i]; part == fmt.Sprint(crashingPrefix, i) && p.convicted.IsZero() {
			p.convicted = now
		}
	}
}

// partsColumns names the values of addPartsRow.
var partsColumns = []string{"most crashes per part", "arrivals after 5th crash", "of these late", "others refused", "sound parts convicted", "convicted after s", "records", "news KB per node"}

// addPartsRow adds the worst of the crashing parts.
func addPartsRow(table *Table, name string, s *partsStats, nodes int) {
	var worst crashingPartStats
	convictedAfter := "never"
	for _, p := range s.parts {
		worst.crashes = max(worst.crashes, p.crashes)
		worst.arrivalsAfter = max(worst.arrivalsAfter, p.arrivalsAfter)
		worst.arrivalsLate = max(worst.arrivalsLate, p.arrivalsLate)
		if !p.convicted.IsZero() {
			convictedAfter = formatSeconds(p.convicted.Sub(p.firstCrash))
		}
	}
	table.AddRow(name, fmt.Sprint(worst.crashes), fmt.Sprint(worst.arrivalsAfter), fmt.Sprint(worst.arrivalsLate), fmt.Sprint(s.soundRefused), fmt.Sprint(len(s.soundConvicted)),
		convictedAfter, fmt.Sprint(s.records), fmt.Sprintf("%.1f", float64(s.newsBytes)/1024/float64(nodes)))
}
