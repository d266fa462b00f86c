package measure

import (
	"fmt"
	"slices"
	"time"
)

// tokenInterval is the target time between tokens.
const tokenInterval = 40 * time.Millisecond

// stats gathers what the callers of a trial saw.
type stats struct {
	size
	from, to time.Time
	ranks    [simRanks]rankStats
	orgs     []orgStats
	pauses   int
	refusals int
	messages int
	hit      int
	prompt   int
	told     int
	kept     int
	unserved int
	// tries counts the engines' starts, sent the tries of callers.
	tries, sent int
	perOwner    map[string]int
	crashes     crashes
	// work is the useful engine time and waste what was done in vain, both
	// as seconds of a full batch.
	work, waste float64
}

// rankStats is what one rank got.
type rankStats struct {
	first     []time.Duration
	intervals []time.Duration
	asked     int
	served    int
	inTime    int
	refused   int
	late      int
	tokens    int
}

// orgStats is what one organisation got.
type orgStats struct {
	asked, served, tokens int
	first                 [simRanks][]time.Duration
}

func newStats(s size) *stats {
	return &stats{size: s, orgs: make([]orgStats, s.organisations), perOwner: map[string]int{}}
}

// counts tells whether a request falls into the measured window.
func (s *stats) counts(r *simRequest) bool {
	return !r.arrived.Before(s.from) && r.arrived.Before(s.to)
}

func (s *stats) arrived(r *simRequest) {
	if !s.counts(r) {
		return
	}
	s.ranks[r.rank].asked++
	s.orgs[r.organisation].asked++
}

func (s *stats) first(r *simRequest, now time.Time) {
	if !s.counts(r) {
		return
	}
	k := &s.ranks[r.rank]
	k.first = append(k.first, r.first)
	if r.first <= kinds[r.rank].target {
		k.inTime++
	}
	o := &s.orgs[r.organisation]
	o.first[r.rank] = append(o.first[r.rank], r.first)
	s.hit += r.hit
	s.prompt += r.prompt
	s.perOwner[r.try.owner.id]++
	if r.told > 0 {
		s.keptTime(r, now)
	}
}

// comeBackSlack is how far from the told time a returning caller may be
// served.
const comeBackSlack = 2 * time.Second

// keptTime checks a come-back time against when the caller was served.
func (s *stats) keptTime(r *simRequest, now time.Time) {
	s.told++
	late := now.Sub(r.arrived) - r.told
	if late <= max(comeBackSlack, r.told/10) {
		s.kept++
	}
}

func (s *stats) finished(r *simRequest, now time.Time) {
	if !s.counts(r) {
		return
	}
	k := &s.ranks[r.rank]
	switch {
	case r.refused:
		k.refused++
	case r.late:
		k.late++
		s.work -= float64(r.counted) * s.engine.tokenWork()
		k.tokens -= r.counted
		s.waste += float64(r.counted) * s.engine.tokenWork()
	default:
		k.served++
		s.orgs[r.organisation].served++
	}
	if r.told > 0 && r.first == 0 && now.Sub(r.arrived) >= r.told {
		s.unserved++
	}
	if r.steps > 1 {
		k.intervals = append(k.intervals, r.decoding/time.Duration(r.steps-1))
	}
}

// token counts the work of one token.
func (s *stats) token(r *simRequest, now time.Time) {
	if now.Before(s.from) || !now.Before(s.to) {
		return
	}
	s.work += s.engine.tokenWork()
	r.counted++
	s.ranks[r.rank].tokens++
	s.orgs[r.organisation].tokens++
}

// prefill counts the work of a prompt; again tells that it was computed
// before.
func (s *stats) prefill(now time.Time, tokens int, again bool) {
	if now.Before(s.from) || !now.Before(s.to) {
		return
	}
	work := float64(tokens) * s.engine.perToken.Seconds()
	if again {
		s.waste += work
		return
	}
	s.work += work
}

// utilisation is the useful share of what the fleet could do.
func (s *stats) utilisation() float64 {
	return s.work / (s.to.Sub(s.from).Seconds() * float64(s.replicas))
}

// percentile returns a quantile of unsorted times.
func percentile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }

func millis(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1000) }

func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", 100*float64(part)/float64(whole))
}
