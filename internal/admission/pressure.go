package admission

import (
	"math"
	"time"
)

const (
	// pressureWindow is the time over which the share of late work is averaged.
	pressureWindow = 5 * time.Second
	// maxSampleWeight bounds the weight of one request.
	maxSampleWeight = 0.1
	// overloadStart is the share of late work above which an overload lasts,
	// overloadEnd the share below which it has ended.
	overloadStart = 0.5
	overloadEnd   = 0.15
)

// pressure is the decaying share of requests whose predicted wait was too long.
type pressure struct {
	share     float64
	updatedAt time.Time
	isLasting bool
}

// observe records one request and reports whether the overload lasts.
func (p *pressure) observe(now time.Time, late bool) bool {
	weight := maxSampleWeight
	if !p.updatedAt.IsZero() {
		weight = min(1-math.Exp(-float64(now.Sub(p.updatedAt))/float64(pressureWindow)), maxSampleWeight)
	}
	p.updatedAt = now
	p.share *= 1 - weight
	if late {
		p.share += weight
	}
	switch {
	case p.share > overloadStart:
		p.isLasting = true
	case p.share < overloadEnd:
		p.isLasting = false
	}
	return p.isLasting
}
