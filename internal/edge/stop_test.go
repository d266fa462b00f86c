package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stopping node takes callers that keep to the directory's time to live, and
// leaves most of its time to the requests that it has taken: a stream of five
// seconds that is the last to be taken ends before it is cut.
func TestStopLeavesTimeForTheLastStream(t *testing.T) {
	is := is.New(t)
	const stop, stream = 8 * time.Second, 4900 * time.Millisecond
	is.True(acceptTime(stop) >= directoryTTL)
	is.True(acceptTime(stop)+stream <= time.Duration(finishShare*float64(stop)))
	is.Equal(acceptTime(2*time.Second), 800*time.Millisecond) // a short stop is shared out
}
