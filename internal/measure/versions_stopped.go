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
	register(Scenario{Name: "rollout-stopped", About: "a roll-out is stopped halfway through its stages: paused, or withdrawn and later restored", Run: runStopped})
}

// Times and rates of the trial. A change is in force everywhere after inForce.
const (
	stoppedRate  = 4.0 // new sessions a second
	stoppedTurns = 0.8 // chance that a session goes on
	stoppedPause = 30 * time.Second
	stoppedAt    = 40 * time.Minute
	restoredAt   = 60 * time.Minute
	stoppedEnd   = 80 * time.Minute
	halfAt       = 20 * time.Minute
	inForce      = 10 * time.Second
	stoppedNodes = 8
	// settled numbers the answers after the stop was in force everywhere.
	settled = 4
)

var (
	stoppedOld = config.Target{Model: "kuski", Version: "v1"}
	stoppedNew = config.Target{Model: "kuski", Version: "v2"}
)

// stoppedWay is what the operator does halfway.
type stoppedWay struct {
	name     string
	withdraw bool
	// stage is where the roll-out stands after the stop, restored after the
	// withdrawal was lifted.
	stage, restored int
	// unpinned sessions are placed anew at each request.
	unpinned bool
}

var stoppedWays = []stoppedWay{
	{name: "paused at a half", stage: 1, restored: 1},
	{name: "withdrawn, then restored", withdraw: true, stage: 1, restored: 0},
	{name: "goes on to the end", stage: 2, restored: 2},
	{name: "withdrawn, sessions not kept", withdraw: true, stage: 1, restored: 0, unpinned: true},
}

// stoppedPlan is the choice of versions at a moment of the trial.
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

// stoppedTrial follows the sessions of one way.
type stoppedTrial struct {
	way   stoppedWay
	rng   *rand.Rand
	ev    *events
	plans [settled]*routing.Plan
	// answers and fresh count the answers and the first answers of sessions
	// by period and whether the version was new; moved counts answers by
	// another version than the one before, none those without a version.
	answers, fresh [settled + 1][2]int
	moved, none    int
}

// period numbers the revisions that a node has at a moment: each node follows
// a change at its own time within inForce.
func period(node int, since time.Duration) int {
	since -= time.Duration(node) * inForce / stoppedNodes
	switch {
	case since < halfAt:
		return 0
	case since < stoppedAt:
		return 1
	case since < restoredAt:
		return 2
	default:
		return 3
	}
}

func runStopped(seed uint64) *Table {
	t := &Table{Columns: []string{"new version before %", "after the stop %", "new sessions after the stop %", "after 10 s %", "after the restore %", "sessions moved per 1000 answers", "without a version"}}
	for _, way := range stoppedWays {
		runStoppedWay(seed, way).add(t)
	}
	return t
}

func runStoppedWay(seed uint64, way stoppedWay) *stoppedTrial {
	s := &stoppedTrial{way: way, rng: rand.New(rand.NewPCG(seed, 5)), ev: newEvents()}
	s.plans = [settled]*routing.Plan{stoppedPlan(0, false), stoppedPlan(1, false), stoppedPlan(way.stage, way.withdraw), stoppedPlan(way.restored, false)}
	s.begin(0)
	s.ev.run(epoch.Add(stoppedEnd))
	return s
}

// begin starts the sessions, one after the other.
func (s *stoppedTrial) begin(n int) {
	s.answer(strconv.Itoa(n), config.Target{}, true)
	s.ev.after(time.Duration(s.rng.ExpFloat64()/stoppedRate*float64(time.Second)), func() { s.begin(n + 1) })
}

// answer serves one request of a session at some node.
func (s *stoppedTrial) answer(session string, pin config.Target, first bool) {
	since := s.ev.now.Sub(epoch)
	p := period(s.rng.IntN(stoppedNodes), since)
	req := routing.VersionRequest{Organisation: "o", Asked: config.Target{Model: stoppedOld.Model}, Session: session, Pin: pin}
	if s.way.unpinned {
		req.Pin, req.Session = config.Target{}, strconv.FormatUint(s.rng.Uint64(), 10)
	}
	got := s.plans[p].Versions(nil, req)
	if len(got) == 0 {
		s.none++
		return
	}
	s.count(since, got[0], first)
	if !first && got[0] != pin {
		s.moved++
	}
	if s.rng.Float64() < stoppedTurns {
		s.ev.after(time.Duration(s.rng.ExpFloat64()*float64(stoppedPause)), func() { s.answer(session, got[0], false) })
	}
}

func (s *stoppedTrial) count(since time.Duration, got config.Target, first bool) {
	p, i := period(0, since), 0
	if got == stoppedNew {
		i = 1
	}
	s.answers[p][i]++
	if p == 2 && since > stoppedAt+inForce {
		s.answers[settled][i]++
	}
	if first {
		s.fresh[p][i]++
	}
}

func (s *stoppedTrial) add(t *Table) {
	share := func(n [2]int) string { return percent(n[1], n[0]+n[1]) }
	total := 0
	for p := range settled {
		total += s.answers[p][0] + s.answers[p][1]
	}
	t.Add(s.way.name, share(s.answers[1]), share(s.answers[2]), share(s.fresh[2]), share(s.answers[settled]), share(s.answers[3]),
		fmt.Sprintf("%.1f", 1000*float64(s.moved)/float64(total)), fmt.Sprint(s.none))
}
