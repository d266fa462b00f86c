package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Limits on the record of prompt parts that were starting on a replica when it
// crashed.
const (
	// momentsToQuarantine is the number of distinct moments of crashes after
	// which a part is quarantined if no other part explains the same crashes.
	momentsToQuarantine = 3
	// momentsIfAmbiguous is the number if another part does. One request, tried
	// at momentsToQuarantine replicas, must not implicate all of its parts.
	momentsIfAmbiguous = 4
	// momentGap is the least time between distinct moments: replicas that lose
	// power together count once.
	momentGap = 250 * time.Millisecond
	// samePartCrashWindow is the time in which further reports of a replica's
	// crash count as the same crash.
	samePartCrashWindow = time.Second
	// partSuspicionTTL and partQuarantineTTL are the lifetimes of the records.
	partSuspicionTTL  = 10 * time.Minute
	partQuarantineTTL = time.Hour
	// maxParts bounds the number of records, maxPartCrashes that of a record's
	// crashes.
	maxParts       = 4096
	maxPartCrashes = 16
)

// Part identifies a prompt part.
type Part struct {
	Key uint64
	ID  string
}

// NewPart returns the part with the given ID.
func NewPart(id string) Part { return Part{Key: xxhash.Sum64String("part\x00" + id), ID: id} }

// partCrash is a crash with the time at which this node learned of it. Times of
// other nodes' clocks are not comparable.
type partCrash struct {
	wire.Crash
	seen time.Time
	// isExplained means that a quarantined part accounts for the crash.
	isExplained bool
}

// isSameAs reports whether both are reports of one crash.
func (c partCrash) isSameAs(other partCrash) bool {
	return c.Replica == other.Replica && (c.At.Sub(other.At).Abs() < samePartCrashWindow || c.seen.Sub(other.seen).Abs() < samePartCrashWindow)
}

// isSameMomentAs reports whether both crashes may have a common cause.
func (c partCrash) isSameMomentAs(other partCrash) bool {
	return c.seen.Sub(other.seen).Abs() < momentGap || c.At.Sub(other.At).Abs() < momentGap
}

// partRecord is the record of a prompt part.
type partRecord struct {
	Part
	generation, lifts uint64
	crashes           []partCrash
	isConvicted       bool
	isCounted         bool // in Suspects.suspectedParts
	until             time.Time
}

func (r *partRecord) toWire() wire.Suspect {
	e := wire.Suspect{Fingerprint: r.Key, Part: r.ID, Generation: r.generation, Lifts: r.lifts, Convicted: r.isConvicted, Until: r.until}
	for _, c := range r.crashes {
		e.Lost = append(e.Lost, c.Crash)
	}
	return e
}

// moments returns the number of distinct moments of unexplained crashes.
func (r *partRecord) moments() int {
	var counted []partCrash
	for _, c := range r.crashes {
		if !c.isExplained && !slices.ContainsFunc(counted, c.isSameMomentAs) {
			counted = append(counted, c)
		}
	}
	return len(counted)
}

// explains reports whether the part was starting at the crash, too.
func (r *partRecord) explains(c partCrash) bool { return slices.ContainsFunc(r.crashes, c.isSameAs) }

// explainsAllOf reports whether the part was starting at all unexplained crashes
// of the other one.
func (r *partRecord) explainsAllOf(other *partRecord) bool {
	return !slices.ContainsFunc(other.crashes, func(c partCrash) bool { return !c.isExplained && !r.explains(c) })
}

// addCrash adds a crash and reports whether it was new.
func (r *partRecord) addCrash(c partCrash) bool {
	if r.explains(c) || len(r.crashes) >= maxPartCrashes {
		return false
	}
	if len(r.crashes) >= maxPartCrashes/2 && slices.ContainsFunc(r.crashes, c.isSameMomentAs) {
		return false
	}
	r.crashes = append(r.crashes, c)
	return true
}

// partRecords holds the records of prompt parts.
type partRecords struct {
	byKey     map[uint64]*partRecord
	convicted map[uint64]*partRecord
}

func newPartRecords() partRecords {
	return partRecords{byKey: map[uint64]*partRecord{}, convicted: map[uint64]*partRecord{}}
}

