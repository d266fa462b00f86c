package fleet

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// singleCentre is the data centre of all nodes of a single-centre simulation.
const singleCentre = "lahti-1"

// newSingleCentreSimulation starts nodes in one data centre and rolls out a bad
// version, so that one node aggregates all evidence.
func newSingleCentreSimulation(f *failures, nodes int) *simulation {
	quality := map[config.Target]float64{kuskiV1: 0.9, kuskiV2: 0.4}
	sim := newSimulation(f, simulationOptions{nodes: 1, platform: standin.PlatformOptions{RatingLag: time.Second},
		engine: standin.EngineOptions{Quality: quality}, edit: withStages(newStage(30, time.Hour), newStage(100, time.Hour))})
	for i := 1; i < nodes; i++ {
		sim.addNode(fmt.Sprintf("entry-%d", i+1), singleCentre)
	}
	sim.sleep(5 * time.Second)
	sim.applyRolloutStep("start", func(r *config.Revision) error { return rollout.Start(r, rolloutName, time.Now()) })
	sim.sleep(5 * time.Second)
	return sim
}

// aggregator returns the node that aggregates evidence: the one with the highest
// score of those that are no relay nodes.
func (sim *simulation) aggregator() string {
	const relayNodes = 3
	return routing.HighestScoring(routing.Rendezvous(sim.nodeIDs(), "bridge/"+singleCentre)[relayNodes:], "evidence/"+singleCentre)
}

// singleCentreController returns the node that controls the roll-out in a
// single-centre simulation of five nodes: the one that is neither a relay node nor the
// aggregator.
func (sim *simulation) singleCentreController() string {
	const relayNodes = 3
	for _, id := range routing.Rendezvous(sim.nodeIDs(), "bridge/"+singleCentre)[relayNodes:] {
		if id != sim.aggregator() {
			return id
		}
	}
	return ""
}

// timeUntilNoNewSessions sends requests until the new version gets no new sessions,
// because it is held or withdrawn, and returns how long that took. It calls inject
// once, when the time given by after has passed.
func (sim *simulation) timeUntilNoNewSessions(after time.Duration, inject func()) time.Duration {
	start, injected := time.Now(), false
	stopped := func() bool { return sim.newestRevision().IsWithdrawn(kuskiV2) || sim.isHeldByMostNodes(kuskiV2) }
	sim.sendChats(10*time.Minute, func() bool {
		if !injected && time.Since(start) > after {
			injected = true
			inject()
		}
		return stopped()
	})
	sim.failures.check(stopped(), "the bad version still gets new sessions")
	return time.Since(start)
}

// isHeldByMostNodes reports whether more than half of the nodes hold a version.
func (sim *simulation) isHeldByMostNodes(t config.Target) bool {
	n := 0
	for _, m := range sim.nodes {
		for _, v := range m.node.Report().Versions {
			if v.Version == t.String() && time.Now().Before(v.HeldUntil) {
				n++
			}
		}
	}
	return 2*n > len(sim.nodes)
}

// The node that aggregates all evidence crashes, is cut off, or can't pass its results
// to the controller, in the middle of a stage. The next node continues, and the bad
// version gets no new sessions within the same bound.
func TestAggregatorFails(t *testing.T) {
	const (
		after = 8 * time.Second
		bound = 150 * time.Second // a stage of an hour at 30% has 4% of its answers by then
	)
	withVirtualClock(t, func(f *failures) {
		for _, c := range []struct {
			name string
			fail func(sim *simulation)
		}{
			{"calm", func(*simulation) {}},
			{"killed", func(sim *simulation) { sim.kill(sim.aggregator()) }},
			{"cut off", func(sim *simulation) {
				aggregator := sim.aggregator()
				for _, id := range sim.nodeIDs() {
					sim.net.setCut(id, aggregator, id != aggregator)
				}
			}},
			{"cut off from the controller", func(sim *simulation) { sim.net.setCut(sim.aggregator(), sim.singleCentreController(), true) }},
		} {
			sim := newSingleCentreSimulation(f, 5)
			took := sim.timeUntilNoNewSessions(after, func() { c.fail(sim) })
			f.check(took <= bound, "%s: new sessions stopped after %s", c.name, took)
			sim.close()
		}
	})
}

// badAnswers returns the number of answers that a version which always fails gives
// until it gets no new sessions. After each batch of them the traffic pauses and, if
// kill is set, the controller of the roll-out crashes.
func badAnswers(f *failures, kill bool) int {
	const (
		batch                  = 6
		batches                = 2
		publishTime            = 25 * time.Second // evidence is published and stored
		controllerTakeoverTime = 25 * time.Second // a crash is detected and the next node takes over
	)
	sim := newSimulation(f, simulationOptions{nodes: 6, platform: standin.PlatformOptions{RatingLag: time.Second},
		engine: standin.EngineOptions{Quality: map[config.Target]float64{kuskiV1: 0.6, kuskiV2: 0}}, edit: withStages(newStage(10, time.Hour))})
	defer sim.close()
	sim.applyRolloutStep("start", func(r *config.Revision) error { return rollout.Start(r, rolloutName, time.Now()) })
	sim.sleep(publishTime)
	bad := func() int { return sim.runsSince(kuskiV2, time.Time{}) }
	stopped := func() bool { return sim.newestRevision().IsWithdrawn(kuskiV2) || sim.isHeldByMostNodes(kuskiV2) }
	for i := range batches {
		sim.chatUntil(func() bool { return bad() >= batch*(i+1) || stopped() })
		sim.sleep(publishTime)
		if kill {
			sim.kill(sim.rolloutController())
		}
		sim.sleep(controllerTakeoverTime)
	}
	sim.chatUntil(stopped)
	f.check(stopped(), "the bad version still gets new sessions")
	return bad()
}

// chatUntil sends requests in groups, so that both versions answer at the same time,
// with a pause after each for the evidence to be published. It stops when done returns
// true.
func (sim *simulation) chatUntil(done func() bool) {
	const maxGroups, groupSize = 60, 20
	for i := range maxGroups {
		if done() {
			return
		}
		var wg sync.WaitGroup
		for k := range groupSize {
			id := sim.nodeIDs()[k%len(sim.nodes)]
			wg.Go(func() {
				sim.post(id, org, chatPath, chatBody(fmt.Sprintf("request %d of %d at %s", k, i, time.Now()), 6), nil)
			})
		}
		wg.Wait()
		sim.sleep(8 * time.Second)
	}
}

// The controller of a roll-out crashes twice in the middle of a stage. Its evidence is
// kept, so a bad version gives about as many answers as without a crash before it gets
// no new sessions.
func TestControllerCrashesTwice(t *testing.T) {
	const (
		rollouts = 10
		maxExtra = 5 // on average; 12 answers come before the second crash
	)
	withVirtualClock(t, func(f *failures) {
		undisturbed, disturbed := 0, 0
		for range rollouts {
			undisturbed += badAnswers(f, false)
			disturbed += badAnswers(f, true)
		}
		f.check(disturbed <= undisturbed+maxExtra*rollouts, "%d bad answers in %d roll-outs without crashes, %d with controller crashes", undisturbed, rollouts, disturbed)
	})
}
