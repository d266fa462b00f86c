package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A backend server that always fails gets a bounded number of requests, one
// that recovers is back at once, one failure alone ejects nobody.
func TestOutlierIsEjectedAndReturns(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var o Outlier
	o.Fail(now, 0.5)
	is.True(!o.Ejected(now)) // one failure
	sent := 0
	now = now.Add(outlierBurst) // what fails within it counts as one
	for end := now.Add(10 * time.Minute); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if !o.Ejected(now) {
			sent++
			o.Try(now)
			o.Fail(now, 0.5)
		}
	}
	is.True(sent <= 20) // about one a minute at last
	for o.Ejected(now) {
		now = now.Add(time.Second)
	}
	o.Try(now)
	is.True(o.Ejected(now)) // one request at a time
	o.Succeed()
	is.True(!o.Ejected(now)) // back
}
