package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

var emantaV3 = config.Target{Model: "emanta", Version: "v3"}

// ratingVerdict returns the verdict of the stand-in's rating service on a
// version's answer.
func (sim *simulation) ratingVerdict(request string, t config.Target, quality map[config.Target]float64) bool {
	return float64(xxhash.Sum64String(request)%10_000)/10_000 < quality[t]
}

// cascadeResults sums up the answers to a run of chats.
type cascadeResults struct {
	mu            sync.Mutex
	served        int
	passed        int
	byTarget      map[config.Target]int
	modelByPrompt map[string]string
}

// sendCascadeChats sends chats for the given duration, checks that each answer is
// complete, and returns the results.
func (sim *simulation) sendCascadeChats(duration time.Duration, quality map[config.Target]float64) *cascadeResults {
	results := &cascadeResults{byTarget: map[config.Target]int{}, modelByPrompt: map[string]string{}}
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		id := sim.nodeIDs()[i%len(sim.nodes)]
		text := fmt.Sprintf("draft %d at %s", i, time.Now())
		wg.Go(func() {
			got := sim.post(id, org, chatPath, chatBody(text, 12), map[string]string{"X-Kind": "draft"})
			answered, model := completionText(got)
			sim.failures.check(got.status == http.StatusOK, "chat: %+v", got)
			sim.failures.check(answered == sim.expectedAnswerAtQuality(org, text, 12, model, quality), "the answer by %s is incomplete: %q", model, answered)
			results.mu.Lock()
			defer results.mu.Unlock()
			t := config.ParseTarget(model)
			results.served++
			results.byTarget[t]++
			results.modelByPrompt["user: "+text+"\n"] = model
			if sim.ratingVerdict(got.header.Get("X-Request-Id"), t, quality) {
				results.passed++
			}
		})
		sim.sleep(250 * time.Millisecond)
	}
	wg.Wait()
	return results
}

// countRunOnBoth returns the number of prompts that ran on both versions, and
// checks that the strong version answered those.
func (sim *simulation) countRunOnBoth(results *cascadeResults) int {
	ran := map[string]map[config.Target]bool{}
	for _, e := range sim.dialer.engines {
		for _, r := range e.Runs() {
			if results.modelByPrompt[r.Prompt] == "" {
				continue
			}
			if ran[r.Prompt] == nil {
				ran[r.Prompt] = map[config.Target]bool{}
			}
			ran[r.Prompt][r.Target] = true
		}
	}
	n := 0
	for prompt, targets := range ran {
		if len(targets) == 2 {
			n++
			sim.failures.check(results.modelByPrompt[prompt] == emantaV3.String(), "both versions ran, but %s answered", results.modelByPrompt[prompt])
		}
	}
	return n
}

// Half of the cheap version's answers fail the rating. Its answers are then rated
// first and the strong version answers where they fail, so that the quality target
// is met at less than the strong version's cost. Each request has one bill for both
// steps. Without the rating service all requests are still served, by the strong
// version.
func TestCascadeMeetsQualityTarget(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		quality := map[config.Target]float64{kuskiV1: 0.5, emantaV3: 0.96}
		sim := newSimulation(f, simulationOptions{platform: standin.PlatformOptions{RatingLag: 200 * time.Millisecond}, engine: standin.EngineOptions{Quality: quality}})
		defer sim.close()
		sim.sendCascadeChats(3*time.Minute, quality)
		results := sim.sendCascadeChats(2*time.Minute, quality)
		share := float64(results.passed) / float64(results.served)
		f.check(share >= 0.8, "%.2f of the answers pass the rating, below the target of 0.8", share)
		f.check(results.byTarget[kuskiV1] > results.served/4, "the cheap version gave %d of %d answers", results.byTarget[kuskiV1], results.served)
		ranOnBoth := sim.countRunOnBoth(results)
		f.check(ranOnBoth > results.served/4, "both versions ran for %d of %d requests", ranOnBoth, results.served)
		sim.sleep(10 * time.Second)
		sim.checkCascadeBills(results)
		sim.platform.RatingFaults.Set(standin.FaultState{Stopped: true})
		sim.sleep(2 * time.Minute)
		unrated := sim.sendCascadeChats(30*time.Second, quality)
		f.check(unrated.byTarget[emantaV3] > unrated.served*9/10, "without verdicts the strong version gave %d of %d answers", unrated.byTarget[emantaV3], unrated.served)
	})
}

// checkCascadeBills checks that each request has one bill, and that a request with
// two steps pays for both.
func (sim *simulation) checkCascadeBills(results *cascadeResults) {
	rows, err := sim.platform.List(context.Background(), "bill/", "", 100_000)
	sim.failures.check(err == nil, "list bills: %v", err)
	twoStep, seen := 0, map[string]bool{}
	for _, r := range rows {
		var b wire.Bill
		sim.failures.check(json.Unmarshal(r.Value, &b) == nil, "bill %s can't be decoded", r.Key)
		sim.failures.check(!seen[b.Request], "request %s is billed twice", b.Request)
		seen[b.Request] = true
		if b.Target == emantaV3 && b.CostMicros > int64(b.Tokens)*sim.config.Models[emantaV3.Model].Versions[emantaV3.Version].CostPerMillionTokens/1_000_000 {
			twoStep++
		}
	}
	sim.failures.check(len(seen) >= results.served, "%d bills for at least %d requests", len(seen), results.served)
	sim.failures.check(twoStep >= results.byTarget[emantaV3]/2, "%d bills cover two steps", twoStep)
}

