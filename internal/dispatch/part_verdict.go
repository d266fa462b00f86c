package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// convict quarantines those of the given parts that crashes single out, the
// likeliest first. The caller holds mu.
func (s *Suspects) convict(candidates []*partRecord, now time.Time) {
	list := slices.DeleteFunc(slices.Clone(candidates), func(r *partRecord) bool { return r.isConvicted || r.moments() < s.partRule.Moments })
	slices.SortStableFunc(list, func(a, b *partRecord) int {
		return cmp.Or(cmp.Compare(b.moments(), a.moments()), cmp.Compare(a.generation, b.generation))
	})
	for _, r := range list {
		if rival := s.strongestRival(r, now); rival != nil && rival.settledCrashes(now) > r.settledCrashes(now) {
			s.convictIfCertain(rival, now)
		}
		s.convictIfCertain(r, now)
	}
}

// convictIfCertain quarantines a part if crashes single it out. The caller holds
// mu.
func (s *Suspects) convictIfCertain(r *partRecord, now time.Time) {
	n, contrast := r.firstMoments(), s.parts.contrast(r)
	all := r.moments()
	switch {
	case contrast.singlesOut(all):
		n = all
	case contrast.isFlapping():
		return
	case s.partRule.PerOther > 0:
		n -= s.parts.log.otherMoments(r) / s.partRule.PerOther
	}
	n -= r.survivalCredit()
	if n < s.partRule.Moments || r.isConvicted {
		return
	}
	rival := s.strongestRival(r, now)
	hasVariedParts := r.varies(func(c partCrash) uint64 { return c.Parts })
	hasVariedRequests := r.varies(func(c partCrash) uint64 { return c.Request })
	switch {
	case rival != nil && rival.settledCrashes(now) > r.settledCrashes(now):
	case hasVariedParts && rival == nil, hasVariedRequests && n > s.partRule.Moments, n >= s.partRule.IfAmbiguous:
		s.parts.verdicts = append(s.parts.verdicts, r)
		s.setConvicted(r, now, now.Add(partQuarantineTTL))
	}
}

// strongestRival returns the suspected part that explains most crashes of those that
// explain all crashes of r, nil if there is none. A part that was cleared more often
// is no rival. The caller holds mu.
func (s *Suspects) strongestRival(r *partRecord, now time.Time) (strongest *partRecord) {
	for _, other := range s.parts.byKey {
		if other == r || !other.isCounted || other.isConvicted || other.survivalCredit() > r.survivalCredit() || !other.isRivalOf(r, now) {
			continue
		}
		if strongest == nil || cmp.Or(cmp.Compare(other.settledCrashes(now), strongest.settledCrashes(now)), cmp.Compare(other.Key, strongest.Key)) > 0 {
			strongest = other
		}
	}
	return strongest
}
