package dispatch

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// recordPartCrash records a crash during a request that is known by its parts.
func recordPartCrash(s *Suspects, parts []Part, replica string, now time.Time) []wire.Suspect {
	return s.RecordPartCrash(partSet(parts), parts, replica, now)
}

// partsOf returns the parts with the given IDs.
func partsOf(ids ...string) []Part {
	var list []Part
	for _, id := range ids {
		list = append(list, NewPart(id))
	}
	return list
}

// quarantinedIDs returns the IDs of the quarantined parts.
func quarantinedIDs(s *Suspects, now time.Time) []string {
	ids := []string{}
	for _, e := range s.Quarantined(now) {
		if e.Part != "" {
			ids = append(ids, e.Part)
		}
	}
	return ids
}

// Guards against a prompt part that crashes one replica after the other because
// no two requests that carry it are alike.
func TestCrashingPartIsQuarantined(t *testing.T) {
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	for i := range momentsToQuarantine {
		_, found := s.QuarantinedPart(partsOf("crashing"), now)
		is.True(!found)
		recordPartCrash(s, partsOf("shared", "crashing", fmt.Sprint("subject", i)), fmt.Sprint("r", i), now)
		now = now.Add(time.Second)
		s.RecordSurvival(partsOf("shared", "other"), now)
	}
	is.Equal(quarantinedIDs(s, now), []string{"crashing"})
	e, found := s.QuarantinedPart(partsOf("shared", "crashing"), now)
	is.True(found)
	is.Equal(e.Part, "crashing")
	_, found = s.QuarantinedPart(partsOf("shared", "subject0"), now)
	is.True(!found)
	news := recordPartCrash(s, partsOf("crashing", "subject7"), "r9", now)
	is.Equal(len(news), 1)
	is.Equal(news[0].Part, "crashing") // the quarantined part explains the crash
	is.Equal(s.suspectedParts.Load(), int64(1))
	_, found = s.QuarantinedPart(partsOf("crashing"), now.Add(partQuarantineTTL))
	is.True(!found)
}

// Guards against quarantining the sound parts of a request that crashed a
// replica at each of its attempts.
func TestOneRequestDoesNotImplicateAllItsParts(t *testing.T) {
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	for i := range momentsToQuarantine {
		recordPartCrash(s, partsOf("crashing", "rare"), fmt.Sprint("r", i), now)
		now = now.Add(time.Second)
	}
	is.Equal(quarantinedIDs(s, now), []string{})
	recordPartCrash(s, partsOf("crashing", "other"), "r9", now)
	is.Equal(quarantinedIDs(s, now), []string{"crashing"})
	now = now.Add(time.Second)
	recordPartCrash(s, partsOf("rare"), "r10", now) // its earlier crashes are explained
	is.Equal(quarantinedIDs(s, now), []string{"crashing"})
}

// Guards against quarantining the only part of a request that crashed a replica
// at each of its attempts, maybe by its last part.
func TestOneRequestDoesNotImplicateItsOnlyPart(t *testing.T) {
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	for i := range momentsToQuarantine {
		recordPartCrash(s, partsOf("p"), fmt.Sprint("r", i), now.Add(time.Duration(i)*time.Second))
	}
	is.Equal(quarantinedIDs(s, now), []string{})
}

// Guards against quarantining a part that was in use by chance when one replica
// after the other died.
func TestCrashesWithoutPartMakeItLessSuspect(t *testing.T) {
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	for i := range 4 * momentsIfAmbiguous {
		now = now.Add(momentGap)
		var parts []Part
		if i%4 == 0 {
			parts = partsOf("p", fmt.Sprint("subject", i))
		}
		recordPartCrash(s, parts, fmt.Sprint("r", i), now)
	}
	is.Equal(quarantinedIDs(s, now), []string{})
}

// Guards against a lasting quarantine of a part that was in use at the first
// crashes only by chance.
func TestVerdictOnAnotherPartAcquits(t *testing.T) {
	is := is.New(t)
	a, b, now := NewSuspects(), NewSuspects(), time.Now()
	for i := range 2 * momentsIfAmbiguous {
		parts := partsOf("crashing", fmt.Sprint("subject", i))
		if i < momentsIfAmbiguous {
			parts = partsOf("crashing", "chance")
		}
		b.Merge(now, recordPartCrash(a, parts, fmt.Sprint("r", i), now))
		if i == momentsIfAmbiguous-1 {
			is.Equal(quarantinedIDs(a, now), []string{"chance"})
			is.Equal(quarantinedIDs(b, now), []string{"chance"})
		}
		now = now.Add(time.Second)
	}
	is.Equal(quarantinedIDs(a, now), []string{"crashing"})
	is.Equal(quarantinedIDs(b, now), []string{"crashing"})
}

