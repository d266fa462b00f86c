package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

const rolloutName = "kuski-v2"

var (
	kuskiV1 = config.Target{Model: "kuski", Version: "v1"}
	kuskiV2 = config.Target{Model: "kuski", Version: "v2"}
)

// withStages gives the example's roll-out other stages. The quality target is far below
// the quality of the version in place, so that no series of failed verdicts lets the
// cascade choose another model.
func withStages(stages ...config.Stage) func(*config.Config) {
	return func(c *config.Config) {
		c.Rollouts[rolloutName].Stages = stages
		c.Organisations[org].QualityTarget = 0.5
	}
}

// newStage returns a stage with the given percentage and bake time.
func newStage(percent float64, bake time.Duration) config.Stage {
	return config.Stage{Percent: percent, Bake: config.Duration(bake)}
}

// applyRolloutStep applies one step of the roll-out as an operator would.
func (sim *simulation) applyRolloutStep(note string, step func(r *config.Revision) error) *config.Revision {
	return sim.applyRevision(note, func(r *config.Revision) {
		err := step(r)
		sim.failures.check(err == nil, "%s: %v", note, err)
	})
}

// newestRevision returns the newest revision with its content.
func (sim *simulation) newestRevision() *config.Revision {
	rev, err := config.NewStore(sim.platform, sim.platform).Newest(context.Background())
	sim.failures.check(err == nil, "read head: %v", err)
	return rev
}

// runsSince returns the number of attempts of a version that engines began after a time.
func (sim *simulation) runsSince(t config.Target, after time.Time) int {
	n := 0
	for _, e := range sim.dialer.engines {
		for _, r := range e.Runs() {
			if r.Target == t && r.At.After(after) {
				n++
			}
		}
	}
	return n
}

// sendChats sends requests without a session to all nodes in turn, a few each second,
// until done returns true or the duration has passed.
func (sim *simulation) sendChats(duration time.Duration, done func() bool) {
	const chatsPerSecond = 4
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(end) && !done(); i++ {
		for k := range chatsPerSecond {
			id := sim.nodeIDs()[(i+k)%len(sim.nodes)]
			text := fmt.Sprintf("request %d of second %d at %s", k, i, time.Now())
			wg.Go(func() {
				got := sim.post(id, org, chatPath, chatBody(text, 6), nil)
				sim.failures.check(got.err != nil || got.status == http.StatusOK, "chat at %s: %+v", id, got)
			})
		}
		sim.sleep(time.Second)
	}
	wg.Wait()
}

// rolloutController returns the node that controls the roll-out, as the first node sees
// it.
func (sim *simulation) rolloutController() string {
	for _, v := range sim.nodes[sim.nodeIDs()[0]].node.Report().Versions {
		if v.Rollout == rolloutName {
			return v.Controller
		}
	}
	return ""
}

// A good version passes its stages to the end although the controller crashes and the
// store is unreachable for a while. The stage never falls.
func TestRolloutCompletesDespiteFailures(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 4, platform: standin.PlatformOptions{RatingLag: time.Second},
			edit: withStages(newStage(20, 30*time.Second), newStage(60, 30*time.Second), newStage(100, 30*time.Second))})
		defer sim.close()
		sim.applyRolloutStep("start", func(r *config.Revision) error { return rollout.Start(r, rolloutName, time.Now()) })
		killed, isStoreDown, last := false, false, 0
		start := time.Now()
		sim.sendChats(10*time.Minute, func() bool {
			if !killed && time.Since(start) > 20*time.Second {
				killed = true
				sim.kill(sim.rolloutController())
			}
			if outage := time.Since(start) > 60*time.Second && time.Since(start) < 120*time.Second; outage != isStoreDown {
				isStoreDown = outage
				for _, m := range sim.nodes {
					m.platform.setUnreachable(isStoreDown)
				}
			}
			s := rollout.State(sim.newestRevision(), rolloutName)
			f.check(s.Stage >= last, "the stage fell from %d to %d", last, s.Stage)
			last = s.Stage
			return s.Stage == len(sim.config.Rollouts[rolloutName].Stages)
		})
		f.check(last == 3, "the roll-out ended at stage %d", last)
		sim.sleep(5 * time.Second)
		promotedAt := time.Now()
		sim.sendChats(5*time.Second, func() bool { return false })
		f.check(sim.runsSince(kuskiV1, promotedAt) == 0 && sim.runsSince(kuskiV2, promotedAt) > 0, "after promotion %d answers began on the old version, %d on the new", sim.runsSince(kuskiV1, promotedAt), sim.runsSince(kuskiV2, promotedAt))
	})
}

