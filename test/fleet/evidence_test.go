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

// centreOfMany is the data centre where all nodes of a crowded world stand.
const centreOfMany = "lahti-1"

// crowdedWorld has all its nodes in one data centre and a bad version coming
// in, so that one node gathers all evidence.
func crowdedWorld(f *faults, nodes int) *world {
	quality := map[config.Target]float64{v1: 0.9, v2: 0.4}
	w := newWorld(f, worldOptions{nodes: 1, platform: standin.PlatformOptions{RatingLag: time.Second},
		engine: standin.EngineOptions{Quality: quality}, edit: plannedStages(stage(30, time.Hour), stage(100, time.Hour))})
	for i := 1; i < nodes; i++ {
		w.addNode(fmt.Sprintf("entry-%d", i+1), centreOfMany)
	}
	w.sleep(5 * time.Second)
	w.rollOut("start", func(r *config.Revision) error { return rollout.Start(r, plan, time.Now()) })
	w.sleep(5 * time.Second)
	return w
}

// gatherer returns the node that gathers evidence: of those that are no
// bridges the one with the highest score.
func (w *world) gatherer() string {
	const bridges = 3
	return routing.HighestScoring(routing.Rendezvous(w.ids(), "bridge/"+centreOfMany)[bridges:], "evidence/"+centreOfMany)
}

// crowdedDriver returns the node that drives the roll-out of a crowded world
// of five: the one that is left.
func (w *world) crowdedDriver() string {
	const bridges = 3
	for _, id := range routing.Rendezvous(w.ids(), "bridge/"+centreOfMany)[bridges:] {
		if id != w.gatherer() {
			return id
		}
	}
	return ""
}

// untilStopped serves requests until the new version gets no new sessions,
// held or withdrawn, and returns how long that took; do is called after a
// while.
func (w *world) untilStopped(after time.Duration, do func()) time.Duration {
	start, done := time.Now(), false
	stopped := func() bool { return w.head().IsWithdrawn(v2) || w.held(v2) }
	w.chats(10*time.Minute, func() bool {
		if !done && time.Since(start) > after {
			done = true
			do()
		}
		return stopped()
	})
	w.faults.check(stopped(), "the bad version still gets new sessions")
	return time.Since(start)
}

// held tells whether most nodes hold a version.
func (w *world) held(t config.Target) bool {
	n := 0
	for _, m := range w.nodes {
		for _, v := range m.node.Report().Versions {
			if v.Version == t.String() && time.Now().Before(v.HeldUntil) {
				n++
			}
		}
	}
	return 2*n > len(w.nodes)
}

// The node that gathers all evidence dies, is cut off or cannot pass on what
// it hears, in the middle of a stage: the next one goes on, and the bad
// version gets no new sessions within the same bound.
func TestGathererFails(t *testing.T) {
	const (
		after = 8 * time.Second
		bound = 150 * time.Second // a stage of an hour at 30% has 4% of its answers by then
	)
	virtual(t, func(f *faults) {
		for _, c := range []struct {
			name string
			fail func(w *world)
		}{
			{"calm", func(*world) {}},
			{"killed", func(w *world) { w.kill(w.gatherer()) }},
			{"cut off", func(w *world) {
				gone := w.gatherer()
				for _, id := range w.ids() {
					w.net.cut(id, gone, id != gone)
				}
			}},
			{"cut off the driver", func(w *world) { w.net.cut(w.gatherer(), w.crowdedDriver(), true) }},
		} {
			w := crowdedWorld(f, 5)
			took := w.untilStopped(after, func() { c.fail(w) })
			f.check(took <= bound, "%s: new sessions stopped after %s", c.name, took)
			w.close()
		}
	})
}

// badAnswers returns how many answers of a version that always fails it takes
// until the version gets no new sessions. After each few of them the traffic
// pauses and, if kill is set, the driver of the roll-out dies.
func badAnswers(f *faults, kill bool) int {
	const (
		few   = 6
		times = 2
		told  = 25 * time.Second // what was seen is told and kept
		taken = 25 * time.Second // a death is found and the next node drives
	)
	w := newWorld(f, worldOptions{nodes: 6, platform: standin.PlatformOptions{RatingLag: time.Second},
		engine: standin.EngineOptions{Quality: map[config.Target]float64{v1: 0.6, v2: 0}}, edit: plannedStages(stage(10, time.Hour))})
	defer w.close()
	w.rollOut("start", func(r *config.Revision) error { return rollout.Start(r, plan, time.Now()) })
	w.sleep(told)
	bad := func() int { return w.runs(v2, time.Time{}) }
	stopped := func() bool { return w.head().IsWithdrawn(v2) || w.held(v2) }
	for i := range times {
		w.chatUntil(func() bool { return bad() >= few*(i+1) || stopped() })
		w.sleep(told)
		if kill {
			w.kill(w.driver())
		}
		w.sleep(taken)
	}
	w.chatUntil(stopped)
	f.check(stopped(), "the bad version still gets new sessions")
	return bad()
}

// chatUntil sends some requests at a time, so that both versions answer
// together, with a pause to be told of, until done says so.
func (w *world) chatUntil(done func() bool) {
	const most, together = 60, 20
	for i := range most {
		if done() {
			return
		}
		var wg sync.WaitGroup
		for k := range together {
			id := w.ids()[k%len(w.nodes)]
			wg.Go(func() {
				w.post(id, org, chatPath, chatBody(fmt.Sprintf("request %d of %d at %s", k, i, time.Now()), 6), nil)
			})
		}
		wg.Wait()
		w.sleep(8 * time.Second)
	}
}

// The driver of a roll-out dies twice in the middle of a stage. What it had
// learned is kept, so that a bad version gives about as many answers as
// without a death before it gets no new sessions.
func TestDriverDiesAgain(t *testing.T) {
	const (
		rollouts = 10
		more     = 5 // of 12 answers before the second death, on average
	)
	virtual(t, func(f *faults) {
		calm, disturbed := 0, 0
		for range rollouts {
			calm += badAnswers(f, false)
			disturbed += badAnswers(f, true)
		}
		f.check(disturbed <= calm+more*rollouts, "%d bad answers in %d roll-outs, %d while drivers died", calm, rollouts, disturbed)
	})
}
