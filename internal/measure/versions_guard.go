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
	registerScenario(Scenario{Name: "guard", Description: "roll-outs of a good version and of one 15 points worse: false alarms and exposure by sequential test", Run: func(seed uint64) *Table { return runGuard(seed, guardSetup{rollouts: 1000, rate: 12, lagTicks: 2}) }})
	registerScenario(Scenario{Name: "guard-large", Description: "the same for one of 8 models at the two-year size", Run: func(seed uint64) *Table { return runGuard(seed, guardSetup{rollouts: 200, rate: 240, lagTicks: 3}) }})
	registerScenario(Scenario{Name: "season", Description: "a version in place turns 15 points worse mid-season, and an hour of a biased rating service", Run: runSeason})
}

const (
	guardTick        = 10 * time.Second
	seasonRate       = 12.0 // answers per second of one model
	guardQuality     = 0.82
	guardLoss        = 0.15
	newVersionSample = 1.0 // rated share of the new version's answers
	oldVersionSample = 1.0 // rated share of the other answers during a roll-out
	steadySample     = 0.2 // rated share at other times
	seasonLagTicks   = 2   // ticks until verdicts and reports arrive
)

// guardSetup holds the number of simulated roll-outs and the load of the fleet.
type guardSetup struct {
	rollouts int
	rate     float64 // answers per second of the model
	lagTicks int     // ticks until verdicts and reports arrive
}

// guardStages are the stages of the example roll-outs.
var guardStages = []struct {
	share float64
	bake  time.Duration
}{{0.01, 10 * time.Minute}, {0.10, 30 * time.Minute}, {0.50, time.Hour}, {1, time.Hour}}

// stoppingTest is a statistical test that detects a bad version.
type stoppingTest interface {
	// observe adds a block of verdicts and reports whether new sessions stop.
	observe(old, next rollout.Counts) bool
}

type guardTest struct {
	guard       *rollout.Guard
	now         time.Time
	stopsAtHold bool
}

func (test *guardTest) observe(old, next rollout.Counts) bool {
	test.now = test.now.Add(guardTick)
	v := test.guard.Observe(rollout.Evidence{Rated: old}, rollout.Evidence{Rated: next}, test.now)
	return v.Withdraw || (test.stopsAtHold && !v.HoldUntil.IsZero())
}

// repeatedZTest compares the pass rates at each look as if it were the only
// one.
type repeatedZTest struct{ old, next rollout.Counts }

const (
	zThreshold   = 2.326 // one-sided 1 in 100
	zMinVerdicts = 30
)

func (test *repeatedZTest) observe(old, next rollout.Counts) bool {
	test.old, test.next = test.old.Plus(old), test.next.Plus(next)
	if test.next.Total() < zMinVerdicts || test.old.Total() < zMinVerdicts {
		return false
	}
	diff, variance := qualityLoss(test.old, test.next)
	return diff/math.Sqrt(variance) > zThreshold
}

func qualityLoss(old, next rollout.Counts) (loss, variance float64) {
	n0, n1 := float64(old.Total()), float64(next.Total())
	p0, p1 := float64(old.Good)/n0, float64(next.Good)/n1
	p := (float64(old.Good+next.Good) + 1) / (n0 + n1 + 2)
	return p0 - p1, p * (1 - p) * (1/n0 + 1/n1)
}

// mixtureTest is the mixture sequential probability ratio test over a normal
// loss (Johari et al., 2017).
type mixtureTest struct{ old, next rollout.Counts }

const mixtureStdDev = 0.1

func (test *mixtureTest) observe(old, next rollout.Counts) bool {
	test.old, test.next = test.old.Plus(old), test.next.Plus(next)
	if test.next.Total() == 0 || test.old.Total() == 0 {
		return false
	}
	loss, v := qualityLoss(test.old, test.next)
	t := mixtureStdDev * mixtureStdDev
	ratio := math.Sqrt(v/(v+t)) * math.Exp(loss*loss*t/(2*v*(v+t)))
	return loss > 0 && ratio >= 1/rollout.FalseAlarmBound
}

// sprtTest is Wald's sequential probability ratio test of a fixed loss against
// none. It treats the measured pass rate of the old version as exact.
type sprtTest struct {
	old      rollout.Counts
	logRatio float64
}

const sprtTestedLoss = 0.10

func (test *sprtTest) observe(old, next rollout.Counts) bool {
	if test.old.Total() >= zMinVerdicts {
		p := float64(test.old.Good) / float64(test.old.Total())
		q := max(p-sprtTestedLoss, 0.01)
		p = min(p, 0.99)
		test.logRatio += float64(next.Good)*math.Log(q/p) + float64(next.Bad)*math.Log((1-q)/(1-p))
		test.logRatio = max(test.logRatio, math.Log(rollout.FalseAlarmBound))
	}
	test.old = test.old.Plus(old)
	return test.logRatio >= math.Log(1/rollout.FalseAlarmBound)
}

var stoppingTests = []struct {
	name string
	make func() stoppingTest
}{
	{"fixed threshold, looked at each block", func() stoppingTest { return &repeatedZTest{} }},
	{"probability ratio test, loss 10 points", func() stoppingTest { return &sprtTest{} }},
	{"normal mixture ratio test", func() stoppingTest { return &mixtureTest{} }},
	{"e-process, withdrawal", func() stoppingTest { return &guardTest{guard: rollout.NewGuard()} }},
	{"e-process, first hold", func() stoppingTest { return &guardTest{guard: rollout.NewGuard(), stopsAtHold: true} }},
}