// A version that answers badly is withdrawn by its guard although the controller crashes.
// From then on no work begins on it, and its sessions move once: a session that named
// the model moves to the version in place, one that left the choice to the router moves
// to the version chosen then.
func TestBadVersionIsWithdrawn(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		quality := map[config.Target]float64{kuskiV1: 0.9, kuskiV2: 0.4}
		sim := newSimulation(f, simulationOptions{nodes: 4, platform: standin.PlatformOptions{RatingLag: time.Second},
			engine: standin.EngineOptions{Quality: quality}, edit: withStages(newStage(30, time.Hour), newStage(100, time.Hour))})
		defer sim.close()
		sim.applyRolloutStep("start", func(r *config.Revision) error { return rollout.Start(r, rolloutName, time.Now()) })
		sim.sleep(5 * time.Second)
		named, unnamed := sim.sessionOn(kuskiV2, kuskiV2.Model), sim.sessionOn(kuskiV2, routing.AnyModel)
		killed, start := false, time.Now()
		sim.sendChats(10*time.Minute, func() bool {
			if !killed && time.Since(start) > 10*time.Second {
				killed = true
				sim.kill(sim.rolloutController())
			}
			return sim.newestRevision().IsWithdrawn(kuskiV2)
		})
		f.check(sim.newestRevision().IsWithdrawn(kuskiV2), "the bad version was not withdrawn")
		f.check(!sim.newestRevision().IsWithdrawn(kuskiV1), "the version in place was withdrawn")
		sim.sleep(5 * time.Second)
		withdrawnAt := time.Now()
		sim.sendChats(20*time.Second, func() bool { return false })
		moved := sim.modelInSession(sim.nodeIDs()[0], routing.AnyModel, unnamed)
		f.check(moved != kuskiV2.String() && moved != "", "the session that named no model is on %s", moved)
		for _, id := range sim.nodeIDs() {
			got, again := sim.modelInSession(id, kuskiV2.Model, named), sim.modelInSession(id, routing.AnyModel, unnamed)
			f.check(got == kuskiV1.String(), "the session that named its model is on %s at %s", got, id)
			f.check(again == moved, "the session moved twice: to %s, then at %s to %s", moved, id, again)
		}
		f.check(sim.runsSince(kuskiV2, withdrawnAt) == 0, "%d answers began on the withdrawn version", sim.runsSince(kuskiV2, withdrawnAt))
	})
}

// modelInSession asks for a model in a session and returns the version that answered, or
// an empty string.
func (sim *simulation) modelInSession(id, asked, session string) string {
	_, model := completionText(sim.post(id, org, chatPath, askBody(asked, "hello", 6), map[string]string{"X-Session": session}))
	return model
}

// sessionOn starts sessions that ask for a model until one is on the given version, and
// returns that session.
func (sim *simulation) sessionOn(t config.Target, asked string) string {
	for i := range 100 {
		session := fmt.Sprint(asked, "-session-", i)
		if sim.modelInSession(sim.nodeIDs()[0], asked, session) == t.String() {
			return session
		}
	}
	sim.failures.addf("no session was assigned to %s", t)
	return ""
}