// Guards against quarantining a part that all requests share when no replica
// runs for long enough to clear it.
func TestClearedPartNeedsMoreCrashes(t *testing.T) {
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	crash := func(i int) {
		recordPartCrash(s, partsOf("shared", fmt.Sprint("subject", i)), fmt.Sprint("r", i), now)
		now = now.Add(time.Second)
	}
	for i := range maxSurvivalCredit {
		crash(i)
		s.RecordSurvival(partsOf("shared"), now)
	}
	now = now.Add(backgroundWindow)
	for i := range maxSurvivalCredit {
		crash(i)
	}
	is.Equal(quarantinedIDs(s, now), []string{})
	for i := range momentsToQuarantine {
		crash(maxSurvivalCredit + i)
	}
	is.Equal(quarantinedIDs(s, now), []string{"shared"})
}

// Guards against quarantining the parts in use on a replica that crashes again
// and again, shortly after each start.
func TestFlappingReplicaImplicatesNothing(t *testing.T) {
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	for i := range 100 {
		recordPartCrash(s, partsOf("p", fmt.Sprint("subject", i)), "r", now)
		now = now.Add(time.Second)
	}
	is.Equal(quarantinedIDs(s, now), []string{})
}

// Guards against blaming a sound part for the crash of a replica that another
// node's request with a quarantined part caused.
func TestQuarantinedPartExplainsCrashesOfOtherNodes(t *testing.T) {
	is := is.New(t)
	a, b, now := NewSuspects(), NewSuspects(), time.Now()
	for i := range momentsIfAmbiguous {
		recordPartCrash(a, partsOf("crashing"), fmt.Sprint("r", i), now)
		now = now.Add(time.Second)
	}
	b.Merge(now, a.Quarantined(now))
	for i := range 2 * momentsIfAmbiguous {
		recordPartCrash(b, partsOf("sound", fmt.Sprint("s", i)), fmt.Sprint("x", i), now)
		b.Merge(now.Add(100*time.Millisecond), recordPartCrash(a, partsOf("crashing"), fmt.Sprint("x", i), now))
		now = now.Add(time.Second)
	}
	is.Equal(quarantinedIDs(b, now), []string{"crashing"})
	is.Equal(b.suspectedParts.Load(), int64(1))
}

// Guards against never quarantining any of two parts that always come together.
func TestInseparablePartsAreQuarantined(t *testing.T) {
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	for i := range momentsIfAmbiguous {
		recordPartCrash(s, partsOf("a", "b"), fmt.Sprint("r", i), now)
		now = now.Add(time.Second)
	}
	is.Equal(quarantinedIDs(s, now), []string{"b"})
}

// Guards against quarantining parts when many replicas lose power at once, also
// if the reports of it arrive one after the other.
func TestSimultaneousCrashesQuarantineNothing(t *testing.T) {
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	for i := range 50 {
		recordPartCrash(s, partsOf("a"), fmt.Sprint("r", i), now.Add(time.Duration(i)*4*time.Millisecond))
	}
	is.Equal(quarantinedIDs(s, now), []string{})
	s = NewSuspects()
	for i := range 10 {
		other := NewSuspects()
		s.Merge(now.Add(time.Duration(i)*time.Second), recordPartCrash(other, partsOf("a"), fmt.Sprint("r", i), now))
	}
	is.Equal(quarantinedIDs(s, now), []string{})
}

// Guards against quarantining a sound part because replicas keep dying of other
// causes while it is in use.
func TestSurvivalClearsPart(t *testing.T) {
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	for i := range 100 {
		recordPartCrash(s, partsOf("popular"), fmt.Sprint("r", i), now)
		now = now.Add(time.Second)
		if i%2 == 1 {
			is.Equal(len(s.RecordSurvival(partsOf("popular"), now)), 1)
			is.Equal(len(s.RecordSurvival(partsOf("popular"), now)), 0)
		}
	}
	is.Equal(quarantinedIDs(s, now), []string{})
	is.Equal(s.suspectedParts.Load(), int64(0))
}

// Guards against counting one crash several times when messages are repeated,
// and against losing crashes that other nodes saw by clocks of their own.
func TestPartCrashesOfOtherNodes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	nodes := []*Suspects{NewSuspects(), NewSuspects(), NewSuspects(), NewSuspects()}
	skew := []time.Duration{0, 7 * time.Second, -5 * time.Second, 0}
	for i := range 3 {
		at := now.Add(time.Duration(i) * time.Second)
		list := recordPartCrash(nodes[i], partsOf("crashing", fmt.Sprint("s", i)), fmt.Sprint("r", i), at.Add(skew[i]))
		for range 3 {
			for j, n := range nodes[:3] {
				n.Merge(at.Add(100*time.Millisecond+skew[j]), list)
			}
		}
		is.Equal(len(quarantinedIDs(nodes[0], at)) == 1, i == 2)
	}
	for _, n := range nodes[:3] {
		is.Equal(quarantinedIDs(n, now), []string{"crashing"})
	}
	// A node that starts late gets all records.
	list, _ := nodes[1].SnapshotIfChanged(now)
	nodes[3].Merge(now.Add(3*time.Second), list)
	is.Equal(quarantinedIDs(nodes[3], now), []string{"crashing"})
}

