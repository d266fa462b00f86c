package route

import "time"

// maxMixedPause is the longest MaxPause for which long prompts are told from short ones. A
// stream with a longer one bears the time to read any prompt beside it.
const maxMixedPause = time.Second

// ShortestTarget returns the shortest target for pauses and first events of a service's
// streams. It is 0 unless one of them has a MaxPause of at most a second: long prompts
// are told from short ones only then.
func (t *Table) ShortestTarget(service string) time.Duration {
	if t == nil {
		return 0
	}
	return t.shortestTargets[service]
}

// HasShortPauses reports whether a service serves a stream whose MaxPause is set and at most
// a second.
func (t *Table) HasShortPauses(service string) bool { return t.ShortestTarget(service) > 0 }

// shortestTargets returns the shortest targets of the services that have one.
func shortestTargets(routes []Route) map[string]time.Duration {
	shortest, isMixed := map[string]time.Duration{}, map[string]bool{}
	for _, r := range routes {
		if r.Kind != Stream {
			continue
		}
		for _, b := range r.Backends {
			isMixed[b.Service] = isMixed[b.Service] || r.MaxPause > 0 && r.MaxPause <= maxMixedPause
			for _, target := range []time.Duration{r.MaxPause, r.Target} {
				if old, ok := shortest[b.Service]; target > 0 && (!ok || target < old) {
					shortest[b.Service] = target
				}
			}
		}
	}
	for service := range shortest {
		if !isMixed[service] {
			delete(shortest, service)
		}
	}
	return shortest
}
