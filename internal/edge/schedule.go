package edge

import "time"

// schedule is how a roll-out proceeds over its time.
type schedule struct {
	// canary is the share of sessions of the first stage.
	canary float64
	stages []stage
	// completeFrom is the part of the roll-out's time from which it is completed.
	completeFrom float64
}

// stage is a share of sessions from a part of a roll-out's time on.
type stage struct {
	from  float64 // part of the duration, 0 to 1
	share float64
}

const (
	// usualExposure stands for a deployment that sets no bound.
	usualExposure = 0.15
	// completeBefore is how long before the end a roll-out is completed, as a part
	// of the bound on exposure, and leastLead the least such time: it leaves other
	// nodes time to write the status if the store refuses the first.
	completeBefore = 0.35
	leastLead      = 1200 * time.Millisecond
	// stageWidth is how long each later stage lasts, as a part of the bound.
	stageWidth = 0.15
	// leastCanary is the least share of the canary as a part of the bound.
	leastCanary = 0.2
)

// promotion lists the shares of the later stages. A tenth stays with the old
// version until the end, as answers of one version alone are no evidence.
var promotion = []float64{0.25, 0.5, 0.9}

// newSchedule plans a roll-out under a bound on the share of requests that a bad
// version may get. A version that turns bad under full load shows it late, so
// the shares are such that the bound holds even if nobody finds it: the canary,
// which lasts longest and finds nearly all bad versions, gets what the later
// stages leave.
func newSchedule(exposure float64, duration time.Duration) schedule {
	if exposure <= 0 {
		exposure = usualExposure
	}
	s := schedule{completeFrom: 1 - completeBefore*exposure}
	if duration > 0 {
		s.completeFrom = min(s.completeFrom, 1-float64(leastLead)/float64(duration))
	}
	width := stageWidth * exposure
	from, left := s.completeFrom-width*float64(len(promotion)), exposure-(1-s.completeFrom)
	for i, share := range promotion {
		s.stages = append(s.stages, stage{from + width*float64(i), share})
		left -= share * width
	}
	s.canary = min(max(left/max(from, 0.5), leastCanary*exposure), canaryMost)
	return s
}

// share returns the share of sessions at a part of the roll-out's time.
func (s schedule) share(elapsed float64) float64 {
	share := s.canary
	for _, x := range s.stages {
		if elapsed >= x.from {
			share = x.share
		}
	}
	return share
}
