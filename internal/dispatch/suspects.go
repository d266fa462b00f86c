package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Bounds of what is remembered of requests that ran where a replica died.
const (
	// crashesToConvict is how many replicas a request may bring down.
	crashesToConvict = 2
	// sameCrash is how long after a replica died another report of it counts
	// as the same crash.
	sameCrash = 5 * time.Second
	// suspicionKept and convictionKept are how long records last.
	suspicionKept  = 10 * time.Minute
	convictionKept = 24 * time.Hour
	maxSuspects    = 512
)

// Suspects remembers the requests that ran on a replica when it died, by
// fingerprint. The nodes merge what they know. It is safe for concurrent use.
// Lock order: a replica's lock before that of Suspects.
type Suspects struct {
	convictAt int // replicas that a request may bring down

	mu      sync.Mutex
	entries map[uint64]wire.Suspect // guarded by mu
	changed bool                    // guarded by mu
}

// NewSuspects returns an empty record.
func NewSuspects() *Suspects { return NewSuspectsAfter(crashesToConvict) }

// NewSuspectsAfter returns an empty record that convicts a request after the
// given number of crashes.
func NewSuspectsAfter(crashes int) *Suspects {
	return &Suspects{convictAt: crashes, entries: map[uint64]wire.Suspect{}}
}

// Crashed notes that a replica died while the request ran on it, and returns
// the record.
func (s *Suspects) Crashed(fingerprint uint64, replica string, now time.Time) wire.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[fingerprint]
	e.Fingerprint = fingerprint
	e.Lost = addCrash(slices.Clone(e.Lost), wire.Crash{Replica: replica, At: now})
	return s.put(e, now)
}

// put keeps a record. The caller holds mu.
func (s *Suspects) put(e wire.Suspect, now time.Time) wire.Suspect {
	e.Convicted = e.Convicted || len(e.Lost) >= s.convictAt
	e.Until = now.Add(suspicionKept)
	if e.Convicted {
		e.Until = now.Add(convictionKept)
	}
	s.entries[e.Fingerprint] = e
	s.changed = true
	s.bound()
	return e
}

// bound forgets the records that lapse first. The caller holds mu.
func (s *Suspects) bound() {
	if len(s.entries) <= maxSuspects {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(s.entries)), func(a, b wire.Suspect) int { return a.Until.Compare(b.Until) })
	delete(s.entries, oldest.Fingerprint)
}

// addCrash adds a crash unless it is listed already.
func addCrash(list []wire.Crash, c wire.Crash) []wire.Crash {
	for _, known := range list {
		if known.Replica == c.Replica && c.At.Sub(known.At).Abs() < sameCrash {
			return list
		}
	}
	return append(list, c)
}

// Cleared ends a suspicion after the request ran to its end; a conviction
// stands.
func (s *Suspects) Cleared(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[fingerprint]
	if !known || e.Convicted || len(e.Lost) == 0 {
		return false
	}
	e.Generation++
	e.Lost = nil
	s.put(e, now)
	return true
}

// Merge takes what other nodes know: the higher generation, and of equal ones
// all crashes.
func (s *Suspects) Merge(now time.Time, list []wire.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range list {
		if e.Until.After(now) {
			s.mergeOne(e, now)
		}
	}
}

func (s *Suspects) mergeOne(e wire.Suspect, now time.Time) {
	old, known := s.entries[e.Fingerprint]
	switch {
	case !known || (e.Generation > old.Generation && !old.Convicted):
		s.entries[e.Fingerprint] = e
		s.changed = true
		s.bound()
	case e.Convicted && !old.Convicted:
		old.Convicted = true
		s.put(old, now)
	case e.Generation == old.Generation:
		crashes := slices.Clone(old.Lost)
		for _, c := range e.Lost {
			crashes = addCrash(crashes, c)
		}
		if len(crashes) > len(old.Lost) {
			old.Lost = crashes
			s.put(old, now)
		}
	}
}

// Record returns what is known of a request.
func (s *Suspects) Record(fingerprint uint64) (wire.Suspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[fingerprint]
	return e, ok
}

// Suspected tells whether a request may have brought a replica down.
func (s *Suspects) Suspected(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[fingerprint]
	return len(e.Lost) > 0 && e.Until.After(now)
}

// Convicted tells whether a request is refused.
func (s *Suspects) Convicted(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[fingerprint]
	return e.Convicted && e.Until.After(now)
}

// Changed returns all records if any has changed since the last call, and
// forgets those that have lapsed.
func (s *Suspects) Changed(now time.Time) ([]wire.Suspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fingerprint, e := range s.entries {
		if !e.Until.After(now) {
			delete(s.entries, fingerprint)
			s.changed = true
		}
	}
	if !s.changed {
		return nil, false
	}
	s.changed = false
	list := slices.Collect(maps.Values(s.entries))
	slices.SortFunc(list, func(a, b wire.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list, true
}