func runGuard(seed uint64, setup guardSetup) *Table {
	t := &Table{Columns: []string{"alarms on a good version per 100", "bad version missed per 100", "exposure mean %", "exposure p95 %", "stopped after p50 s", "p95 s"}}
	for _, test := range stoppingTests {
		alarms := 0
		for i := range setup.rollouts {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			if _, stopped := runGuardTrial(rng, test.make(), setup, 0, 0); stopped {
				alarms++
			}
		}
		var exposure, after []float64
		missed := 0
		for i := range setup.rollouts {
			rng := rand.New(rand.NewPCG(seed+1000, uint64(i)))
			at, stopped := runGuardTrial(rng, test.make(), setup, 1, guardLoss)
			if !stopped {
				missed++
			}
			stage := guardStages[1]
			exposure = append(exposure, 100*stage.share*min(at.Seconds()/stage.bake.Seconds(), 1))
			after = append(after, at.Seconds())
		}
		t.AddRow(test.name, setup.per100(alarms), setup.per100(missed), formatFloat(mean(exposure), 3), formatFloat(quantile(exposure, 0.95), 3), formatFloat(quantile(after, 0.5), 0), formatFloat(quantile(after, 0.95), 0))
	}
	return t
}

// runGuardTrial simulates one roll-out from a stage on; with a loss, only that
// stage. It returns when new sessions stopped, and whether they did.
func runGuardTrial(rng *rand.Rand, test stoppingTest, setup guardSetup, from int, loss float64) (time.Duration, bool) {
	now := time.Duration(0)
	stages := guardStages[from:]
	if loss > 0 {
		stages = guardStages[from : from+1]
	}
	for _, stage := range stages {
		for end := now + stage.bake; now < end; now += guardTick {
			n := drawPoisson(rng, setup.rate*guardTick.Seconds()*stage.share*newVersionSample)
			m := drawPoisson(rng, setup.rate*guardTick.Seconds()*(1-stage.share)*oldVersionSample)
			if test.observe(drawVerdicts(rng, m, guardQuality), drawVerdicts(rng, n, guardQuality-loss)) {
				return now + time.Duration(1+setup.lagTicks)*guardTick, true
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
			at, isHeld, isWithdrawn := runSeasonTrial(rand.New(rand.NewPCG(seed, uint64(i))), c.length, c.loss, c.biased)
			if isHeld {
				held++
				after = append(after, at.Seconds()+seasonLagTicks*guardTick.Seconds())
			}
			if isWithdrawn {
				withdrawn++
			}
		}
		t.AddRow(c.name, fmt.Sprint(held), fmt.Sprint(withdrawn), formatFloat(quantile(after, 0.5), 0), formatFloat(quantile(after, 0.95), 0))
	}
	return t
}

// runSeasonTrial watches two versions: two good hours, then the given time with
// a loss of the first version or, if isBiased, of all verdicts. It returns when
// the first hold came, and whether there was a hold and a withdrawal.
func runSeasonTrial(rng *rand.Rand, length time.Duration, loss float64, isBiased bool) (firstHold time.Duration, isHeld, isWithdrawn bool) {
	w := rollout.NewWatch()
	now := time.Unix(0, 0)
	const good = 2 * time.Hour
	for at := time.Duration(0); at < good+length+good/2; at += guardTick {
		now = now.Add(guardTick)
		cheapLoss, strongLoss := 0.0, 0.0
		if at >= good && at < good+length {
			cheapLoss = loss
			if isBiased {
				strongLoss = loss
			}
		}
		n := drawPoisson(rng, seasonRate*guardTick.Seconds()*steadySample)
		m := drawPoisson(rng, seasonRate*guardTick.Seconds()*steadySample/4)
		strong := w.Observe(strongVersion, rollout.Evidence{Rated: drawVerdicts(rng, m, 0.95-strongLoss)}, now)
		cheap := w.Observe(cheapVersion, rollout.Evidence{Rated: drawVerdicts(rng, n, guardQuality-cheapLoss)}, now)
		if !isHeld && (!cheap.HoldUntil.IsZero() || !strong.HoldUntil.IsZero()) {
			firstHold, isHeld = at-good, true
		}
		isWithdrawn = isWithdrawn || cheap.Withdraw || strong.Withdraw
	}
	return firstHold, isHeld, isWithdrawn
}

// manyDraws is the number above which draws are approximated by the normal
// distribution.
const manyDraws = 200

// drawVerdicts returns n random verdicts, each good with probability p.
func drawVerdicts(rng *rand.Rand, n int, p float64) rollout.Counts {
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

// drawPoisson returns a Poisson count with the given mean.
func drawPoisson(rng *rand.Rand, mean float64) int {
	if mean > manyDraws {
		return max(int(math.Round(mean+rng.NormFloat64()*math.Sqrt(mean))), 0)
	}
	n := 0
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}

func (s guardSetup) per100(n int) string { return formatFloat(100*float64(n)/float64(s.rollouts), 2) }

func formatFloat(x float64, digits int) string { return fmt.Sprintf("%.*f", digits, x) }

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
