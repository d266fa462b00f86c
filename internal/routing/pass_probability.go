package routing

import (
	"math"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// OtherKind stands for kinds beyond the limit of an organisation and for
// requests without a kind.
const OtherKind = "other"

const (
	// maxKinds bounds the kinds kept for each organisation. maxEntries bounds
	// all entries of the table.
	maxKinds   = 32
	maxEntries = 20_000
	// priorWeight is the number of verdicts that the configured quality counts
	// for. sharedWeight is the maximum for the verdicts of other organisations
	// on the same kind.
	priorWeight  = 20.0
	sharedWeight = 30.0
	// maxWeight bounds the verdicts that count, so that old ones lose weight.
	maxWeight = 400.0
	// halfLife is the time after which a verdict has half its weight.
	halfLife = 6 * time.Hour
	// minDecayInterval is the minimum time between two applications of the
	// decay.
	minDecayInterval = time.Minute
)

// estimateKey identifies one estimate. An empty organisation means all
// organisations.
type estimateKey struct {
	organisation string
	kind         string
	target       config.Target
}

// verdictCount is an exponentially decayed count of verdicts.
type verdictCount struct {
	passed    float64
	total     float64
	decayedAt time.Time
}

// add counts a verdict after decaying the older ones.
func (c *verdictCount) add(passed bool, now time.Time) {
	c.decay(now)
	if c.total >= maxWeight {
		keep := (maxWeight - 1) / c.total
		c.passed *= keep
		c.total *= keep
	}
	c.total++
	if passed {
		c.passed++
	}
}

// decay reduces the weight of the counted verdicts by their age.
func (c *verdictCount) decay(now time.Time) {
	age := now.Sub(c.decayedAt)
	if age < minDecayInterval {
		return
	}
	keep := math.Exp2(-age.Hours() / halfLife.Hours())
	c.passed *= keep
	c.total *= keep
	c.decayedAt = now
}

// PassProbabilities estimates the probability that a version's answer passes its rating,
// by organisation and kind. It is not safe for concurrent use.
type PassProbabilities struct {
	table map[estimateKey]*verdictCount
	kinds map[string]map[string]bool // by organisation
}

// NewPassProbabilities returns a table without verdicts.
func NewPassProbabilities() *PassProbabilities {
	return &PassProbabilities{table: map[estimateKey]*verdictCount{}, kinds: map[string]map[string]bool{}}
}

// RegisterKind returns the kind under which verdicts are counted: the given one, or
// OtherKind once the organisation has used too many kinds. A new kind is
// registered.
func (p *PassProbabilities) RegisterKind(organisation, kind string) string {
	kinds := p.kinds[organisation]
	switch {
	case kind == "" || kinds[kind]:
	case len(kinds) >= maxKinds:
		return OtherKind
	case kinds == nil:
		p.kinds[organisation] = map[string]bool{kind: true}
	default:
		kinds[kind] = true
	}
	if kind == "" {
		return OtherKind
	}
	return kind
}

// Learn counts a verdict.
func (p *PassProbabilities) Learn(organisation, kind string, t config.Target, passed bool, now time.Time) {
	kind = p.RegisterKind(organisation, kind)
	for _, key := range [...]estimateKey{{organisation, kind, t}, {"", kind, t}} {
		entry := p.table[key]
		if entry == nil {
			if len(p.table) >= maxEntries {
				clear(p.table)
			}
			entry = &verdictCount{decayedAt: now}
			p.table[key] = entry
		}
		entry.add(passed, now)
	}
}

// Estimate is the estimated pass probability of one version's answers to one
// kind of request.
type Estimate struct {
	// Mean is the probability that an answer passes.
	Mean float64
	// Verdicts is the number of verdicts behind the estimate. Older ones count
	// less, and those of other organisations count up to a limit.
	Verdicts float64
}

// Estimate returns the estimate for an organisation and kind. The
// organisation's own verdicts are shrunk towards those of all organisations on
// the kind, and these towards prior.
func (p *PassProbabilities) Estimate(organisation, kind string, t config.Target, prior float64) Estimate {
	own := p.count(estimateKey{organisation, kind, t})
	shared := p.count(estimateKey{"", kind, t})
	others := max(shared.total-own.total, 0)
	mean := (min(max(shared.passed-own.passed, 0), others) + priorWeight*prior) / (others + priorWeight)
	weight := min(others+priorWeight, sharedWeight)
	mean = (own.passed + weight*mean) / (own.total + weight)
	return Estimate{Mean: mean, Verdicts: min(others, sharedWeight) + own.total}
}

// count returns an entry, or an empty one if there is none.
func (p *PassProbabilities) count(key estimateKey) verdictCount {
	if entry := p.table[key]; entry != nil {
		return *entry
	}
	return verdictCount{}
}