// The strong version is withdrawn while an answer waits for its verdict. The second
// step does not run on it; the first step's answer is returned, complete.
func TestCascadeSkipsWithdrawnVersion(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		quality := map[config.Target]float64{kuskiV1: 0.5, emantaV3: 0.96}
		sim := newSimulation(f, simulationOptions{platform: standin.PlatformOptions{RatingLag: 200 * time.Millisecond}, engine: standin.EngineOptions{Quality: quality}})
		defer sim.close()
		sim.sendCascadeChats(3*time.Minute, quality)
		rev := sim.applyRolloutStep("withdraw", func(r *config.Revision) error { return rollout.Withdraw(r, emantaV3, "test", time.Now()) })
		load := make(chan *cascadeResults, 1)
		go func() { load <- sim.sendCascadeChats(20*time.Second, quality) }()
		for !sim.allNodesHaveRevision(rev.Number) {
			sim.sleep(time.Millisecond)
		}
		withdrawnAt := time.Now()
		results := <-load
		f.check(sim.runsSince(emantaV3, withdrawnAt) == 0, "%d steps began on the withdrawn version", sim.runsSince(emantaV3, withdrawnAt))
		f.check(results.byTarget[kuskiV1] > results.served/2, "the remaining version gave %d of %d answers", results.byTarget[kuskiV1], results.served)
	})
}

// allNodesHaveRevision reports whether all nodes have the revision.
func (sim *simulation) allNodesHaveRevision(number uint64) bool {
	for _, m := range sim.nodes {
		if m.node.Status().Revision.Number < number {
			return false
		}
	}
	return true
}

// The pool of the preferred version is full. Requests without a session fall back to
// the next allowed version in time, sessions keep their version, and no version runs
// that the organisation does not allow.
func TestFullPoolFallsBackToNextVersion(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engines: 2, edit: func(c *config.Config) {
			c.Pools["mallipalvelin"] = &config.Pool{Targets: []config.Target{kuskiV1}, Slots: 2, KVTokens: config.DefaultKVTokens}
			c.Pools["strong"] = &config.Pool{Targets: []config.Target{emantaV3}, Slots: 2, KVTokens: config.DefaultKVTokens}
			c.Rollouts = nil
		}, poolOf: func(i int) string { return []string{"mallipalvelin", "strong"}[i] }, engineOf: func(i int) standin.EngineOptions {
			if i == 0 {
				return standin.EngineOptions{BaseInterval: 200 * time.Millisecond, Targets: []config.Target{kuskiV1}}
			}
			return standin.EngineOptions{BaseInterval: 5 * time.Millisecond, Targets: []config.Target{emantaV3}}
		}})
		defer sim.close()
		session := sim.sessionOn(kuskiV1, routing.AnyModel)
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				sim.post("entry-1", "museobussit", chatPath, chatBody(fmt.Sprint("long ", i), 100), map[string]string{"X-Deadline-Ms": "600000"})
			})
		}
		sim.sleep(5 * time.Second)
		start := time.Now()
		for i := range 10 {
			got := sim.post("entry-1", org, chatPath, chatBody(fmt.Sprint("short ", i), 8), nil)
			_, model := completionText(got)
			f.check(model == emantaV3.String() || sim.isLoaded("engine-2", kuskiV1), "answer %d: %+v", i, got)
		}
		f.check(time.Since(start) < 10*time.Second, "ten answers took %s", time.Since(start))
		_, model := completionText(sim.post("entry-1", org, chatPath, chatBody("again", 6), map[string]string{"X-Session": session, "X-Deadline-Ms": "600000"}))
		f.check(model == kuskiV1.String(), "the session is on %s", model)
		wg.Wait()
		for _, r := range sim.dialer.engines["engine-2"].Runs() {
			f.check(r.Prompt[:10] != "user: long", "%s is the only version allowed to the organisation, but %s ran", kuskiV1, r.Target)
		}
	})
}

// isLoaded reports whether an engine has a version loaded: the fleet may order an
// engine to load a version that is short of capacity.
func (sim *simulation) isLoaded(engine string, t config.Target) bool {
	report, err := sim.dialer.engines[engine].Load(context.Background())
	sim.failures.check(err == nil, "load report: %v", err)
	return slices.Contains(report.Targets, t)
}

// Verdicts arrive later than an urgent caller's first token is due. Urgent callers
// get one version's answer without verification, although the cheap version often
// fails.
func TestUrgentRequestsSkipSlowVerification(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		quality := map[config.Target]float64{kuskiV1: 0.5, emantaV3: 0.96}
		sim := newSimulation(f, simulationOptions{platform: standin.PlatformOptions{RatingLag: time.Second}, engine: standin.EngineOptions{Quality: quality}})
		defer sim.close()
		sim.sendCascadeChats(3*time.Minute, quality)
		for i := range 20 {
			start := time.Now()
			got := sim.post("entry-1", org, chatPath, chatBody(fmt.Sprint("urgent ", i), 12), map[string]string{"X-Kind": "draft", "X-Rank": "urgent"})
			f.check(got.status == http.StatusOK && time.Since(start) < time.Second, "urgent answer after %s: %+v", time.Since(start), got)
		}
	})
}
