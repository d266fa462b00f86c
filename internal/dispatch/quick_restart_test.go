package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a part that crashes the only server of a service for ever, because a
// server that crashes again within three seconds counts as one that fails by itself.
func TestPartThatCrashesAQuickServerIsQuarantined(t *testing.T) {
	is, s, now := is.New(t), NewSuspects(), time.Now()
	for i := range 10 {
		s.RecordPartCrash(uint64(i), partsOf("crashing", fmt.Sprint("subject", i)), "r", now.Add(time.Duration(i)*2*time.Second))
	}
	_, isQuarantined := s.QuarantinedPart(partsOf("crashing"), now.Add(20*time.Second))
	is.True(isQuarantined)
}
