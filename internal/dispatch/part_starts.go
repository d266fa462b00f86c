package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// maxStarts bounds the outcomes of starts that a node remembers.
	maxStarts = 512
	// minContrast is the least number of starts that show whether replicas are sound.
	minContrast = 3
	// crashesWithoutContrast is the number of moments after which replicas that crash again
	// count as crashed by a part if no request without it was started beside.
	crashesWithoutContrast = 10
	// crashingShare is the assumed share of starts at which a part that crashes replicas
	// does so: another request may have crashed the replica before.
	crashingShare = 0.95
	// chanceOfBlame bounds the probability that a sound part is blamed because the
	// replicas happened to crash by themselves at each of its starts.
	chanceOfBlame = 1e-4
)

// startOutcome tells how a replica took the start of a request that this node sent.
type startOutcome struct {
	request uint64
	parts   []uint64 // keys
	at      time.Time
	crash   *partCrash // nil if the replica survived
}

// startLog holds the latest outcomes of this node. It shows how likely a replica crashes at
// the start of a request by itself, which a part that is sound has in common with all others.
type startLog []startOutcome

// add adds an outcome. A survival of a request is added once.
func (l *startLog) add(o startOutcome) {
	if o.crash == nil {
		for i := len(*l) - 1; i >= 0 && o.at.Sub((*l)[i].at) < survivalTTL; i-- {
			if (*l)[i].request == o.request && (*l)[i].crash == nil {
				return
			}
		}
	}
	if len(*l) >= maxStarts {
		*l = slices.Delete(*l, 0, 1)
	}
	*l = append(*l, o)
}

// contrast counts the starts without a part in the time of its crashes.
type contrast struct{ survived, crashed int }

// contrast returns what starts without the part show. Crashes beside a start with the part, or
// with one that is quarantined, are left out, as that part may have caused them.
func (p *partRecords) contrast(r *partRecord) (c contrast) {
	if len(r.crashes) == 0 {
		return c
	}
	since := r.crashes[0].seen.Add(-backgroundWindow)
	for _, o := range p.starts {
		switch {
		case o.at.Before(since) || slices.Contains(o.parts, r.Key):
		case o.crash == nil:
			c.survived++
		case !r.explains(*o.crash) && !p.isExplained(*o.crash):
			c.crashed++
		}
	}
	return c
}

// isExplained reports whether a quarantined part accounts for a crash.
func (p *partRecords) isExplained(c partCrash) bool {
	for _, convicted := range p.convicted {
		if convicted.explains(c) {
			return true
		}
	}
	return false
}

// isSound reports whether replicas survive most starts without the part.
func (c contrast) isSound() bool { return c.survived >= minContrast && c.survived >= c.crashed }

// isFlapping reports whether replicas crash at most starts without the part.
func (c contrast) isFlapping() bool { return c.crashed >= minContrast && c.crashed > 2*c.survived }

// singlesOut reports whether a part can't be sound if each of its starts came with a crash,
// at this many moments.
func (c contrast) singlesOut(moments int) bool {
	if c.survived+c.crashed == 0 {
		return moments >= crashesWithoutContrast
	}
	// Half a crash more than was seen, as few starts don't show that replicas never crash.
	crashesBySelf := (float64(c.crashed) + 0.5) / (float64(c.survived+c.crashed) + 0.5)
	return float64(moments)*math.Log(crashingShare/crashesBySelf) >= -math.Log(chanceOfBlame)
}

// RecordStart records that a replica survived the start of a request that this node sent.
func (s *Suspects) RecordStart(request uint64, parts []Part, now time.Time) {
	if len(parts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts.starts.add(startOutcome{request: request, parts: partKeys(parts), at: now})
}

func partKeys(parts []Part) []uint64 {
	keys := make([]uint64, len(parts))
	for i, p := range parts {
		keys[i] = p.Key
	}
	return keys
}
