package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Limits on the record of requests that were running when a replica crashed.
const (
	// crashesToQuarantine is the number of crashes after which a request is
	// quarantined.
	crashesToQuarantine = 2
	// sameCrashWindow is the time in which further reports of a replica's crash
	// count as the same crash.
	sameCrashWindow = 5 * time.Second
	// suspicionTTL and quarantineTTL are the lifetimes of the records.
	suspicionTTL  = 10 * time.Minute
	quarantineTTL = 24 * time.Hour
	// maxSuspects bounds the number of records.
	maxSuspects = 512
)

// Suspects records the requests that were running on a replica when it crashed,
// by fingerprint, and the prompt parts that were starting on it. Nodes merge
// their records. It is safe for concurrent use.
// Lock order: a replica's lock before that of Suspects.
type Suspects struct {
	quarantineAt int // crashes after which a request is quarantined
	partRule     PartRule

	mu         sync.Mutex
	entries    map[uint64]wire.Suspect // guarded by mu
	hasChanged bool                    // guarded by mu
	parts      partRecords             // guarded by mu
	// suspectedParts and quarantinedParts are the numbers of suspected (or
	// quarantined) and of quarantined prompt parts.
	suspectedParts, quarantinedParts atomic.Int64
}

// NewSuspects returns an empty record that quarantines a request after
// crashesToQuarantine crashes.
func NewSuspects() *Suspects { return NewSuspectsWithLimit(crashesToQuarantine) }

// NewSuspectsWithLimit returns an empty record that quarantines a request after the
// given number of crashes.
func NewSuspectsWithLimit(crashes int) *Suspects {
	return NewSuspectsWithRule(crashes, DefaultPartRule)
}

// NewSuspectsWithRule returns an empty record with the given rules for requests and
// for prompt parts.
func NewSuspectsWithRule(crashes int, rule PartRule) *Suspects {
	return &Suspects{quarantineAt: crashes, partRule: rule, entries: map[uint64]wire.Suspect{}, parts: newPartRecords()}
}

// RecordCrash records that a replica crashed while the request was running on it,
// and returns the updated record.
func (s *Suspects) RecordCrash(fingerprint uint64, replica string, now time.Time) wire.Suspect {
	return s.RecordCrashWhile(fingerprint, replica, 0, now)
}

// RecordCrashWhile is RecordCrash for a replica that had run the request for some time.
func (s *Suspects) RecordCrashWhile(fingerprint uint64, replica string, running time.Duration, now time.Time) wire.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[fingerprint]
	e.Fingerprint = fingerprint
	e.Lost = addCrash(slices.Clone(e.Lost), wire.Crash{Replica: replica, At: now, Running: running})
	return s.store(e, now)
}

// store quarantines a request that reached the limit of crashes, sets the
// expiry of its record and stores the record. The caller holds mu.
func (s *Suspects) store(e wire.Suspect, now time.Time) wire.Suspect {
	e.Convicted = e.Convicted || len(e.Lost) >= s.quarantineAt
	e.Until = now.Add(suspicionTTL)
	if e.Convicted {
		e.Until = now.Add(quarantineTTL)
	}
	s.entries[e.Fingerprint] = e
	s.hasChanged = true
	s.evictOldest()
	return e
}

// evictOldest removes the record that expires first if there are more than
// maxSuspects. The caller holds mu.
func (s *Suspects) evictOldest() {
	if len(s.entries) <= maxSuspects {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(s.entries)), func(a, b wire.Suspect) int { return a.Until.Compare(b.Until) })
	delete(s.entries, oldest.Fingerprint)
}

// addCrash appends a crash unless the list already contains it, or one that came while the
// replica already ran the request: requests that are alike may be in progress on replicas that
// end together, which is one event.
func addCrash(list []wire.Crash, c wire.Crash) []wire.Crash {
	for _, listed := range list {
		between := c.At.Sub(listed.At).Abs()
		if listed.Replica == c.Replica && between < sameCrashWindow || between < c.Running {
			return list
		}
	}
	return append(list, c)
}

// ClearCrashes clears the crashes of a request after it ran to completion. A
// quarantine remains. It reports whether the record changed.
func (s *Suspects) ClearCrashes(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, exists := s.entries[fingerprint]
	if !exists || e.Convicted || len(e.Lost) == 0 {
		return false
	}
	e.Generation++
	e.Lost = nil
	s.store(e, now)
	return true
}

