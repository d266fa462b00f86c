package pool

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/permit"
)

// SetWarmups sets how the cold servers of each service are treated.
func (p *Pool) SetWarmups(byService map[string]Warmup) {
	p.rulesMu.Lock()
	defer p.rulesMu.Unlock()
	p.rules.Store(&rules{p.rules.Load().evacuated, byService})
}

// SetEvacuated sets the evacuated data centres. The servers of those that are evacuated no
// more may have gone cold meanwhile, and count as cold for the time of a warm-up.
func (p *Pool) SetEvacuated(dataCentres map[string]bool, now time.Time) {
	p.rulesMu.Lock()
	defer p.rulesMu.Unlock()
	p.mu.RLock() // no server is listed meanwhile
	defer p.mu.RUnlock()
	old := p.rules.Load()
	endEvacuation := func(m *Member) {
		if old.evacuated[m.DataCentre] && !dataCentres[m.DataCentre] {
			m.mu.Lock()
			m.cold.set(ColdByEvacuation, now, now.Add(m.warmup().Time))
			m.mu.Unlock()
		}
	}
	for _, m := range p.members {
		endEvacuation(m)
	}
	for _, d := range p.delisted {
		endEvacuation(d.Member) // it may be listed again
	}
	p.rules.Store(&rules{dataCentres, old.warmups})
}

// CountEvacuated returns the number of evacuated data centres.
func (p *Pool) CountEvacuated() int { return len(p.rules.Load().evacuated) }

// IsEvacuated reports whether all servers of a service that are present are in evacuated
// data centres.
func (p *Pool) IsEvacuated(service string) bool {
	if p.CountEvacuated() == 0 {
		return false
	}
	for _, m := range p.Members(service) {
		if m.IsPresent() && !m.isEvacuated() {
			return false
		}
	}
	return true
}

// CountCold returns the number of cold servers.
func (p *Pool) CountCold(now time.Time) int {
	n := 0
	p.Each(func(m *Member) {
		if m.IsCold(now) {
			n++
		}
	})
	return n
}

// WarmupChange is a server that has turned cold, with the cause, or warm.
type WarmupChange struct {
	*Member
	IsCold bool
	Cause  ColdCause
	Until  time.Time
}

// WarmupChanges returns the servers that have turned cold or warm since the last call.
func (p *Pool) WarmupChanges(now time.Time) []WarmupChange {
	var changes []WarmupChange
	p.Each(func(m *Member) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if isCold := m.warmupRate(now) != permit.NoLimit; isCold != m.cold.wasCold {
			m.cold.wasCold = isCold
			changes = append(changes, WarmupChange{m, isCold, m.cold.cause(now, m.warmup().Time), m.cold.until})
		}
	})
	return changes
}
