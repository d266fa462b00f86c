package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Limits on the record of prompt parts that were starting on a replica when it
// crashed.
const (
	// momentsToQuarantine is the number of distinct moments of crashes after
	// which a part is quarantined if it came with different parts and no other
	// part explains them all; one more if another does.
	momentsToQuarantine = 3
	// momentsIfAmbiguous is the number if the request is the same. One request, tried at
	// momentsToQuarantine replicas, must not implicate all of its parts.
	momentsIfAmbiguous = 5
	// momentGap is the least time between distinct moments: replicas that lose
	// power together count once.
	momentGap = 250 * time.Millisecond
	// samePartCrashWindow is the time in which further reports of a replica's
	// crash count as the same crash.
	samePartCrashWindow = 500 * time.Millisecond
	// partSuspicionTTL and partQuarantineTTL are the lifetimes of the records.
	partSuspicionTTL  = 10 * time.Minute
	partQuarantineTTL = time.Hour
	// maxParts bounds the number of records, maxPartCrashes that of a record's
	// crashes.
	maxParts       = 4096
	maxPartCrashes = 64
	// flappingWindow is the time after a crash in which another crash of the replica
	// implicates a part only if requests without it survive their starts: hardly any
	// request, sound or not, has had the time to survive there.
	flappingWindow = 2 * time.Second
	// repeatWindow is the time after a crash in which another one may be the replica's own
	// fault, so that it takes more to blame a part.
	repeatWindow = 30 * time.Second
	// settleTime is the time in which news of a crash reach all nodes in touch.
	settleTime = 250 * time.Millisecond
	// backgroundWindow is the time before a part's first crash in which crashes
	// without the part make it less likely that the part is to blame.
	backgroundWindow = 10 * time.Second
	// momentsPerOther is the number of moments of crashes without the part for
	// which one more is required.
	momentsPerOther = 3
	// acquittalMargin is how many more crashes a part must explain than another one
	// to acquit it. Nodes hear of crashes one by one, and of two parts that always come
	// together neither must acquit the other.
	acquittalMargin  = 2
	maxLoggedCrashes = 256
	// maxSurvivalCredit bounds the additional moments required of a part that was
	// cleared before. A fleet-wide outage must not implicate popular parts.
	maxSurvivalCredit = 20
)

// partCrash is a crash with the time at which this node learned of it. Times of
// other nodes' clocks are not comparable.
type partCrash struct {
	wire.Crash
	seen time.Time
	// isExplained means that a quarantined part accounts for the crash.
	isExplained bool
	// isOwn means that this node recorded the crash.
	isOwn bool
	// sinceLast is how long before the replica had crashed last, maxTime if that is not
	// known.
	sinceLast time.Duration
}

// isRepeated reports whether the replica may have crashed by itself, as it had shortly before.
func (c partCrash) isRepeated() bool { return c.sinceLast < repeatWindow }

// isSameAs reports whether both are reports of one crash.
func (c partCrash) isSameAs(other partCrash) bool {
	return c.Replica == other.Replica && (c.At.Equal(other.At) || c.seen.Sub(other.seen).Abs() < samePartCrashWindow)
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
	// hasContrast means that replicas survive the starts of requests without the part, so
	// that crashes of replicas that had crashed shortly before implicate it, too.
	hasContrast bool
	until       time.Time
}

// isImplicatedBy reports whether one of its crashes makes the part suspect.
func (r *partRecord) isImplicatedBy(c partCrash) bool {
	return !c.isExplained && (r.hasContrast || c.sinceLast >= flappingWindow)
}

func (r *partRecord) toWire() wire.Suspect {
	e := wire.Suspect{Fingerprint: r.Key, Part: r.ID, Generation: r.generation, Lifts: r.lifts, Convicted: r.isConvicted, Until: r.until}
	for _, c := range r.crashes {
		e.Lost = append(e.Lost, c.Crash)
	}
	return e
}

// toNews returns the record with only the crashes that this node recorded. Other
// nodes publish theirs.
func (r *partRecord) toNews() wire.Suspect {
	e := r.toWire()
	e.Lost = nil
	for _, c := range r.crashes {
		if c.isOwn {
			e.Lost = append(e.Lost, c.Crash)
		}
	}
	return e
}

