package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// PartRule says when a prompt part is quarantined.
type PartRule struct {
	// Moments is the number of distinct moments of crashes if the part was starting
	// with different other parts and no other part explains all of them. One more is
	// required of different requests with the same parts, IfAmbiguous of one request.
	Moments, IfAmbiguous int
	// PerOther is the number of moments of crashes without the part for which
	// one more is required; 0 means that they do not count.
	PerOther int
}

// DefaultPartRule is the rule in use.
var DefaultPartRule = PartRule{Moments: momentsToQuarantine, IfAmbiguous: momentsIfAmbiguous, PerOther: momentsPerOther}

// Part identifies a prompt part.
type Part struct {
	Key uint64
	ID  string
}

// NewPart returns the part with the given ID.
func NewPart(id string) Part { return Part{Key: xxhash.Sum64String("part\x00" + id), ID: id} }

// partRecords holds the records of prompt parts.
type partRecords struct {
	log       crashLog
	verdicts  []*partRecord // reached or ended by this node, to publish
	byKey     map[uint64]*partRecord
	convicted map[uint64]*partRecord
	survivals survivals
	starts    startLog
}

func newPartRecords() partRecords {
	return partRecords{byKey: map[uint64]*partRecord{}, convicted: map[uint64]*partRecord{}}
}

// partSet returns the fingerprint of a set of parts.
func partSet(parts []Part) (set uint64) {
	for _, p := range parts {
		set ^= p.Key
	}
	return set
}

// RecordPartCrash records that a replica crashed while a request with these
// parts was starting on it. It returns the changed records. A crash without
// parts makes all parts less suspect.
func (s *Suspects) RecordPartCrash(fingerprint uint64, parts []Part, replica string, now time.Time) []wire.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	crash := partCrash{Crash: wire.Crash{Replica: replica, At: now, Request: fingerprint, Parts: partSet(parts)}, seen: now, isOwn: true}
	crash.sinceLast = s.parts.log.add(crash)
	s.parts.starts.add(startOutcome{request: fingerprint, parts: partKeys(parts), at: now, crash: &crash})
	for _, p := range parts {
		if r := s.parts.convicted[p.Key]; r != nil && r.until.After(now) {
			if !r.addCrash(crash) {
				return nil
			}
			s.explainAll(r)
			return []wire.Suspect{r.toNews()}
		}
	}
	var changed []*partRecord
	for _, p := range parts {
		r := s.partRecord(p, now)
		if r.addCrash(crash) {
			r.hasContrast = s.parts.contrast(r).isSound()
			s.count(r)
			r.until = now.Add(partSuspicionTTL)
			changed = append(changed, r)
		}
	}
	// Of parts that explain the same crashes, the later one in a prompt is shared
	// by fewer requests.
	slices.Reverse(changed)
	s.convict(changed, now)
	for _, r := range s.parts.verdicts {
		if !slices.Contains(changed, r) {
			changed = append(changed, r)
		}
	}
	s.parts.verdicts = nil
	s.evictParts(now)
	return toNews(changed)
}

// TakeVerdicts returns the records of parts whose quarantine Merge began or ended
// since the last call. They are to be published, as nodes that start later cannot
// tell from the crashes alone.
func (s *Suspects) TakeVerdicts() []wire.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := toNews(s.parts.verdicts)
	s.parts.verdicts = nil
	return list
}

// RecordSurvival records that a request with these parts ran well past its
// start, which clears them. It returns the changed records.
func (s *Suspects) RecordSurvival(parts []Part, now time.Time) []wire.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts.survivals.add(parts, now)
	if s.suspectedParts.Load() == 0 {
		return nil
	}
	var changed []*partRecord
	for _, p := range parts {
		if r := s.parts.byKey[p.Key]; r != nil && r.isCounted {
			s.clearPart(r, now.Add(partSuspicionTTL))
			changed = append(changed, r)
		}
	}
	return toNews(changed)
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

func toNews(records []*partRecord) []wire.Suspect {
	var list []wire.Suspect
	for _, r := range records {
		list = append(list, r.toNews())
	}
	return list
}

