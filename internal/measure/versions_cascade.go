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
	register(Scenario{Name: "cascade", About: "cost at the quality target: learned cascade beside always-best, always-cheapest, fixed thresholds and an oracle, also with ratings late, gone and biased for an hour", Run: runCascade})
}

const (
	cascadeTarget  = 0.8
	cascadeHours   = 8
	cascadeRate    = 12.0 // requests a second of the whole fleet
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
	trustBlock     = 10 * time.Second
)

// kinds of work with their share and the chance that the cheap and the strong
// version's answers pass.
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

// disturbance is what happens to the rating service for an hour.
type disturbance string

const (
	calm       disturbance = "calm"
	ratingLate disturbance = "ratings an hour late"
	ratingGone disturbance = "ratings gone"
	allPass    disturbance = "all verdicts pass"
	allFail    disturbance = "all verdicts fail"
)

// cascadeUse sums a policy's run up.
type cascadeUse struct {
	cost   float64
	passed int
	count  int
	hour   cascadePart
}

// cascadePart sums the disturbed hour and the one after it.
type cascadePart struct {
	cost   float64
	passed int
	count  int
}

// cascadePolicy chooses the steps of one request.
type cascadePolicy func(n *cascadeNode, org string, kind int, verify bool, draw float64) routing.Steps

// cascadeNode is what one node has learned.
type cascadeNode struct {
	chances *routing.PassProbabilities
	watch   *rollout.Watch
	blocks  map[config.Target]rollout.Evidence
	block   time.Time
	queue   []lateVerdict
}

type lateVerdict struct {
	at     time.Time
	org    string
	kind   string
	target config.Target
	passed bool
	watch  bool
}

var cascadePolicies = []struct {
	name   string
	choose cascadePolicy
}{
	{"always the best", func(*cascadeNode, string, int, bool, float64) routing.Steps { return routing.Steps{First: versionB} }},
	{"always the cheapest", func(*cascadeNode, string, int, bool, float64) routing.Steps { return routing.Steps{First: versionA} }},
	{"cheap then best, always", func(_ *cascadeNode, _ string, _ int, verify bool, _ float64) routing.Steps {
		if !verify {
			return routing.Steps{First: versionB}
		}
		return routing.Steps{First: versionA, Second: versionB}
	}},
	{"fixed thresholds of the configuration", fixedSteps},
	{"learned", learnedSteps},
	{"oracle", oracleSteps},
}

func stepsFor(cheap, strong routing.Estimate, verify bool, draw float64) routing.Steps {
	return routing.ChooseSteps(routing.CascadeRequest{QualityTarget: cascadeTarget, CanVerify: verify, Draw: draw, Candidates: []routing.Candidate{
		{Target: versionA, Cost: cheapCost, Pass: cheap}, {Target: versionB, Cost: strongCost, Pass: strong},
	}})
}

func certain(p float64) routing.Estimate { return routing.Estimate{Mean: p, Verdicts: 1e9} }

func fixedSteps(_ *cascadeNode, _ string, _ int, verify bool, _ float64) routing.Steps {
	return stepsFor(certain(cheapPrior), certain(strongPrior), verify, 1)
}

func oracleSteps(_ *cascadeNode, _ string, kind int, verify bool, _ float64) routing.Steps {
	k := cascadeKinds[kind]
	return stepsFor(certain(k.cheap), certain(k.strong), verify, 1)
}

func learnedSteps(n *cascadeNode, org string, kind int, verify bool, draw float64) routing.Steps {
	name := cascadeKinds[kind].name
	return stepsFor(n.chances.Estimate(org, name, versionA, cheapPrior), n.chances.Estimate(org, name, versionB, strongPrior), verify && n.watch.RatingsTrusted(), draw)
}

func runCascade(seed uint64) *Table {
	t := &Table{Columns: []string{"disturbed hour", "cost / oracle's", "cost / best's", "quality", "quality in the hour", "cost / best's in the hour"}}
	oracle := cascadeRun(seed, oracleSteps, calm)
	best := cascadeRun(seed, cascadePolicies[0].choose, calm)
	add := func(name string, d disturbance, u *cascadeUse) {
		t.Add(name, string(d), num(u.cost/oracle.cost, 3), num(u.cost/best.cost, 3), num(float64(u.passed)/float64(u.count), 3),
			num(float64(u.hour.passed)/float64(u.hour.count), 3), num(u.hour.cost/best.hour.cost, 3))
	}
	for _, p := range cascadePolicies {
		add(p.name, calm, cascadeRun(seed, p.choose, calm))
	}
	for _, d := range []disturbance{ratingLate, ratingGone, allPass, allFail} {
		add("learned", d, cascadeRun(seed, learnedSteps, d))
	}
	return t
}

