package edge

import "time"

// schedule is the progress of a roll-out over its time.
type schedule struct {
	// canary is the share of sessions of the first stage.
	canary float64
	stages []stage
	// completeFrom is the part of the roll-out's time from which it is completed.
	completeFrom float64
}

// stage is the share of sessions from a part of a roll-out's time on.
type stage struct {
	start float64 // part of the duration, 0 to 1
	share float64
}

const (
	// defaultExposure applies to a deployment that sets no bound.
	defaultExposure = 0.15
	// completionLeadRatio is how long before its end a roll-out is completed, as a part of
	// the bound on exposure, and minCompletionLead the least such time. The lead leaves
	// other nodes time to write the status if the store refuses the first.
	completionLeadRatio = 0.35
	minCompletionLead   = 1200 * time.Millisecond
	// stageWidthRatio is how long each later stage lasts, as a part of the bound.
	stageWidthRatio = 0.15
	// minStageTime is the least time of a later stage. The answers of a shorter one are
	// published and analyzed only after it has ended.
	minStageTime = 400 * time.Millisecond
	// moveStart is the part of a roll-out's time from which sessions in progress move to
	// the new version, and wideCanaryStart the part from which the canary of a short
	// roll-out is wider: nodes do not agree exactly on when the roll-out began.
	moveStart       = 0.5
	wideCanaryStart = 0.55
	// minCanaryRatio is the least share of the canary as a part of the bound.
	minCanaryRatio = 0.2
)

// promotionShares lists the shares of the later stages. A tenth stays with the old
// version until the end, as answers of one version alone are no evidence.
var promotionShares = []float64{0.25, 0.5, 0.9}

// newSchedule plans a roll-out under a bound on the share of requests that a bad
// version may get. A version that fails only under full load shows it late, so the
// shares are such that the bound holds even if no analysis detects it: the canary,
// which lasts longest and detects nearly all bad versions, gets what the later stages
// leave. If mayWiden is set, a roll-out too short for later stages has a wider canary
// instead, which gets as many requests as they would.
func newSchedule(exposure float64, duration time.Duration, mayWiden bool) schedule {
	if exposure <= 0 {
		exposure = defaultExposure
	}
	s := schedule{completeFrom: 1 - completionLeadRatio*exposure}
	if duration > 0 {
		s.completeFrom = min(s.completeFrom, 1-float64(minCompletionLead)/float64(duration))
	}
	width := stageWidthRatio * exposure
	firstStart, budget := s.completeFrom-width*float64(len(promotionShares)), exposure-(1-s.completeFrom)
	for i, share := range promotionShares {
		s.stages = append(s.stages, stage{firstStart + width*float64(i), share})
		budget -= share * width
	}
	s.canary = min(max(budget/max(firstStart, moveStart), minCanaryRatio*exposure), maxCanaryShare)
	if mayWiden && time.Duration(width*float64(duration)) < minStageTime && firstStart > wideCanaryStart {
		requests := s.canary * (firstStart - wideCanaryStart)
		for _, x := range s.stages {
			requests += x.share * width
		}
		s.stages = []stage{{wideCanaryStart, requests / (s.completeFrom - wideCanaryStart)}}
	}
	return s
}

// share returns the share of sessions at a part of the roll-out's time.
func (s schedule) share(elapsed float64) float64 {
	share := s.canary
	for _, x := range s.stages {
		if elapsed >= x.start {
			share = x.share
		}
	}
	return share
}