// moments returns the number of distinct moments of crashes that implicate the part.
func (r *partRecord) moments() int { return countMoments(r.crashes, r.isImplicatedBy) }

// firstMoments returns the number of those at which a replica crashed that had not shortly
// before.
func (r *partRecord) firstMoments() int {
	return countMoments(r.crashes, func(c partCrash) bool { return r.isImplicatedBy(c) && !c.isRepeated() })
}

// countMoments returns the number of distinct moments of the crashes that count.
func countMoments(crashes []partCrash, counts func(partCrash) bool) int {
	var counted []partCrash
	for _, c := range crashes {
		if counts(c) && !slices.ContainsFunc(counted, c.isSameMomentAs) {
			counted = append(counted, c)
		}
	}
	return len(counted)
}

// varies reports whether the crashes that implicate the part differ in a property.
func (r *partRecord) varies(property func(partCrash) uint64) bool {
	var first *partCrash
	for i, c := range r.crashes {
		switch {
		case !r.isImplicatedBy(c):
		case first == nil:
			first = &r.crashes[i]
		case property(c) != property(*first):
			return true
		}
	}
	return false
}

// survivalCredit returns the number of additional moments required because the part
// was cleared before.
func (r *partRecord) survivalCredit() int { return int(min(r.generation-r.lifts, maxSurvivalCredit)) }

// explains reports whether the part was starting at the crash, too.
func (r *partRecord) explains(c partCrash) bool { return slices.ContainsFunc(r.crashes, c.isSameAs) }

// settledCrashes returns the number of crashes of which all nodes have heard by
// now.
func (r *partRecord) settledCrashes(now time.Time) (n int) {
	for _, c := range r.crashes {
		if r.isImplicatedBy(c) && now.Sub(c.seen) >= settleTime {
			n++
		}
	}
	return n
}

// isRivalOf reports whether the part was starting at all crashes that implicate
// the other one, apart from those of which news may still be under way.
func (r *partRecord) isRivalOf(other *partRecord, now time.Time) bool {
	return !slices.ContainsFunc(other.crashes, func(c partCrash) bool {
		return other.isImplicatedBy(c) && now.Sub(c.seen) >= settleTime && !r.explains(c)
	})
}

// addCrash adds a crash and reports whether it was new.
func (r *partRecord) addCrash(c partCrash) bool {
	switch {
	case r.explains(c):
		return false
	case r.isConvicted && len(r.crashes) >= maxPartCrashes:
		r.crashes = slices.Delete(r.crashes, 0, 1)
	case len(r.crashes) >= maxPartCrashes,
		len(r.crashes) >= maxPartCrashes/2 && slices.ContainsFunc(r.crashes, c.isSameMomentAs):
		return false
	}
	r.crashes = append(r.crashes, c)
	return true
}

// crashLog holds the latest crashes of replicas, whatever ran on them.
type crashLog []partCrash

// add adds a crash unless it is in the log. It returns how long before the replica had
// crashed last.
func (l *crashLog) add(c partCrash) (sinceLast time.Duration) {
	sinceLast = maxTime
	for _, logged := range *l {
		if logged.isSameAs(c) {
			return logged.sinceLast
		}
		if logged.Replica == c.Replica {
			sinceLast = min(sinceLast, c.seen.Sub(logged.seen))
		}
	}
	if len(*l) >= maxLoggedCrashes {
		*l = slices.Delete(*l, 0, 1)
	}
	c.sinceLast = sinceLast
	*l = append(*l, c)
	return sinceLast
}

// maxTime stands for a time that is not known to have been shorter.
const maxTime = time.Duration(math.MaxInt64)

// explain marks the crashes that a quarantined part explains.
func (l crashLog) explain(r *partRecord) {
	for i, c := range l {
		l[i].isExplained = c.isExplained || r.explains(c)
	}
}

// otherMoments returns the number of distinct moments of unexplained crashes at
// which the part was not starting, from shortly before its first crash.
func (l crashLog) otherMoments(r *partRecord) int {
	if len(r.crashes) == 0 {
		return 0
	}
	since := r.crashes[0].seen.Add(-backgroundWindow)
	var others []partCrash
	for _, c := range l {
		if !c.seen.Before(since) && !r.explains(c) {
			others = append(others, c)
		}
	}
	return countMoments(others, func(c partCrash) bool { return !c.isExplained })
}
