package pool

import "time"

// backlogWait is the wait from which an engine has a backlog: a long prompt is
// being read there. Short prompts are read in a few tens of milliseconds.
const backlogWait = 100 * time.Millisecond

// BackloggedShare returns the share of the usable servers of a service, from 0 to
// 1, at which a new prompt would wait for others.
func (p *Pool) BackloggedShare(service string, now time.Time) float64 {
	backlogged, n := 0, 0
	for _, m := range p.Members(service) {
		if !m.IsUsable(now) {
			continue
		}
		n++
		if m.Wait(now) >= backlogWait {
			backlogged++
		}
	}
	return float64(backlogged) / float64(max(n, 1))
}
