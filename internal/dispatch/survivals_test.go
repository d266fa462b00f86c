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

// Guards against a quarantine that ends because a node has heard of one crash more of
// another part, which always comes together with the one that crashes servers.
func TestInseparablePartsDoNotAcquitEachOther(t *testing.T) {
	is, now := is.New(t), time.Now()
	s, other := NewSuspects(), NewSuspects()
	for i := range momentsIfAmbiguous + 1 {
		at := now.Add(time.Duration(i) * time.Second)
		s.RecordPartCrash(uint64(i), partsOf("crashing"), fmt.Sprint("r", i), at)
		other.RecordPartCrash(uint64(i), partsOf("subject"), fmt.Sprint("r", i), at)
	}
	now = now.Add(10 * time.Second)
	news := other.RecordPartCrash(20, partsOf("subject"), "r20", now)
	s.Merge(now, other.Quarantined(now))
	s.Merge(now, news)
	_, isQuarantined := s.QuarantinedPart(partsOf("crashing"), now)
	is.True(isQuarantined)
}
