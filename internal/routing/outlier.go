package routing

import "time"

const (
	// failuresToEject is the number of successive failures that eject a backend
	// server.
	failuresToEject = 2
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// trialTimeout is how long the first request after an ejection may take
	// before the backend server gets another one.
	trialTimeout = 5 * time.Second
)

// Outlier tracks the failures of one backend server. Several in a row eject it
// for a time that doubles with each further failure. After an ejection it gets
// one request at a time until one succeeds.
type Outlier struct {
	failures     int
	lastFailure  time.Time
	ejectedUntil time.Time
}

// RecordFailure records the failure of a request that began at the given time. draw is a
// random number from 0 to 1 that spreads the end of ejections. Concurrent
// requests that fail together count as one failure.
func (o *Outlier) RecordFailure(now, began time.Time, draw float64) {
	if began.Before(o.lastFailure) {
		return
	}
	o.lastFailure = now
	o.failures++
	if o.failures < failuresToEject {
		return
	}
	longest := min(minEjection<<min(o.failures-failuresToEject, 10), maxEjection)
	o.ejectedUntil = now.Add(longest/2 + time.Duration(draw*float64(longest/2)))
}

// RecordSuccess records a success and ends the ejection. It halves the failure count,
// so that a backend server that fails now and then is ejected for longer.
func (o *Outlier) RecordSuccess() {
	o.failures /= 2
	o.ejectedUntil = time.Time{}
}

// IsHealthy reports whether the failure count is zero.
func (o *Outlier) IsHealthy() bool { return o.failures == 0 }

// IsEjected reports whether the backend server should get no request at the given
// time.
func (o *Outlier) IsEjected(now time.Time) bool { return now.Before(o.ejectedUntil) }

// RecordAttempt records that a request is sent. At failuresToEject failures or
// more, the next request is sent only after this one succeeds or trialTimeout
// has passed.
func (o *Outlier) RecordAttempt(now time.Time) {
	if o.failures >= failuresToEject {
		o.ejectedUntil = now.Add(trialTimeout)
	}
}
