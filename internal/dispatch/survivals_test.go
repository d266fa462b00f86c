package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against blaming a part that most sound requests share, because a rare part that
// crashes servers always comes together with it.
func TestPartThatServersHaveSurvivedIsNotBlamedForAnother(t *testing.T) {
	is, now := is.New(t), time.Now()
	s := NewSuspects()
	for i := range maxRememberedSurvivals {
		s.RecordSurvival(partsOf("popular"), now.Add(time.Duration(i)*time.Second))
	}
	for i := range momentsIfAmbiguous {
		s.RecordPartCrash(uint64(i), partsOf("crashing", "popular"), fmt.Sprint("r", i), now.Add(time.Duration(10+i)*time.Second))
	}
	now = now.Add(20 * time.Second)
	_, isQuarantined := s.QuarantinedPart(partsOf("crashing"), now)
	is.True(isQuarantined)
	_, isQuarantined = s.QuarantinedPart(partsOf("popular"), now)
	is.True(!isQuarantined)
}
