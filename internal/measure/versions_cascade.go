package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

func init() {
	registerScenario(Scenario{Name: "cascade", Description: "cost at the quality target: learned cascade beside always-best, always-cheapest, fixed thresholds and an oracle, also with ratings late, gone and biased for an hour", Run: runCascade})
}

const (
	cascadeTarget  = 0.8
	cascadeHours   = 8
	cascadeRate    = 12.0 // requests per second of the whole fleet
	cascadeNodes   = 8    // each learns from its own requests only
	cascadeOrgs    = 10
	cascadeSample  = 0.2
	verdictDelay   = 2 * time.Second
	lateDelay      = time.Hour
	disturbedFrom  = 4 * time.Hour
	disturbedUntil = 5 * time.Hour
	cheapCost      = 0.4
	strongCost     = 3.0
	cheapPrior     = 0.82
	strongPrior    = 0.95
	trustInterval  = 10 * time.Second
)

// cascadeKinds are the kinds of requests, with their share and the
// probabilities that answers of the cheap and of the strong version pass.
var cascadeKinds = []struct {
	name   string
	share  float64
	cheap  float64
	strong float64
}{
	{"chat", 0.34, 0.93, 0.98},
	{"timetable", 0.18, 0.89, 0.98},
	{"inventory", 0.14, 0.86, 0.97},
	{"summary", 0.10, 0.83, 0.96},
	{"confirmation", 0.10, 0.62, 0.95},
	{"draft", 0.09, 0.45, 0.94},
	{"rota", 0.05, 0.25, 0.92},
}

// disturbance is a fault of the rating service that lasts an hour.
type disturbance string

const (
	undisturbed disturbance = "calm"
	ratingsLate disturbance = "ratings an hour late"
	ratingsGone disturbance = "ratings gone"
	allPass     disturbance = "all verdicts pass"
	allFail     disturbance = "all verdicts fail"
)

// cascadeTotals adds up the results of a policy.
type cascadeTotals struct {
	cost          float64
	passed        int
	count         int
	disturbedHour cascadeHourTotals
}

// cascadeHourTotals adds up the requests of the disturbed hour.
type cascadeHourTotals struct {
	cost   float64
	passed int
	count  int
}

// cascadePolicy chooses the steps of one request.
type cascadePolicy func(n *cascadeNode, org string, kind int, canVerify bool, draw float64) routing.Steps

// cascadeNode is the state that one node has learned.
type cascadeNode struct {
	passProbabilities *routing.PassProbabilities
	watch             *rollout.Watch
	evidence          map[config.Target]rollout.Evidence
	evidenceSince     time.Time
	pendingVerdicts   []pendingVerdict
}

type pendingVerdict struct {
	at        time.Time
	org       string
	kind      string
	target    config.Target
	passed    bool
	isSampled bool
}

var cascadePolicies = []struct {
	name   string
	choose cascadePolicy
}{
	{"always the best", func(*cascadeNode, string, int, bool, float64) routing.Steps {
		return routing.Steps{First: strongVersion}
	}},
	{"always the cheapest", func(*cascadeNode, string, int, bool, float64) routing.Steps {
		return routing.Steps{First: cheapVersion}
	}},
	{"cheap then best, always", func(_ *cascadeNode, _ string, _ int, canVerify bool, _ float64) routing.Steps {
		if !canVerify {
			return routing.Steps{First: strongVersion}
		}
		return routing.Steps{First: cheapVersion, Second: strongVersion}
	}},
	{"fixed thresholds of the configuration", fixedSteps},
	{"learned", learnedSteps},
	{"oracle", oracleSteps},
}

func stepsFor(cheap, strong routing.Estimate, canVerify bool, draw float64) routing.Steps {
	return routing.ChooseSteps(routing.CascadeRequest{QualityTarget: cascadeTarget, CanVerify: canVerify, Draw: draw, Candidates: []routing.Candidate{
		{Target: cheapVersion, Cost: cheapCost, Pass: cheap}, {Target: strongVersion, Cost: strongCost, Pass: strong},
	}})
}

func exactEstimate(p float64) routing.Estimate { return routing.Estimate{Mean: p, Verdicts: 1e9} }

func fixedSteps(_ *cascadeNode, _ string, _ int, canVerify bool, _ float64) routing.Steps {
	return stepsFor(exactEstimate(cheapPrior), exactEstimate(strongPrior), canVerify, 1)
}

func oracleSteps(_ *cascadeNode, _ string, kind int, canVerify bool, _ float64) routing.Steps {
	k := cascadeKinds[kind]
	return stepsFor(exactEstimate(k.cheap), exactEstimate(k.strong), canVerify, 1)
}

func learnedSteps(n *cascadeNode, org string, kind int, canVerify bool, draw float64) routing.Steps {
	name := cascadeKinds[kind].name
	return stepsFor(n.passProbabilities.Estimate(org, name, cheapVersion, cheapPrior), n.passProbabilities.Estimate(org, name, strongVersion, strongPrior), canVerify && n.watch.RatingsTrusted(), draw)
}

