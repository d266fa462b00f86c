package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that share a part with ones that crash replicas, and wait as long as
// these: nothing would show that the shared part is sound.
func TestRequestsThatHaveNotCrashedReplicasAreTriedFirst(t *testing.T) {
	is, s, now := is.New(t), NewSuspects(), time.Now()
	for i := range 4 {
		s.RecordPartCrash(uint64(i), partsOf("shared", "crashing"), "r", now.Add(time.Duration(i)*3*time.Second))
	}
	last := now.Add(9 * time.Second)
	suspected, next := s.SuspectedParts(partsOf("shared", "sound"))
	is.Equal(len(suspected), 1)
	is.Equal(next, last.Add(TrialInterval))
	_, next = s.SuspectedParts(partsOf("shared", "crashing"))
	is.True(!next.Before(last.Add(maxTrialInterval)) && !next.After(last.Add(2*maxTrialInterval)))

	// The shared part is cleared, and the combination still waits as long.
	s.RecordSurvival(partsOf("shared", "sound"), last)
	s.RecordPartCrash(9, partsOf("shared", "crashing"), "r", last.Add(3*time.Second))
	last = last.Add(3 * time.Second)
	_, next = s.SuspectedParts(partsOf("shared", "crashing"))
	is.True(!next.Before(last.Add(maxTrialInterval)) && !next.After(last.Add(2*maxTrialInterval)))

	var trials Trials
	end, wait := trials.Begin(s, partsOf("shared", "sound"), last.Add(TrialInterval))
	is.Equal(wait, time.Duration(0))
	_, wait = trials.Begin(s, partsOf("shared", "crashing"), last.Add(2*maxTrialInterval))
	is.Equal(wait, trialPollInterval) // one after the other
	end()
	_, wait = trials.Begin(s, partsOf("shared", "crashing"), last.Add(2*maxTrialInterval))
	is.Equal(wait, time.Duration(0))
}

// Guards against blaming a part that happened to be starting each time a replica crashed, where
// replicas crash at the starts of other requests as well.
func TestReplicasThatCrashAtOtherStartsImplicateNoPart(t *testing.T) {
	is, s, now := is.New(t), NewSuspects(), time.Now()
	for i := range uint64(12) {
		now = now.Add(3 * time.Second)
		s.RecordPartCrash(2*i, partsOf("other"), "r", now)
		now = now.Add(3 * time.Second)
		s.RecordPartCrash(2*i+1, partsOf("sound"), "r", now)
	}
	is.Equal(quarantinedIDs(s, now), []string{})
}

// Guards against sound parts that were starting at the same crashes as a deadly one, and are
// tried at the same moments again and again.
func TestPartsOfTheSameCrashesAreNotTriedAtTheSameMoment(t *testing.T) {
	is, now, apart := is.New(t), time.Unix(1_700_000_000, 0), 0
	for range 20 {
		s := NewSuspects()
		for i := range uint64(3) {
			now = now.Add(4 * time.Second)
			s.RecordPartCrash(i, partsOf("shared", "sound"), "r", now)
			s.RecordPartCrash(i+100, partsOf("shared", "crashing"), "r", now.Add(time.Millisecond))
		}
		_, sound := s.SuspectedParts(partsOf("shared", "sound"))
		_, crashing := s.SuspectedParts(partsOf("shared", "crashing"))
		if sound.Sub(crashing).Abs() > time.Second {
			apart++
		}
	}
	is.True(apart >= 10)
}