// RecordPartCrash records that a replica crashed while a request with these
// parts was starting on it. It returns the changed records.
func (s *Suspects) RecordPartCrash(parts []Part, replica string, now time.Time) []wire.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	crash := partCrash{Crash: wire.Crash{Replica: replica, At: now}, seen: now}
	for _, p := range parts {
		if r := s.parts.convicted[p.Key]; r != nil && r.until.After(now) {
			r.addCrash(crash)
			return nil
		}
	}
	var changed []*partRecord
	for _, p := range parts {
		r := s.partRecord(p, now)
		if s.addPartCrash(r, crash) {
			r.until = now.Add(partSuspicionTTL)
			changed = append(changed, r)
		}
	}
	// Of parts that explain the same crashes, the later one in a prompt is shared
	// by fewer requests.
	slices.Reverse(changed)
	s.convict(changed, now)
	s.evictParts(now)
	return toWire(changed)
}

// RecordSurvival records that a request with these parts ran well past its
// start, which clears them. It returns the changed records.
func (s *Suspects) RecordSurvival(parts []Part, now time.Time) []wire.Suspect {
	if s.suspectedParts.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []*partRecord
	for _, p := range parts {
		if r := s.parts.byKey[p.Key]; r != nil && r.isCounted {
			s.clearPart(r, now.Add(partSuspicionTTL))
			changed = append(changed, r)
		}
	}
	return toWire(changed)
}