func runCascade(seed uint64) *Table {
	t := &Table{Columns: []string{"disturbed hour", "cost / oracle's", "cost / best's", "quality", "quality in the hour", "cost / best's in the hour"}}
	oracle := runCascadePolicy(seed, oracleSteps, undisturbed)
	best := runCascadePolicy(seed, cascadePolicies[0].choose, undisturbed)
	add := func(name string, d disturbance, u *cascadeTotals) {
		t.AddRow(name, string(d), formatFloat(u.cost/oracle.cost, 3), formatFloat(u.cost/best.cost, 3), formatFloat(float64(u.passed)/float64(u.count), 3),
			formatFloat(float64(u.disturbedHour.passed)/float64(u.disturbedHour.count), 3), formatFloat(u.disturbedHour.cost/best.disturbedHour.cost, 3))
	}
	for _, p := range cascadePolicies {
		add(p.name, undisturbed, runCascadePolicy(seed, p.choose, undisturbed))
	}
	for _, d := range []disturbance{ratingsLate, ratingsGone, allPass, allFail} {
		add("learned", d, runCascadePolicy(seed, learnedSteps, d))
	}
	return t
}

// runCascadePolicy serves the requests of a seed under one policy.
func runCascadePolicy(seed uint64, choose cascadePolicy, d disturbance) *cascadeTotals {
	arrivals, outcomes := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	nodes := make([]*cascadeNode, cascadeNodes)
	for i := range nodes {
		nodes[i] = &cascadeNode{passProbabilities: routing.NewPassProbabilities(), watch: rollout.NewWatch(), evidence: map[config.Target]rollout.Evidence{}}
	}
	totals := &cascadeTotals{}
	for at := time.Duration(0); at < cascadeHours*time.Hour; at += time.Duration(arrivals.ExpFloat64() / cascadeRate * float64(time.Second)) {
		now := time.Unix(0, 0).Add(at)
		n := nodes[arrivals.IntN(len(nodes))]
		org, kind := fmt.Sprint(arrivals.IntN(cascadeOrgs)), drawKind(arrivals)
		disturbed := at >= disturbedFrom && at < disturbedUntil
		n.processVerdicts(now)
		canVerify := !disturbed || (d != ratingsLate && d != ratingsGone)
		runSteps(totals, n, outcomes, choose(n, org, kind, canVerify, outcomes.Float64()), cascadeRequest{now, org, kind, disturbed, d})
	}
	return totals
}

// cascadeRequest is a request with the state of the rating service.
type cascadeRequest struct {
	now         time.Time
	org         string
	kind        int
	disturbed   bool
	disturbance disturbance
}

// runSteps executes a request's steps and counts the result.
func runSteps(totals *cascadeTotals, n *cascadeNode, outcomes *rand.Rand, s routing.Steps, r cascadeRequest) {
	good, cost := drawAnswer(outcomes, s.First, r.kind)
	verdict := r.verdict(good)
	n.queueVerdict(outcomes, s.First, verdict, s.NeedsVerdict(), r)
	if s.NeedsVerdict() && !verdict {
		secondCost := 0.0
		good, secondCost = drawAnswer(outcomes, s.Second, r.kind)
		cost += secondCost
		n.queueVerdict(outcomes, s.Second, r.verdict(good), false, r)
	}
	totals.add(good, cost, r.disturbed)
}

func (u *cascadeTotals) add(good bool, cost float64, disturbed bool) {
	u.count++
	u.cost += cost
	if good {
		u.passed++
	}
	if !disturbed {
		return
	}
	u.disturbedHour.count++
	u.disturbedHour.cost += cost
	if good {
		u.disturbedHour.passed++
	}
}

func drawAnswer(outcomes *rand.Rand, t config.Target, kind int) (good bool, cost float64) {
	k := cascadeKinds[kind]
	if t == cheapVersion {
		return outcomes.Float64() < k.cheap, cheapCost
	}
	return outcomes.Float64() < k.strong, strongCost
}

// verdict returns the rating service's verdict on an answer.
func (r cascadeRequest) verdict(good bool) bool {
	switch {
	case r.disturbed && r.disturbance == allPass:
		return true
	case r.disturbed && r.disturbance == allFail:
		return false
	default:
		return good
	}
}

// queueVerdict queues the verdict on an answer, if it was rated.
func (n *cascadeNode) queueVerdict(outcomes *rand.Rand, t config.Target, passed, verified bool, r cascadeRequest) {
	sampled := outcomes.Float64() < cascadeSample
	if (!sampled && !verified) || (r.disturbed && r.disturbance == ratingsGone) {
		return
	}
	delay := verdictDelay
	if r.disturbed && r.disturbance == ratingsLate {
		delay = lateDelay
	}
	n.pendingVerdicts = append(n.pendingVerdicts, pendingVerdict{r.now.Add(delay), r.org, cascadeKinds[r.kind].name, t, passed, sampled})
}

// processVerdicts consumes the verdicts that have arrived.
func (n *cascadeNode) processVerdicts(now time.Time) {
	for len(n.pendingVerdicts) > 0 && !n.pendingVerdicts[0].at.After(now) {
		v := n.pendingVerdicts[0]
		n.pendingVerdicts = n.pendingVerdicts[1:]
		if n.watch.RatingsTrusted() {
			n.passProbabilities.Learn(v.org, v.kind, v.target, v.passed, now)
		}
		if v.isSampled {
			e := rollout.Evidence{Rated: rollout.Counts{Bad: 1}}
			if v.passed {
				e.Rated = rollout.Counts{Good: 1}
			}
			n.evidence[v.target] = n.evidence[v.target].Plus(e)
		}
	}
	if now.Sub(n.evidenceSince) < trustInterval {
		return
	}
	n.evidenceSince = now
	for _, t := range []config.Target{cheapVersion, strongVersion} {
		n.watch.Observe(t, n.evidence[t], now)
	}
	clear(n.evidence)
}

func drawKind(rng *rand.Rand) int {
	x := rng.Float64()
	for i, k := range cascadeKinds {
		if x -= k.share; x < 0 {
			return i
		}
	}
	return len(cascadeKinds) - 1
}
