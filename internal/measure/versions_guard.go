package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/rollout"
)

func init() {
	register(Scenario{Name: "guard", About: "roll-outs of a good version and of one 15 points worse: false alarms and exposure by sequential test", Run: func(seed uint64) *Table { return runGuard(seed, guardSize{rollouts: 1000, rate: 12, lag: 2}) }})
	register(Scenario{Name: "guard-large", About: "the same for one of 8 models at the two-year size", Run: func(seed uint64) *Table { return runGuard(seed, guardSize{rollouts: 200, rate: 240, lag: 3}) }})
	register(Scenario{Name: "season", About: "a version in place turns 15 points worse mid-season, and an hour of a biased rating service", Run: runSeason})
}

const (
	guardTick    = 10 * time.Second
	seasonRate   = 12.0 // answers a second of one model
	guardQuality = 0.82
	guardLoss    = 0.15
	guardSample  = 1.0 // share of the new version's answers that is rated
	baseSample   = 1.0 // share of the other answers that is rated during a roll-out
	placeSample  = 0.2 // share that is rated at other times
	seasonLag    = 2   // ticks until verdicts and reports are there
)

// guardSize is how many roll-outs are tried and how large the fleet is.
type guardSize struct {
	rollouts int
	rate     float64 // answers a second of the model
	lag      int     // ticks until verdicts and reports are there
}

// guardStages is the plan of the examples.
var guardStages = []struct {
	share float64
	bake  time.Duration
}{{0.01, 10 * time.Minute}, {0.10, 30 * time.Minute}, {0.50, time.Hour}, {1, time.Hour}}

// judge is one way to decide that a version is bad.
type judge interface {
	// observe takes a block of verdicts and tells whether new sessions stop.
	observe(old, next rollout.Counts) bool
}

type guardJudge struct {
	g    *rollout.Guard
	now  time.Time
	hold bool
}

func (j *guardJudge) observe(old, next rollout.Counts) bool {
	j.now = j.now.Add(guardTick)
	v := j.g.Observe(rollout.Evidence{Rated: old}, rollout.Evidence{Rated: next}, j.now)
	return v.Withdraw || (j.hold && !v.HoldUntil.IsZero())
}

// zJudge compares rates at each look as if it were the only one.
type zJudge struct{ old, next rollout.Counts }

const (
	zBound   = 2.326 // one-sided 1 in 100
	zMinimum = 30
)

func (j *zJudge) observe(old, next rollout.Counts) bool {
	j.old, j.next = j.old.Plus(old), j.next.Plus(next)
	if j.next.Total() < zMinimum || j.old.Total() < zMinimum {
		return false
	}
	diff, variance := lossOf(j.old, j.next)
	return diff/math.Sqrt(variance) > zBound
}

func lossOf(old, next rollout.Counts) (loss, variance float64) {
	n0, n1 := float64(old.Total()), float64(next.Total())
	p0, p1 := float64(old.Good)/n0, float64(next.Good)/n1
	p := (float64(old.Good+next.Good) + 1) / (n0 + n1 + 2)
	return p0 - p1, p * (1 - p) * (1/n0 + 1/n1)
}

// mixtureJudge is the mixture sequential probability ratio test over a normal
// loss (Johari et al., 2017).
type mixtureJudge struct{ old, next rollout.Counts }

const mixtureSpread = 0.1

func (j *mixtureJudge) observe(old, next rollout.Counts) bool {
	j.old, j.next = j.old.Plus(old), j.next.Plus(next)
	if j.next.Total() == 0 || j.old.Total() == 0 {
		return false
	}
	loss, v := lossOf(j.old, j.next)
	t := mixtureSpread * mixtureSpread
	ratio := math.Sqrt(v/(v+t)) * math.Exp(loss*loss*t/(2*v*(v+t)))
	return loss > 0 && ratio >= 1/rollout.FalseAlarmBound
}

// sprtJudge is Wald's test of one loss against none, the rate in place taken
// for known.
type sprtJudge struct {
	old rollout.Counts
	sum float64
}

const sprtLoss = 0.10

func (j *sprtJudge) observe(old, next rollout.Counts) bool {
	if j.old.Total() >= zMinimum {
		p := float64(j.old.Good) / float64(j.old.Total())
		q := max(p-sprtLoss, 0.01)
		p = min(p, 0.99)
		j.sum += float64(next.Good)*math.Log(q/p) + float64(next.Bad)*math.Log((1-q)/(1-p))
		j.sum = max(j.sum, math.Log(rollout.FalseAlarmBound))
	}
	j.old = j.old.Plus(old)
	return j.sum >= math.Log(1/rollout.FalseAlarmBound)
}

var judges = []struct {
	name string
	make func() judge
}{
	{"fixed threshold, looked at each block", func() judge { return &zJudge{} }},
	{"probability ratio test, loss 10 points", func() judge { return &sprtJudge{} }},
	{"normal mixture ratio test", func() judge { return &mixtureJudge{} }},
	{"e-process, withdrawal", func() judge { return &guardJudge{g: rollout.NewGuard()} }},
	{"e-process, first hold", func() judge { return &guardJudge{g: rollout.NewGuard(), hold: true} }},
}