// QuarantinedPart returns the record of the first quarantined part.
func (s *Suspects) QuarantinedPart(parts []Part, now time.Time) (wire.Suspect, bool) {
	if s.quarantinedParts.Load() == 0 {
		return wire.Suspect{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range parts {
		if r := s.parts.convicted[p.Key]; r != nil && r.until.After(now) {
			return r.toWire(), true
		}
	}
	return wire.Suspect{}, false
}

func toWire(records []*partRecord) []wire.Suspect {
	var list []wire.Suspect
	for _, r := range records {
		list = append(list, r.toWire())
	}
	return list
}

// partRecord returns the record of a part, which is created if necessary. The
// caller holds mu.
func (s *Suspects) partRecord(p Part, now time.Time) *partRecord {
	r := s.parts.byKey[p.Key]
	if r == nil {
		r = &partRecord{Part: p, until: now.Add(partSuspicionTTL)}
		s.parts.byKey[p.Key] = r
	}
	if !r.until.After(now) {
		r.crashes, r.isConvicted = nil, false
		s.count(r)
	}
	return r
}

// addPartCrash adds a crash to a record and reports whether it was new. The
// caller holds mu.
func (s *Suspects) addPartCrash(r *partRecord, c partCrash) bool {
	for _, convicted := range s.parts.convicted {
		c.isExplained = c.isExplained || (convicted != r && convicted.explains(c))
	}
	if !r.addCrash(c) {
		return false
	}
	s.count(r)
	return true
}

// clearPart removes crashes and quarantine from a record. The caller holds mu.
func (s *Suspects) clearPart(r *partRecord, until time.Time) {
	r.generation++
	r.crashes, r.isConvicted, r.until = nil, false, until
	s.count(r)
}

// count updates the numbers of suspected and quarantined parts after a change
// of a record. The caller holds mu.
func (s *Suspects) count(r *partRecord) {
	s.hasChanged = true
	if r.isConvicted {
		s.parts.convicted[r.Key] = r
	} else {
		delete(s.parts.convicted, r.Key)
	}
	s.quarantinedParts.Store(int64(len(s.parts.convicted)))
	isSuspected := r.isConvicted || slices.ContainsFunc(r.crashes, func(c partCrash) bool { return !c.isExplained })
	switch {
	case isSuspected && !r.isCounted:
		s.suspectedParts.Add(1)
	case !isSuspected && r.isCounted:
		s.suspectedParts.Add(-1)
	}
	r.isCounted = isSuspected
}

// convict quarantines those of the given parts that crashes single out, the
// likeliest first. The caller holds mu.
func (s *Suspects) convict(candidates []*partRecord, now time.Time) {
	list := slices.DeleteFunc(slices.Clone(candidates), func(r *partRecord) bool { return r.isConvicted || r.moments() < momentsToQuarantine })
	slices.SortStableFunc(list, func(a, b *partRecord) int {
		return cmp.Or(cmp.Compare(b.moments(), a.moments()), cmp.Compare(a.generation, b.generation))
	})
	for _, r := range list {
		// An earlier conviction may explain crashes of this part.
		if n := r.moments(); n >= momentsIfAmbiguous || (n >= momentsToQuarantine && !s.hasRival(r)) {
			s.setConvicted(r, now.Add(partQuarantineTTL))
		}
	}
}

// convictMerged quarantines parts after a merge. The caller holds mu.
func (s *Suspects) convictMerged(now time.Time) {
	var list []*partRecord
	for _, r := range s.parts.byKey {
		if r.isCounted && len(r.crashes) >= momentsToQuarantine {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *partRecord) int { return cmp.Compare(a.Key, b.Key) })
	s.convict(list, now)
	s.evictParts(now)
}

// hasRival reports whether another suspected part explains all crashes of r. The
// caller holds mu.
func (s *Suspects) hasRival(r *partRecord) bool {
	for _, other := range s.parts.byKey {
		if other != r && other.isCounted && !other.isConvicted && other.explainsAllOf(r) {
			return true
		}
	}
	return false
}

// setConvicted quarantines a part, which explains its crashes: other parts are
// no longer suspected for them. The caller holds mu.
func (s *Suspects) setConvicted(r *partRecord, until time.Time) {
	r.isConvicted, r.until = true, until
	for i := range r.crashes {
		r.crashes[i].isExplained = false
	}
	s.count(r)
	for _, other := range s.parts.byKey {
		if other.isConvicted || !other.isCounted {
			continue
		}
		for i, c := range other.crashes {
			other.crashes[i].isExplained = c.isExplained || r.explains(c)
		}
		s.count(other)
	}
}

// mergePart merges one record of a part. The caller holds mu.
func (s *Suspects) mergePart(e wire.Suspect, now time.Time) {
	r := s.partRecord(Part{Key: e.Fingerprint, ID: e.Part}, now)
	order := cmp.Or(cmp.Compare(e.Lifts, r.lifts), cmp.Compare(e.Generation, r.generation))
	if order < 0 {
		return
	}
	// The sender's clock may be ahead.
	until := earliest(e.Until, now.Add(partQuarantineTTL))
	if order > 0 {
		r.generation, r.lifts, r.until = e.Generation, e.Lifts, until
		r.crashes, r.isConvicted = nil, false
		s.count(r)
	}
	for _, c := range e.Lost {
		s.addPartCrash(r, partCrash{Crash: c, seen: now})
	}
	switch {
	case e.Convicted && !r.isConvicted:
		s.setConvicted(r, until)
	case e.Convicted == r.isConvicted && until.After(r.until):
		r.until = until
	}
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// removeExpiredParts removes expired records. The caller holds mu.
func (s *Suspects) removeExpiredParts(now time.Time) {
	for _, r := range s.parts.byKey {
		if !r.until.After(now) {
			s.removePart(r)
		}
	}
}

// removePart removes a record. The caller holds mu.
func (s *Suspects) removePart(r *partRecord) {
	r.crashes, r.isConvicted = nil, false
	s.count(r)
	delete(s.parts.byKey, r.Key)
}

// evictParts removes records if there are more than maxParts: first expired
// ones, then suspicions before quarantines and the oldest first. The caller holds
// mu.
func (s *Suspects) evictParts(now time.Time) {
	if len(s.parts.byKey) <= maxParts {
		return
	}
	s.removeExpiredParts(now)
	excess := len(s.parts.byKey) - maxParts
	if excess <= 0 {
		return
	}
	list := make([]*partRecord, 0, len(s.parts.byKey))
	for _, r := range s.parts.byKey {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *partRecord) int {
		return cmp.Or(compareBool(a.isConvicted, b.isConvicted), a.until.Compare(b.until), cmp.Compare(a.Key, b.Key))
	})
	// Evicting in batches keeps the cost of sorting low.
	for _, r := range list[:min(len(list), excess+maxParts/16)] {
		s.removePart(r)
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
