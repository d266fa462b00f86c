package dispatch

import (
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TrialInterval is the least time between a crash and the next request with a part that
	// is suspected for it, so that the next crash has a moment of its own.
	TrialInterval = momentGap + 50*time.Millisecond
	// maxTrialInterval bounds the time by which it grows while replicas crash again.
	maxTrialInterval = 5 * time.Second
	// repetitionFactor is by how much it grows with each of their crashes.
	repetitionFactor = 4
	// trialPollInterval is how often a request asks whether the trial before it has ended.
	trialPollInterval = 50 * time.Millisecond
)

// SuspectedParts returns those of the parts that are suspected and not quarantined, and
// when a request with the parts may be tried.
func (s *Suspects) SuspectedParts(parts []Part) (suspected []Part, next time.Time) {
	if s.suspectedParts.Load() == 0 {
		return nil, time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []*partRecord
	for _, p := range parts {
		r := s.parts.byKey[p.Key]
		if r == nil {
			continue
		}
		records = append(records, r)
		if !r.isCounted || r.isConvicted {
			continue
		}
		suspected = append(suspected, p)
		for _, c := range r.crashes {
			if at := c.seen.Add(TrialInterval); at.After(next) {
				next = at
			}
		}
	}
	if at := nextRepetition(parts, records); at.After(next) {
		next = at
	}
	return suspected, next
}

// nextRepetition returns when a request may be tried whose parts, with these records, were all
// starting at crashes of replicas that had crashed shortly before. The time grows with each
// such crash, so that requests that share a part with it, and have not crashed replicas, are
// tried before and clear it. Nodes that have not seen the last crash themselves wait longer, so
// that not all try at once. Each set of parts has its own part of the time in addition: sound
// parts that happened to be starting at the same crashes are else tried at the same moments
// again, and never survive.
func nextRepetition(parts []Part, records []*partRecord) (next time.Time) {
	set := partSet(parts)
	wereAllStarting := func(c partCrash) bool {
		return c.Parts == set || len(records) == len(parts) && !slices.ContainsFunc(records, func(r *partRecord) bool { return !r.explains(c) })
	}
	for _, r := range records {
		interval := TrialInterval
		for _, c := range r.crashes {
			if !c.isRepeated() || c.isExplained || !wereAllStarting(c) {
				continue
			}
			interval = min(repetitionFactor*interval, maxTrialInterval)
			at := c.seen.Add(interval + time.Duration(spread(set, c.At)*float64(interval)))
			if !c.isOwn {
				at = at.Add(interval / 2)
			}
			if at.After(next) {
				next = at
			}
		}
	}
	return next
}

// spread returns a number from 0 to 1, evenly spread over sets of parts and crashes.
func spread(set uint64, at time.Time) float64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], set)
	binary.LittleEndian.PutUint64(key[8:], uint64(at.UnixNano()))
	return float64(xxhash.Sum64(key[:])) / math.MaxUint64
}

// Trials holds the suspected parts of requests that a node has sent and that have neither
// survived nor failed. It is safe for concurrent use. The zero value is empty.
type Trials struct {
	mu    sync.Mutex
	parts map[uint64]bool // guarded by mu
}

// Begin begins the trial of a request if one of its parts is suspected, and no other request
// with a suspected part of it is tried. The request may be sent if wait is 0; end is then
// called once the replica has answered or failed. Otherwise it asks again after wait.
func (t *Trials) Begin(s *Suspects, parts []Part, now time.Time) (end func(), wait time.Duration) {
	suspected, next := s.SuspectedParts(parts)
	if len(suspected) == 0 {
		return func() {}, 0
	}
	if wait := next.Sub(now); wait > 0 {
		return nil, wait
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range suspected {
		if t.parts[p.Key] {
			return nil, trialPollInterval
		}
	}
	if t.parts == nil {
		t.parts = map[uint64]bool{}
	}
	for _, p := range suspected {
		t.parts[p.Key] = true
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, p := range suspected {
			delete(t.parts, p.Key)
		}
	}, 0
}