func runGuard(seed uint64, size guardSize) *Table {
	t := &Table{Columns: []string{"alarms on a good version per 100", "bad version missed per 100", "exposure mean %", "exposure p95 %", "stopped after p50 s", "p95 s"}}
	for _, j := range judges {
		alarms := 0
		for i := range size.rollouts {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			if _, stopped := trial(rng, j.make(), size, 0, 0); stopped {
				alarms++
			}
		}
		var exposure, after []float64
		missed := 0
		for i := range size.rollouts {
			rng := rand.New(rand.NewPCG(seed+1000, uint64(i)))
			at, stopped := trial(rng, j.make(), size, 1, guardLoss)
			if !stopped {
				missed++
			}
			stage := guardStages[1]
			exposure = append(exposure, 100*stage.share*min(at.Seconds()/stage.bake.Seconds(), 1))
			after = append(after, at.Seconds())
		}
		t.Add(j.name, size.per100(alarms), size.per100(missed), num(mean(exposure), 3), num(quantile(exposure, 0.95), 3), num(quantile(after, 0.5), 0), num(quantile(after, 0.95), 0))
	}
	return t
}

// trial runs one roll-out from a stage on, a bad one for that stage only, and
// returns when new sessions stopped.
func trial(rng *rand.Rand, j judge, size guardSize, from int, loss float64) (time.Duration, bool) {
	now := time.Duration(0)
	stages := guardStages[from:]
	if loss > 0 {
		stages = guardStages[from : from+1]
	}
	for _, stage := range stages {
		for end := now + stage.bake; now < end; now += guardTick {
			n := poisson(rng, size.rate*guardTick.Seconds()*stage.share*guardSample)
			m := poisson(rng, size.rate*guardTick.Seconds()*(1-stage.share)*baseSample)
			if j.observe(draw(rng, m, guardQuality), draw(rng, n, guardQuality-loss)) {
				return now + time.Duration(1+size.lag)*guardTick, true
			}
		}
	}
	return now, false
}

func runSeason(seed uint64) *Table {
	t := &Table{Columns: []string{"held of 100", "withdrawn of 100", "held after p50 s", "p95 s"}}
	for _, c := range []struct {
		name   string
		length time.Duration
		loss   float64
		biased bool
	}{
		{"a good day", 24 * time.Hour, 0, false},
		{"15 points worse for an hour", time.Hour, guardLoss, false},
		{"all verdicts 15 points lower for an hour", time.Hour, guardLoss, true},
		{"all verdicts 40 points lower for an hour", time.Hour, 0.4, true},
	} {
		held, withdrawn := 0, 0
		var after []float64
		for i := range 100 {
			at, hold, gone := season(rand.New(rand.NewPCG(seed, uint64(i))), c.length, c.loss, c.biased)
			if hold {
				held++
				after = append(after, at.Seconds()+seasonLag*guardTick.Seconds())
			}
			if gone {
				withdrawn++
			}
		}
		t.Add(c.name, fmt.Sprint(held), fmt.Sprint(withdrawn), num(quantile(after, 0.5), 0), num(quantile(after, 0.95), 0))
	}
	return t
}

// season runs a watch over two versions: two good hours, then the given time
// with a loss of the first version or, if biased, of all verdicts. It returns
// when the first hold came, and whether a hold and a withdrawal did.
func season(rng *rand.Rand, length time.Duration, loss float64, biased bool) (first time.Duration, held, gone bool) {
	w := rollout.NewWatch()
	now := time.Unix(0, 0)
	const good = 2 * time.Hour
	for at := time.Duration(0); at < good+length+good/2; at += guardTick {
		now = now.Add(guardTick)
		lossA, lossB := 0.0, 0.0
		if at >= good && at < good+length {
			lossA = loss
			if biased {
				lossB = loss
			}
		}
		n := poisson(rng, seasonRate*guardTick.Seconds()*placeSample)
		m := poisson(rng, seasonRate*guardTick.Seconds()*placeSample/4)
		b := w.Observe(versionB, rollout.Evidence{Rated: draw(rng, m, 0.95-lossB)}, now)
		a := w.Observe(versionA, rollout.Evidence{Rated: draw(rng, n, guardQuality-lossA)}, now)
		if !held && (!a.HoldUntil.IsZero() || !b.HoldUntil.IsZero()) {
			first, held = at-good, true
		}
		gone = gone || a.Withdraw || b.Withdraw
	}
	return first, held, gone
}

// manyDraws is the number above which draws follow the normal distribution.
const manyDraws = 200

// draw returns n outcomes of which each is good with chance p.
func draw(rng *rand.Rand, n int, p float64) rollout.Counts {
	if n > manyDraws {
		good := int(math.Round(float64(n)*p + rng.NormFloat64()*math.Sqrt(float64(n)*p*(1-p))))
		good = min(max(good, 0), n)
		return rollout.Counts{Good: good, Bad: n - good}
	}
	c := rollout.Counts{}
	for range n {
		if rng.Float64() < p {
			c.Good++
		} else {
			c.Bad++
		}
	}
	return c
}

// poisson returns a count with the given mean.
func poisson(rng *rand.Rand, mean float64) int {
	if mean > manyDraws {
		return max(int(math.Round(mean+rng.NormFloat64()*math.Sqrt(mean))), 0)
	}
	n := 0
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}

func (s guardSize) per100(n int) string { return num(100*float64(n)/float64(s.rollouts), 2) }

func num(x float64, digits int) string { return fmt.Sprintf("%.*f", digits, x) }

func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(max(len(xs), 1))
}

func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	xs = slices.Sorted(slices.Values(xs))
	return xs[min(int(q*float64(len(xs))), len(xs)-1)]
}
