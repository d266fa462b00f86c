package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A backend server that always fails gets a limited number of requests. One
// that recovers is used again at once. A single failure does not eject.
func TestOutlierIsEjectedAndReturns(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var o Outlier
	o.RecordFailure(now, now, 0.5)
	is.True(!o.IsEjected(now)) // one failure
	sent := 0
	for end := now.Add(10 * time.Minute); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if !o.IsEjected(now) {
			sent++
			o.RecordAttempt(now)
			o.RecordFailure(now, now, 0.5)
		}
	}
	is.True(sent <= 25) // about one a minute at the end
	for o.IsEjected(now) {
		now = now.Add(time.Second)
	}
	o.RecordAttempt(now)
	is.True(o.IsEjected(now)) // one request at a time
	o.RecordSuccess()
	is.True(!o.IsEjected(now)) // no longer ejected
}

// Requests that fail together, as when a backend server restarts, count as one
// failure.
func TestOutlierCountsABurstOnce(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1_800_000_000, 0)
	var o Outlier
	for i := range 16 {
		o.RecordFailure(began.Add(time.Second+time.Duration(i)*time.Millisecond), began, 0.5)
	}
	is.True(!o.IsEjected(began.Add(2 * time.Second)))
}
