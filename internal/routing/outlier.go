package routing

import "time"

const (
	// outlierFailures is how many failures in a row eject a backend server.
	outlierFailures = 2
	// outlierFirst and outlierMost bound the time of an ejection.
	outlierFirst = 2 * time.Second
	outlierMost  = time.Minute
	// trialTime is how long a returning backend server has for its one
	// request before another is tried.
	trialTime = 5 * time.Second
)

// Outlier is the account of one backend server's failures. After some in a row
// it is ejected for a time that doubles with each further one; it returns with
// one request at a time until one succeeds.
type Outlier struct {
	failures int
	failed   time.Time
	until    time.Time
}

// Fail takes the failure of a request that began at the given time; draw is a
// random number from 0 to 1 that spreads the return. Requests that ran side by
// side and break together count as one failure.
func (o *Outlier) Fail(now, began time.Time, draw float64) {
	if began.Before(o.failed) {
		return
	}
	o.failed = now
	o.failures++
	if o.failures < outlierFailures {
		return
	}
	most := min(outlierFirst<<min(o.failures-outlierFailures, 10), outlierMost)
	o.until = now.Add(most/2 + time.Duration(draw*float64(most/2)))
}

// Succeed takes a success. Half of the failures are forgiven, so that a
// backend server that fails now and then is ejected for longer.
func (o *Outlier) Succeed() {
	o.failures /= 2
	o.until = time.Time{}
}

// Healthy tells whether no failure stands.
func (o *Outlier) Healthy() bool { return o.failures == 0 }

// Ejected tells whether the backend server should get no request at now.
func (o *Outlier) Ejected(now time.Time) bool { return now.Before(o.until) }

// Try notes that a request is sent. While failures stand, the next waits until
// this one had its time.
func (o *Outlier) Try(now time.Time) {
	if o.failures >= outlierFailures {
		o.until = now.Add(trialTime)
	}
}
