package routing

import (
	"math"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// OtherKind stands for kinds beyond the bound and for requests without one.
const OtherKind = "other"

const (
	// maxKinds bounds the kinds kept for each organisation, maxEntries all
	// entries of the table.
	maxKinds   = 32
	maxEntries = 20_000
	// priorWeight is how many verdicts the configured quality counts for,
	// sharedWeight those of other organisations on the same kind.
	priorWeight  = 20.0
	sharedWeight = 30.0
	// mostWeight bounds the verdicts that count, so that old ones fade.
	mostWeight = 400.0
	// halfLife is how long a verdict keeps half its weight.
	halfLife = 6 * time.Hour
	// minDecay is the shortest time after which verdicts fade.
	minDecay = time.Minute
)

// chanceKey names one estimate; an empty organisation stands for all.
type chanceKey struct {
	organisation string
	kind         string
	target       config.Target
}

// chance is a decayed count of verdicts.
type chance struct {
	good  float64
	total float64
	at    time.Time
}

// add counts a verdict; older ones fade.
func (c *chance) add(passed bool, now time.Time) {
	c.fade(now)
	if c.total >= mostWeight {
		keep := (mostWeight - 1) / c.total
		c.good *= keep
		c.total *= keep
	}
	c.total++
	if passed {
		c.good++
	}
}

func (c *chance) fade(now time.Time) {
	age := now.Sub(c.at)
	if age < minDecay {
		return
	}
	keep := math.Exp2(-age.Hours() / halfLife.Hours())
	c.good *= keep
	c.total *= keep
	c.at = now
}

// Chances learns the chance that a version's answer passes its rating, by
// organisation and kind. It is not safe for concurrent use.
type Chances struct {
	table map[chanceKey]*chance
	kinds map[string]map[string]bool // by organisation
}

// NewChances returns a table without verdicts.
func NewChances() *Chances {
	return &Chances{table: map[chanceKey]*chance{}, kinds: map[string]map[string]bool{}}
}

// Kind returns the name under which a kind is learned: itself, or OtherKind
// once an organisation has named too many.
func (c *Chances) Kind(organisation, kind string) string {
	known := c.kinds[organisation]
	switch {
	case kind == "" || known[kind]:
	case len(known) >= maxKinds:
		return OtherKind
	case known == nil:
		c.kinds[organisation] = map[string]bool{kind: true}
	default:
		known[kind] = true
	}
	if kind == "" {
		return OtherKind
	}
	return kind
}

// Learn takes a verdict.
func (c *Chances) Learn(organisation, kind string, t config.Target, passed bool, now time.Time) {
	kind = c.Kind(organisation, kind)
	for _, key := range [...]chanceKey{{organisation, kind, t}, {"", kind, t}} {
		entry := c.table[key]
		if entry == nil {
			if len(c.table) >= maxEntries {
				clear(c.table)
			}
			entry = &chance{at: now}
			c.table[key] = entry
		}
		entry.add(passed, now)
	}
}

// Estimate is what is known of one version's answers to one kind.
type Estimate struct {
	// Mean is the chance that an answer passes.
	Mean float64
	// Verdicts is the number of verdicts behind it; older ones count less,
	// and those of other organisations only so far.
	Verdicts float64
}

// Estimate returns the chance for an organisation and kind: its own verdicts,
// drawn towards those of all organisations on the kind, drawn towards prior.
func (c *Chances) Estimate(organisation, kind string, t config.Target, prior float64) Estimate {
	own := c.of(chanceKey{organisation, kind, t})
	shared := c.of(chanceKey{"", kind, t})
	others := max(shared.total-own.total, 0)
	mean := (min(max(shared.good-own.good, 0), others) + priorWeight*prior) / (others + priorWeight)
	weight := min(others+priorWeight, sharedWeight)
	mean = (own.good + weight*mean) / (own.total + weight)
	return Estimate{Mean: mean, Verdicts: min(others, sharedWeight) + own.total}
}

// of returns an entry, empty if there is none.
func (c *Chances) of(key chanceKey) chance {
	if entry := c.table[key]; entry != nil {
		return *entry
	}
	return chance{}
}
