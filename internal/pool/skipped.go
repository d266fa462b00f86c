package pool

import "time"

// Skipped counts the servers of a service that could not be chosen, by the
// first reason that applied.
type Skipped struct {
	Draining  int `json:"draining,omitempty"`
	Evacuated int `json:"evacuated,omitempty"`
	Version   int `json:"version,omitempty"`
	Tried     int `json:"tried,omitempty"`
	BackedOff int `json:"held,omitempty"`
	Limited   int `json:"limited,omitempty"`
	Cold      int `json:"cold,omitempty"`
	Ejected   int `json:"ejected,omitempty"`
}

// CountSkipped counts the servers of a query's service that could not be
// chosen, for the request log.
func (p *Pool) CountSkipped(q Query, now time.Time) Skipped {
	var counts Skipped
	for _, m := range p.Members(q.Service) {
		switch {
		case !m.IsPresent():
			counts.Draining++
		case m.isEvacuated():
			counts.Evacuated++
		case !q.Versions.allows(m.Version):
			counts.Version++
		case contains(q.Exclude, m):
			counts.Tried++
		case !m.IsAvailable(now):
			counts.BackedOff++
		case !m.IsUsable(now):
			counts.Ejected++
		case m.isHeldOff(now) && m.IsCold(now):
			counts.Cold++
		case m.isHeldOff(now):
			counts.Limited++
		}
	}
	return counts
}

// LoadAge returns the age of the newest load information of the server.
func (m *Member) LoadAge(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.load.At
	if m.remote.at.After(newest) {
		newest = m.remote.at
	}
	return now.Sub(newest)
}