// Guards against a quarantine that nodes which start later never learn of, because
// it was reached while merging crashes of several nodes.
func TestVerdictsOfMergesArePublished(t *testing.T) {
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	for i := range momentsToQuarantine {
		now = now.Add(time.Second)
		other := NewSuspects()
		s.Merge(now, recordPartCrash(other, partsOf("crashing", fmt.Sprint("s", i)), fmt.Sprint("r", i), now))
	}
	late, news := NewSuspects(), s.TakeVerdicts()
	is.Equal(len(news), 1)
	late.Merge(now, news)
	is.Equal(quarantinedIDs(late, now), []string{"crashing"})
	is.Equal(len(s.TakeVerdicts()), 0)
}

// Guards against outdated records that restore a suspicion or a quarantine
// after a proof of innocence.
func TestPartGenerationsWin(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, b := NewSuspects(), NewSuspects()
	for i := range momentsIfAmbiguous {
		at := now.Add(time.Duration(i) * time.Second)
		b.Merge(at, recordPartCrash(a, partsOf("p"), fmt.Sprint("r", i), at))
	}
	outdated := b.Quarantined(now)
	is.Equal(len(outdated), 1)
	cleared := a.RecordSurvival(partsOf("p"), now)
	b.Merge(now, cleared)
	b.Merge(now, outdated)
	is.Equal(quarantinedIDs(b, now), []string{})
	is.Equal(b.quarantinedParts.Load(), int64(0))
	again := recordPartCrash(b, partsOf("p"), "r9", now)
	a.Merge(now, again)
	is.Equal(a.suspectedParts.Load(), int64(1))
}

// Guards against a quarantine that comes back from another node after an
// operator lifted it.
func TestLiftedQuarantineStaysLifted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, b := NewSuspects(), NewSuspects()
	a.RecordCrash(1, "x", now)
	a.RecordCrash(1, "y", now)
	for i := range momentsIfAmbiguous {
		recordPartCrash(a, partsOf("p"), fmt.Sprint("r", i), now.Add(time.Duration(i)*time.Second))
	}
	convictions := a.Quarantined(now)
	is.Equal(len(convictions), 2)
	for _, e := range convictions {
		b.Quarantine(e, now)
		lifted, found := b.Lift(e.Fingerprint, now)
		is.True(found)
		a.Merge(now, []wire.Suspect{lifted})
		b.Merge(now, []wire.Suspect{e})
	}
	is.Equal(len(a.Quarantined(now)), 0)
	is.Equal(len(b.Quarantined(now)), 0)
	_, found := b.Lift(1, now)
	is.True(!found)
	b.RecordCrash(1, "x", now)
	a.Merge(now, []wire.Suspect{b.RecordCrash(1, "y", now)})
	is.True(a.IsQuarantined(1, now)) // it crashed two more replicas
}

// Guards against quarantining a part because nodes of a previous release, which
// do not know of parts, count its crashes as those of a request.
func TestPartRecordsFromPreviousRelease(t *testing.T) {
	type oldSuspect struct {
		Fingerprint, Generation uint64
		Lost                    []wire.Crash
		Convicted               bool
		Until                   time.Time
	}
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	list := recordPartCrash(s, partsOf("p"), "r", now)
	var buffer bytes.Buffer
	is.NoErr(gob.NewEncoder(&buffer).Encode(list))
	var old []oldSuspect
	is.NoErr(gob.NewDecoder(&buffer).Decode(&old))
	old[0].Convicted = true
	is.NoErr(gob.NewEncoder(&buffer).Encode(old))
	var echo []wire.Suspect
	is.NoErr(gob.NewDecoder(&buffer).Decode(&echo))
	s.Merge(now, echo)
	is.Equal(len(s.Quarantined(now)), 0)
	_, found := s.QuarantinedPart(partsOf("p"), now)
	is.True(!found)
}

// Guards against unbounded memory, and against evicting a quarantine for it.
func TestPartRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	s, now := NewSuspects(), time.Now()
	for i := range momentsIfAmbiguous {
		recordPartCrash(s, partsOf("crashing"), fmt.Sprint("r", i), now.Add(time.Duration(i)*time.Second))
	}
	for i := range 3 * maxParts {
		recordPartCrash(s, partsOf(fmt.Sprint("p", i)), fmt.Sprint("r", i), now.Add(time.Duration(i)*time.Millisecond))
	}
	is.True(len(s.parts.byKey) <= maxParts)
	is.Equal(quarantinedIDs(s, now), []string{"crashing"})
	is.Equal(s.suspectedParts.Load(), int64(len(s.parts.byKey)))
	_, _ = s.SnapshotIfChanged(now.Add(partQuarantineTTL + time.Hour))
	is.Equal(len(s.parts.byKey), 0)
	is.Equal(s.suspectedParts.Load(), int64(0))
}