// partRecord returns the record of a part, which is created if necessary. The
// caller holds mu.
func (s *Suspects) partRecord(p Part, now time.Time) *partRecord {
	r := s.parts.byKey[p.Key]
	if r == nil {
		r = &partRecord{Part: p, generation: s.parts.survivals.count(p, now), until: now.Add(partSuspicionTTL)}
		s.parts.byKey[p.Key] = r
	}
	if !r.until.After(now) {
		r.crashes, r.isConvicted = nil, false
		s.count(r)
	}
	return r
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
	isSuspected := r.isConvicted || slices.ContainsFunc(r.crashes, r.isImplicatedBy)
	switch {
	case isSuspected && !r.isCounted:
		s.suspectedParts.Add(1)
	case !isSuspected && r.isCounted:
		s.suspectedParts.Add(-1)
	}
	r.isCounted = isSuspected
}

// explainMerged marks the crashes that quarantined parts explain, after a merge of
// the given records. Their order does not matter. The caller holds mu.
func (s *Suspects) explainMerged(list []*partRecord, now time.Time) {
	for _, r := range list {
		if r.isConvicted {
			s.explainAll(r)
			s.acquitExplained(r, now)
		} else {
			s.explainCrashes(r)
		}
	}
}

// explainAll marks the crashes of all parts that a quarantined part explains. The
// caller holds mu.
func (s *Suspects) explainAll(r *partRecord) {
	s.parts.log.explain(r)
	for _, other := range s.parts.byKey {
		if !other.isConvicted && other.isCounted {
			s.explainCrashes(other)
		}
	}
}

// setConvicted quarantines a part, which explains its crashes: other parts are
// no longer suspected for them. The caller holds mu.
func (s *Suspects) setConvicted(r *partRecord, now, until time.Time) {
	r.isConvicted, r.until = true, until
	for i := range r.crashes {
		r.crashes[i].isExplained = false
	}
	s.count(r)
	s.explainAll(r)
	s.acquitExplained(r, now)
}

// acquitExplained ends the quarantines that the one of r makes needless: of parts
// that were only starting at crashes at which r was starting, too, and at clearly
// fewer. The caller holds mu.
func (s *Suspects) acquitExplained(r *partRecord, now time.Time) {
	for _, other := range s.parts.convicted {
		if other == r || other.moments() == 0 || len(other.crashes)+acquittalMargin > len(r.crashes) {
			continue
		}
		if !slices.ContainsFunc(other.crashes, func(c partCrash) bool { return !r.explains(c) }) {
			s.clearPart(other, now.Add(partQuarantineTTL))
			s.parts.verdicts = append(s.parts.verdicts, other)
		}
	}
}

// explainCrashes marks the crashes of a part that quarantined parts explain. The
// caller holds mu.
func (s *Suspects) explainCrashes(r *partRecord) {
	for i, c := range r.crashes {
		for _, convicted := range s.parts.convicted {
			r.crashes[i].isExplained = r.crashes[i].isExplained || convicted.explains(c)
		}
	}
	s.count(r)
}

// mergePart merges one record of a part, and reports whether it gained crashes.
// The caller holds mu.
func (s *Suspects) mergePart(e wire.Suspect, now time.Time) (r *partRecord, isChanged bool) {
	r = s.partRecord(Part{Key: e.Fingerprint, ID: e.Part}, now)
	order := cmp.Or(cmp.Compare(e.Lifts, r.lifts), cmp.Compare(e.Generation, r.generation))
	if order < 0 {
		return r, false
	}
	// The sender's clock may be ahead.
	until := earliest(e.Until, now.Add(partQuarantineTTL))
	if order > 0 {
		r.generation, r.lifts, r.until = e.Generation, e.Lifts, until
		r.crashes, r.isConvicted = nil, false
		s.count(r)
	}
	for _, c := range e.Lost {
		crash := partCrash{Crash: c, seen: now}
		crash.sinceLast = s.parts.log.add(crash)
		isChanged = r.addCrash(crash) || isChanged
	}
	r.hasContrast = s.parts.contrast(r).isSound()
	s.count(r)
	switch {
	case e.Convicted && !r.isConvicted:
		s.setConvicted(r, now, until)
	case e.Convicted == r.isConvicted && until.After(r.until):
		r.until = until
	}
	return r, isChanged
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