// cascadeRun serves the same requests by one policy.
func cascadeRun(seed uint64, choose cascadePolicy, d disturbance) *cascadeUse {
	arrivals, luck := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	nodes := make([]*cascadeNode, cascadeNodes)
	for i := range nodes {
		nodes[i] = &cascadeNode{chances: routing.NewPassProbabilities(), watch: rollout.NewWatch(), blocks: map[config.Target]rollout.Evidence{}}
	}
	use := &cascadeUse{}
	for at := time.Duration(0); at < cascadeHours*time.Hour; at += time.Duration(arrivals.ExpFloat64() / cascadeRate * float64(time.Second)) {
		now := time.Unix(0, 0).Add(at)
		n := nodes[arrivals.IntN(len(nodes))]
		org, kind := fmt.Sprint(arrivals.IntN(cascadeOrgs)), drawKind(arrivals)
		disturbed := at >= disturbedFrom && at < disturbedUntil
		n.hear(now)
		verify := !disturbed || (d != ratingLate && d != ratingGone)
		serve(use, n, luck, choose(n, org, kind, verify, luck.Float64()), served{now, org, kind, disturbed, d})
	}
	return use
}

// served is one request with the state of the rating service.
type served struct {
	now       time.Time
	org       string
	kind      int
	disturbed bool
	d         disturbance
}

// serve carries a request's steps out.
func serve(use *cascadeUse, n *cascadeNode, luck *rand.Rand, s routing.Steps, r served) {
	good, cost := answerOf(luck, s.First, r.kind)
	verdict := r.verdict(good)
	n.learn(luck, s.First, verdict, s.NeedsVerdict(), r)
	if s.NeedsVerdict() && !verdict {
		more := 0.0
		good, more = answerOf(luck, s.Second, r.kind)
		cost += more
		n.learn(luck, s.Second, r.verdict(good), false, r)
	}
	use.add(good, cost, r.disturbed)
}

func (u *cascadeUse) add(good bool, cost float64, disturbed bool) {
	u.count++
	u.cost += cost
	if good {
		u.passed++
	}
	if !disturbed {
		return
	}
	u.hour.count++
	u.hour.cost += cost
	if good {
		u.hour.passed++
	}
}

func answerOf(luck *rand.Rand, t config.Target, kind int) (good bool, cost float64) {
	k := cascadeKinds[kind]
	if t == versionA {
		return luck.Float64() < k.cheap, cheapCost
	}
	return luck.Float64() < k.strong, strongCost
}

// verdict is what the rating service says of an answer.
func (r served) verdict(good bool) bool {
	switch {
	case r.disturbed && r.d == allPass:
		return true
	case r.disturbed && r.d == allFail:
		return false
	default:
		return good
	}
}

// learn queues the verdict on an answer, if it was rated.
func (n *cascadeNode) learn(luck *rand.Rand, t config.Target, passed, verified bool, r served) {
	sampled := luck.Float64() < cascadeSample
	if (!sampled && !verified) || (r.disturbed && r.d == ratingGone) {
		return
	}
	delay := verdictDelay
	if r.disturbed && r.d == ratingLate {
		delay = lateDelay
	}
	n.queue = append(n.queue, lateVerdict{r.now.Add(delay), r.org, cascadeKinds[r.kind].name, t, passed, sampled})
}

// hear takes the verdicts that are there by now.
func (n *cascadeNode) hear(now time.Time) {
	for len(n.queue) > 0 && !n.queue[0].at.After(now) {
		v := n.queue[0]
		n.queue = n.queue[1:]
		if n.watch.RatingsTrusted() {
			n.chances.Learn(v.org, v.kind, v.target, v.passed, now)
		}
		if v.watch {
			e := rollout.Evidence{Rated: rollout.Counts{Bad: 1}}
			if v.passed {
				e.Rated = rollout.Counts{Good: 1}
			}
			n.blocks[v.target] = n.blocks[v.target].Plus(e)
		}
	}
	if now.Sub(n.block) < trustBlock {
		return
	}
	n.block = now
	for _, t := range []config.Target{versionA, versionB} {
		n.watch.Observe(t, n.blocks[t], now)
	}
	clear(n.blocks)
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