// Merge merges the records of other nodes. More lifts of the quarantine win, then
// the higher generation. At equal generations their crashes are merged.
func (s *Suspects) Merge(now time.Time, list []wire.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changedParts []*partRecord
	for _, e := range list {
		switch {
		case !e.Until.After(now):
		case e.Part != "":
			if r, isChanged := s.mergePart(e, now); isChanged {
				changedParts = append(changedParts, r)
			}
		case s.parts.byKey[e.Fingerprint] == nil:
			s.mergeRecord(e, now)
		}
	}
	if len(changedParts) > 0 {
		s.explainMerged(changedParts, now)
		s.convict(changedParts, now)
		s.evictParts(now)
	}
}

// mergeRecord merges one record. The caller holds mu.
func (s *Suspects) mergeRecord(e wire.Suspect, now time.Time) {
	old, exists := s.entries[e.Fingerprint]
	switch {
	case e.Lifts < old.Lifts:
	case !exists || e.Lifts > old.Lifts || (e.Generation > old.Generation && !old.Convicted):
		s.entries[e.Fingerprint] = e
		s.hasChanged = true
		s.evictOldest()
	case e.Convicted && !old.Convicted:
		old.Convicted = true
		s.store(old, now)
	case e.Generation == old.Generation:
		crashes := slices.Clone(old.Lost)
		for _, c := range e.Lost {
			crashes = addCrash(crashes, c)
		}
		if len(crashes) > len(old.Lost) {
			old.Lost = crashes
			s.store(old, now)
		}
	}
}

// Get returns the record of a request.
func (s *Suspects) Get(fingerprint uint64) (wire.Suspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[fingerprint]
	return e, ok
}

// IsSuspect reports whether the request may have crashed a replica.
func (s *Suspects) IsSuspect(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[fingerprint]
	return len(e.Lost) > 0 && e.Until.After(now)
}

// IsQuarantined reports whether the request is quarantined.
func (s *Suspects) IsQuarantined(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[fingerprint]
	return e.Convicted && e.Until.After(now)
}

// SnapshotIfChanged removes expired records. It returns all records if any has changed
// since the last call, and false otherwise.
func (s *Suspects) SnapshotIfChanged(now time.Time) ([]wire.Suspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fingerprint, e := range s.entries {
		if !e.Until.After(now) {
			delete(s.entries, fingerprint)
			s.hasChanged = true
		}
	}
	s.removeExpiredParts(now)
	if !s.hasChanged {
		return nil, false
	}
	s.hasChanged = false
	list := slices.Collect(maps.Values(s.entries))
	for _, r := range s.parts.byKey {
		list = append(list, r.toWire())
	}
	slices.SortFunc(list, func(a, b wire.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list, true
}

// Quarantine restores a quarantine from the store.
func (s *Suspects) Quarantine(r wire.Suspect, now time.Time) {
	r.Convicted = true
	s.Merge(now, []wire.Suspect{r})
}

// Quarantined returns the records of all quarantined requests and prompt parts.
func (s *Suspects) Quarantined(now time.Time) []wire.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []wire.Suspect
	for _, e := range s.entries {
		if e.Convicted && e.Until.After(now) {
			list = append(list, e)
		}
	}
	for _, r := range s.parts.convicted {
		if r.until.After(now) {
			list = append(list, r.toWire())
		}
	}
	slices.SortFunc(list, func(a, b wire.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Lift ends the quarantine of a request or of a prompt part at an operator's
// request. It returns the record to publish, and false if there is no such
// quarantine.
func (s *Suspects) Lift(key uint64, now time.Time) (wire.Suspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.parts.convicted[key]; r != nil {
		r.lifts++
		s.clearPart(r, now.Add(partQuarantineTTL))
		return r.toWire(), true
	}
	e, exists := s.entries[key]
	if !exists || !e.Convicted {
		return wire.Suspect{}, false
	}
	// The record outlives copies of the quarantine at other nodes.
	e = wire.Suspect{Fingerprint: key, Generation: e.Generation + 1, Lifts: e.Lifts + 1, Until: now.Add(quarantineTTL)}
	s.entries[key] = e
	s.hasChanged = true
	return e, true
}
