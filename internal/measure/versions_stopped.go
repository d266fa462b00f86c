package measure

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

func init() {
	registerScenario(Scenario{Name: "rollout-stopped", Description: "a roll-out is stopped halfway through its stages: paused, or withdrawn and later restored", Run: runStopped})
}

// Times and rates of the trial. A change is in force on all nodes after
// propagationTime.
const (
	stoppedRate                = 4.0 // new sessions per second
	stoppedContinueProbability = 0.8 // probability that a session continues after an answer
	stoppedMeanPause           = 30 * time.Second
	stoppedAt                  = 40 * time.Minute
	restoredAt                 = 60 * time.Minute
	stoppedEnd                 = 80 * time.Minute
	secondStageAt              = 20 * time.Minute
	propagationTime            = 10 * time.Second
	stoppedNodes               = 8
	// settledPeriod is the index of the answers after the stop was in force on
	// all nodes.
	settledPeriod = 4
)

var (
	stoppedOld = config.Target{Model: "kuski", Version: "v1"}
	stoppedNew = config.Target{Model: "kuski", Version: "v2"}
)

// stoppedVariant is an operator's action halfway through a roll-out.
type stoppedVariant struct {
	name     string
	withdraw bool
	// stage is the roll-out's stage after the stop, restored its stage after
	// the withdrawal is lifted.
	stage, restored int
	// isUnpinned lets each request of a session choose a version anew.
	isUnpinned bool
}

var stoppedVariants = []stoppedVariant{
	{name: "paused at a half", stage: 1, restored: 1},
	{name: "withdrawn, then restored", withdraw: true, stage: 1, restored: 0},
	{name: "goes on to the end", stage: 2, restored: 2},
	{name: "withdrawn, sessions not kept", withdraw: true, stage: 1, restored: 0, isUnpinned: true},
}

// stoppedPlan returns the version plan at one point of the trial.
func stoppedPlan(stage int, withdrawn bool) *routing.Plan {
	c := &config.Config{
		Models: map[string]*config.Model{stoppedOld.Model: {Default: stoppedOld.Version, Versions: map[string]*config.Version{stoppedOld.Version: {}, stoppedNew.Version: {}}}},
		Rollouts: map[string]*config.Rollout{"next": {
			Model: stoppedOld.Model, From: stoppedOld.Version, To: stoppedNew.Version, Stages: []config.Stage{{Percent: 10}, {Percent: 50}},
		}},
		Organisations: map[string]*config.Organisation{"o": {Allow: []config.Target{stoppedOld, stoppedNew}}},
	}
	rev := &config.Revision{Config: c, Stages: map[string]config.RolloutState{"next": {Stage: stage}}}
	if withdrawn {
		rev.Withdrawn = map[config.Target]config.Withdrawal{stoppedNew: {}}
	}
	return routing.NewPlan(rev)
}

// stoppedTrial simulates the sessions of one variant.
type stoppedTrial struct {
	variant stoppedVariant
	rng     *rand.Rand
	ev      *events
	plans   [settledPeriod]*routing.Plan
	// answers and firstAnswers count the answers, and those that open a
	// session, by period and whether the version was new. moved counts answers
	// by a version other than that of the session's previous answer,
	// unversioned requests without a version.
	answers, firstAnswers [settledPeriod + 1][2]int
	moved, unversioned    int
}

// periodAt returns the period, 0 to 3, that a node is in. Each node applies a
// change at its own time within propagationTime.
func periodAt(node int, elapsed time.Duration) int {
	elapsed -= time.Duration(node) * propagationTime / stoppedNodes
	switch {
	case elapsed < secondStageAt:
		return 0
	case elapsed < stoppedAt:
		return 1
	case elapsed < restoredAt:
		return 2
	default:
		return 3
	}
}

func runStopped(seed uint64) *Table {
	t := &Table{Columns: []string{"new version before %", "after the stop %", "new sessions after the stop %", "after 10 s %", "after the restore %", "sessions moved per 1000 answers", "without a version"}}
	for _, variant := range stoppedVariants {
		runStoppedVariant(seed, variant).addRow(t)
	}
	return t
}

func runStoppedVariant(seed uint64, variant stoppedVariant) *stoppedTrial {
	s := &stoppedTrial{variant: variant, rng: rand.New(rand.NewPCG(seed, 5)), ev: newEvents()}
	s.plans = [settledPeriod]*routing.Plan{stoppedPlan(0, false), stoppedPlan(1, false), stoppedPlan(variant.stage, variant.withdraw), stoppedPlan(variant.restored, false)}
	s.startSession(0)
	s.ev.run(epoch.Add(stoppedEnd))
	return s
}

// startSession starts session n and schedules the next one.
func (s *stoppedTrial) startSession(n int) {
	s.serveRequest(strconv.Itoa(n), config.Target{}, true)
	s.ev.after(time.Duration(s.rng.ExpFloat64()/stoppedRate*float64(time.Second)), func() { s.startSession(n + 1) })
}

// serveRequest serves one request of a session at a random node.
func (s *stoppedTrial) serveRequest(session string, pin config.Target, first bool) {
	elapsed := s.ev.now.Sub(epoch)
	p := periodAt(s.rng.IntN(stoppedNodes), elapsed)
	req := routing.VersionRequest{Organisation: "o", Asked: config.Target{Model: stoppedOld.Model}, Session: session, Pin: pin}
	if s.variant.isUnpinned {
		req.Pin, req.Session = config.Target{}, strconv.FormatUint(s.rng.Uint64(), 10)
	}
	targets := s.plans[p].Versions(nil, req)
	if len(targets) == 0 {
		s.unversioned++
		return
	}
	s.countAnswer(elapsed, targets[0], first)
	if !first && targets[0] != pin {
		s.moved++
	}
	if s.rng.Float64() < stoppedContinueProbability {
		s.ev.after(time.Duration(s.rng.ExpFloat64()*float64(stoppedMeanPause)), func() { s.serveRequest(session, targets[0], false) })
	}
}

func (s *stoppedTrial) countAnswer(elapsed time.Duration, target config.Target, first bool) {
	p, i := periodAt(0, elapsed), 0
	if target == stoppedNew {
		i = 1
	}
	s.answers[p][i]++
	if p == 2 && elapsed > stoppedAt+propagationTime {
		s.answers[settledPeriod][i]++
	}
	if first {
		s.firstAnswers[p][i]++
	}
}

func (s *stoppedTrial) addRow(t *Table) {
	newShare := func(n [2]int) string { return formatPercent(n[1], n[0]+n[1]) }
	total := 0
	for p := range settledPeriod {
		total += s.answers[p][0] + s.answers[p][1]
	}
	t.AddRow(s.variant.name, newShare(s.answers[1]), newShare(s.answers[2]), newShare(s.firstAnswers[2]), newShare(s.answers[settledPeriod]), newShare(s.answers[3]),
		fmt.Sprintf("%.1f", 1000*float64(s.moved)/float64(total)), fmt.Sprint(s.unversioned))
}
