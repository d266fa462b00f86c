package measure

import (
	"fmt"
	"slices"
	"time"
)

// tokenInterval is the target time between tokens.
const tokenInterval = 40 * time.Millisecond

// stats collects what the callers of a trial observe. Requests count if they
// arrive from windowStart until before windowEnd.
type stats struct {
	size
	windowStart, windowEnd time.Time
	ranks                  [rankCount]rankStats
	orgs                   []orgStats
	pauses                 int
	refusals               int
	slotRequests           int
	cachedTokens           int
	promptTokens           int
	retriesServed          int
	retriesServedOnTime    int
	retriesUnserved        int
	// engineStarts counts the streams started at engines, callerTries the tries
	// of callers.
	engineStarts, callerTries int
	requestsPerReplica        map[string]int
	crashes                   crashStats
	// usefulWork is the engine time spent on delivered tokens and first
	// prompts, wastedWork that spent on late answers and repeated prompts, both
	// in seconds of a full batch.
	usefulWork, wastedWork float64
}

// rankStats holds the statistics of one rank.
type rankStats struct {
	firstTokens []time.Duration
	intervals   []time.Duration
	requests    int
	served      int
	inTime      int
	refused     int
	late        int
	tokens      int
}

// orgStats holds the statistics of one organisation.
type orgStats struct {
	requests, served, tokens int
	firstTokens              [rankCount][]time.Duration
}

func newStats(s size) *stats {
	return &stats{size: s, orgs: make([]orgStats, s.organisations), requestsPerReplica: map[string]int{}}
}

// isInWindow reports whether a request arrived in the measured window.
func (s *stats) isInWindow(r *simRequest) bool {
	return !r.arrived.Before(s.windowStart) && r.arrived.Before(s.windowEnd)
}

func (s *stats) recordArrival(r *simRequest) {
	if !s.isInWindow(r) {
		return
	}
	s.ranks[r.rank].requests++
	s.orgs[r.organisation].requests++
}

func (s *stats) recordFirstToken(r *simRequest, now time.Time) {
	if !s.isInWindow(r) {
		return
	}
	rs := &s.ranks[r.rank]
	rs.firstTokens = append(rs.firstTokens, r.firstToken)
	if r.firstToken <= rankWorkloads[r.rank].firstTokenTarget {
		rs.inTime++
	}
	org := &s.orgs[r.organisation]
	org.firstTokens[r.rank] = append(org.firstTokens[r.rank], r.firstToken)
	s.cachedTokens += r.cachedTokens
	s.promptTokens += r.promptTokens
	s.requestsPerReplica[r.attempt.owner.id]++
	if r.promisedRetry > 0 {
		s.recordRetry(r, now)
	}
}

// retrySlack is how long after the promised retry time a caller counts as
// served on time.
const retrySlack = 2 * time.Second

// recordRetry compares a promised retry time with the time at which the caller
// was served.
func (s *stats) recordRetry(r *simRequest, now time.Time) {
	s.retriesServed++
	late := now.Sub(r.arrived) - r.promisedRetry
	if late <= max(retrySlack, r.promisedRetry/10) {
		s.retriesServedOnTime++
	}
}

func (s *stats) recordEnd(r *simRequest, now time.Time) {
	if !s.isInWindow(r) {
		return
	}
	rs := &s.ranks[r.rank]
	switch {
	case r.isRefused:
		rs.refused++
	case r.isLate:
		rs.late++
		s.usefulWork -= float64(r.countedTokens) * s.engine.tokenSeconds()
		rs.tokens -= r.countedTokens
		s.wastedWork += float64(r.countedTokens) * s.engine.tokenSeconds()
	default:
		rs.served++
		s.orgs[r.organisation].served++
	}
	if r.promisedRetry > 0 && r.firstToken == 0 && now.Sub(r.arrived) >= r.promisedRetry {
		s.retriesUnserved++
	}
	if r.receivedTokens > 1 {
		rs.intervals = append(rs.intervals, r.decodingTime/time.Duration(r.receivedTokens-1))
	}
}

// recordToken counts the work of one token.
func (s *stats) recordToken(r *simRequest, now time.Time) {
	if now.Before(s.windowStart) || !now.Before(s.windowEnd) {
		return
	}
	s.usefulWork += s.engine.tokenSeconds()
	r.countedTokens++
	s.ranks[r.rank].tokens++
	s.orgs[r.organisation].tokens++
}

// recordPrefill counts the work of a prompt; isRepeated means that it was
// computed before.
func (s *stats) recordPrefill(now time.Time, tokens int, isRepeated bool) {
	if now.Before(s.windowStart) || !now.Before(s.windowEnd) {
		return
	}
	work := float64(tokens) * s.engine.perPromptToken.Seconds()
	if isRepeated {
		s.wastedWork += work
		return
	}
	s.usefulWork += work
}

// utilisation returns the useful work as a share of the fleet's capacity.
func (s *stats) utilisation() float64 {
	return s.usefulWork / (s.windowEnd.Sub(s.windowStart).Seconds() * float64(s.replicas))
}

// percentile returns a quantile of unsorted times, 0 if there are none.
func percentile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }

func formatMillis(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1000) }

func formatPercent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", 100*float64(part)/float64(whole))
}
