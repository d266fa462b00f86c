package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stopping node accepts callers for as long as directory answers are valid, and must
// leave the last accepted request enough time: a stream of five seconds ends before it
// is cut off.
func TestStopLeavesTimeForTheLastStream(t *testing.T) {
	is := is.New(t)
	const stop, stream = 8 * time.Second, 4900 * time.Millisecond
	is.True(acceptTime(stop) >= directoryTTL)
	is.True(acceptTime(stop)+stream <= time.Duration(finishRatio*float64(stop)))
	is.Equal(acceptTime(2*time.Second), 800*time.Millisecond) // a short stop time is divided
}
