package pool

import "time"

// PassedOver counts the servers of a service that could not be chosen, by the
// first reason that applied.
type PassedOver struct {
	Draining int `json:"draining,omitempty"`
	Version  int `json:"version,omitempty"`
	Tried    int `json:"tried,omitempty"`
	Held     int `json:"held,omitempty"`
	Ejected  int `json:"ejected,omitempty"`
}

// PassedOver tells which servers a query cannot have, for a log line.
func (p *Pool) PassedOver(q Query, now time.Time) PassedOver {
	var out PassedOver
	for _, m := range p.Members(q.Service) {
		switch {
		case !m.Present():
			out.Draining++
		case !q.Versions.allows(m.Version):
			out.Version++
		case contains(q.Exclude, m):
			out.Tried++
		case !m.Available(now):
			out.Held++
		case !m.Usable(now):
			out.Ejected++
		}
	}
	return out
}

// LoadAge returns how old the newest news of the server's load are.
func (m *Member) LoadAge(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.load.At
	if m.others.at.After(newest) {
		newest = m.others.at
	}
	return now.Sub(newest)
}