// A hold that one node publishes keeps new sessions from a version at all nodes, without
// the store; sessions on that version stay. The first hold of a suspect version expires
// if there is still too little evidence, so the test waits for a hold that lasts longer
// than that.
func TestHoldWithoutStore(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		quality := map[config.Target]float64{kuskiV1: 0.9, kuskiV2: 0.3}
		sim := newSimulation(f, simulationOptions{platform: standin.PlatformOptions{RatingLag: time.Second},
			engine: standin.EngineOptions{Quality: quality}, edit: withStages(newStage(40, time.Hour))})
		defer sim.close()
		sim.applyRolloutStep("start", func(r *config.Revision) error { return rollout.Start(r, rolloutName, time.Now()) })
		sim.sleep(5 * time.Second)
		session := sim.sessionOn(kuskiV2, routing.AnyModel)
		for _, m := range sim.nodes {
			m.platform.setUnreachable(true)
		}
		minHold := rollout.HoldTime + 10*time.Second
		sim.sendChats(10*time.Minute, func() bool { return sim.runsSince(kuskiV2, time.Now().Add(-minHold)) == 0 })
		heldAt := time.Now()
		sim.sendChats(time.Minute, func() bool { return false })
		f.check(sim.runsSince(kuskiV2, heldAt) == 0, "%d new sessions were assigned to the held version", sim.runsSince(kuskiV2, heldAt))
		f.check(!sim.newestRevision().IsWithdrawn(kuskiV2), "the version was withdrawn while the store was unreachable")
		for _, id := range sim.nodeIDs() {
			_, model := completionText(sim.post(id, org, chatPath, chatBody("again", 6), map[string]string{"X-Session": session}))
			f.check(id != sim.nodeIDs()[0] || model == kuskiV2.String(), "the session moved to %s at %s", model, id)
		}
		for _, m := range sim.nodes {
			m.platform.setUnreachable(false)
		}
		sim.sendChats(4*rollout.HoldTime, func() bool { return sim.newestRevision().IsWithdrawn(kuskiV2) })
		f.check(sim.newestRevision().IsWithdrawn(kuskiV2), "the version was not withdrawn after the store was back")
	})
}

// Once a withdrawal is in force, no work of the version begins: no queued request, no
// retry of an answer whose replica crashes, no resumption of a paused answer, no session.
func TestWithdrawnVersionGetsNoNewWork(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 1, engine: standin.EngineOptions{BaseInterval: 400 * time.Millisecond}, edit: func(c *config.Config) {
			c.Pools["mallipalvelin"].Slots = 2
		}})
		defer sim.close()
		const requests = 16
		done := make(chan answer, requests)
		for i := range requests {
			go func() {
				body := fmt.Sprintf(`{"model":"kuski@v2","max_tokens":200,"messages":[{"role":"user","content":"rota %d"}]}`, i)
				done <- sim.post("entry-1", org, chatPath, body, map[string]string{"X-Deadline-Ms": "600000", "X-Rank": "background"})
			}()
		}
		sim.sleep(10*time.Second + time.Millisecond)
		began := sim.runsSince(kuskiV2, time.Time{})
		rev := sim.applyRolloutStep("withdraw", func(r *config.Revision) error { return rollout.Withdraw(r, kuskiV2, "test", time.Now()) })
		for !sim.allNodesHaveRevision(rev.Number) {
			sim.sleep(time.Millisecond)
		}
		inForce := time.Now()
		for i := range 4 {
			go sim.post("entry-1", org, chatPath, chatBody(fmt.Sprint("urgent ", i), 20), map[string]string{"X-Rank": "urgent"})
		}
		sim.sleep(5 * time.Second)
		sim.dialer.engines["engine-1"].Crash()
		served := 0
		for range requests {
			if got := <-done; got.status == http.StatusOK {
				served++
			}
		}
		f.check(began > 0 && began < requests, "%d of %d answers had begun", began, requests)
		f.check(sim.runsSince(kuskiV2, inForce) == 0, "%d attempts began on the withdrawn version", sim.runsSince(kuskiV2, inForce))
		f.check(served < requests, "all requests were served by a withdrawn version")
	})
}
