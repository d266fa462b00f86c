package forward

import (
	"net/http"
	"sync"
	"time"
)

const (
	// stoppingRetryAfter is when callers that a stopping node refuses may return: other
	// nodes serve them at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// stopMargin is added to the time that requests of a route take.
	stopMargin = 100 * time.Millisecond
	// durationRise and durationFall are the parts by which one request moves the expected
	// duration of its route up and down: it stays near that of the longest requests.
	durationRise = 0.5
	durationFall = 0.02
	// maxDurations bounds the routes that are kept. Routes come and go with
	// configurations.
	maxDurations = 10_000
)

// stoppingRefusal is the answer to requests that could not end before the node does.
var stoppingRefusal = refusal{status: http.StatusServiceUnavailable, reason: "node is stopping", retryAfter: stoppingRetryAfter}

// durations tracks how long requests of each route take. It is safe for concurrent use.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration // guarded by mu
}

// observe records the duration of a served request.
func (d *durations) observe(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, isKnown := d.byRoute[route]
	switch {
	case !isKnown:
		if d.byRoute == nil || len(d.byRoute) >= maxDurations {
			d.byRoute = map[string]time.Duration{}
		}
		d.byRoute[route] = took
	case took > old:
		d.byRoute[route] = old + time.Duration(durationRise*float64(took-old))
	default:
		d.byRoute[route] = old - time.Duration(durationFall*float64(old-took))
	}
}

// expected returns how long a request of a route may take, and whether that is known.
func (d *durations) expected(route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	took, ok := d.byRoute[route]
	return took, ok
}

// canEnd reports whether a request is likely to end before a stopping node does.
func (f *Forwarder) canEnd(q *Request, end, now time.Time) bool {
	if !q.Deadline.After(end) {
		return true
	}
	expected, isKnown := f.durations.expected(q.Route.Name)
	if !isKnown {
		expected = q.Route.Target
	}
	return !now.Add(expected + stopMargin).After(end)
}

// Interrupt ends the requests in progress with a final answer, as the process has to end.
// Streams that have begun are broken off.
func (f *Forwarder) Interrupt() { f.interrupt() }
