package admission

import (
	"math"
	"time"
)

const (
	// pressureTime is over how long the share of late work is taken.
	pressureTime = 5 * time.Second
	// maxSample bounds what one request tells.
	maxSample = 0.1
	// lasting is the share of late work from which an overload lasts, over the
	// share below which it has ended.
	lasting = 0.5
	over    = 0.15
)

// pressure is the decaying share of requests that found too long a queue.
type pressure struct {
	share float64
	last  time.Time
	lasts bool
}

// observe takes one request and tells whether the overload lasts.
func (p *pressure) observe(now time.Time, late bool) bool {
	weight := maxSample
	if !p.last.IsZero() {
		weight = min(1-math.Exp(-float64(now.Sub(p.last))/float64(pressureTime)), maxSample)
	}
	p.last = now
	p.share *= 1 - weight
	if late {
		p.share += weight
	}
	switch {
	case p.share > lasting:
		p.lasts = true
	case p.share < over:
		p.lasts = false
	}
	return p.lasts
}
