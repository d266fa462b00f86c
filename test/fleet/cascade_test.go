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

var emanta = config.Target{Model: "emanta", Version: "v3"}

// verdictOf is what the stand-in's rating service says of a version's answer.
func (w *world) verdictOf(request string, t config.Target, quality map[config.Target]float64) bool {
	return float64(xxhash.Sum64String(request)%10_000)/10_000 < quality[t]
}

// cascadeLoad sends whole requests and sums up what came back.
type cascadeLoad struct {
	mu       sync.Mutex
	served   int
	passed   int
	byTarget map[config.Target]int
	prompts  map[string]string // model by prompt
}

func (w *world) cascadeChats(length time.Duration, quality map[config.Target]float64) *cascadeLoad {
	l := &cascadeLoad{byTarget: map[config.Target]int{}, prompts: map[string]string{}}
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		id := w.ids()[i%len(w.nodes)]
		text := fmt.Sprintf("draft %d at %s", i, time.Now())
		wg.Go(func() {
			got := w.post(id, org, chatPath, chatBody(text, 12), map[string]string{"X-Kind": "draft"})
			answered, model := completionText(got)
			w.faults.check(got.status == http.StatusOK, "chat: %+v", got)
			w.faults.check(answered == w.answerOf(org, text, 12, model, quality), "the answer by %s is not whole: %q", model, answered)
			l.mu.Lock()
			defer l.mu.Unlock()
			t := config.ParseTarget(model)
			l.served++
			l.byTarget[t]++
			l.prompts["user: "+text+"\n"] = model
			if w.verdictOf(got.header.Get("X-Request-Id"), t, quality) {
				l.passed++
			}
		})
		w.sleep(250 * time.Millisecond)
	}
	wg.Wait()
	return l
}

// bothRan counts the prompts on which both versions ran.
func (w *world) bothRan(l *cascadeLoad) int {
	ran := map[string]map[config.Target]bool{}
	for _, e := range w.dialer.engines {
		for _, r := range e.Runs() {
			if l.prompts[r.Prompt] == "" {
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
			w.faults.check(l.prompts[prompt] == emanta.String(), "both ran, yet %s answered", l.prompts[prompt])
		}
	}
	return n
}

// The cheap version turns out to pass half the time: its answers are then
// judged first, the strong one answers where they fail, the quality target is
// met below the strong one's price, and each request has one bill for both
// steps. With the rating service gone, all are still served, by the strong one.
func TestCascade(t *testing.T) {
	virtual(t, func(f *faults) {
		quality := map[config.Target]float64{v1: 0.5, emanta: 0.96}
		w := newWorld(f, worldOptions{platform: standin.PlatformOptions{RatingLag: 200 * time.Millisecond}, engine: standin.EngineOptions{Quality: quality}})
		defer w.close()
		w.cascadeChats(3*time.Minute, quality)
		l := w.cascadeChats(2*time.Minute, quality)
		share := float64(l.passed) / float64(l.served)
		f.check(share >= 0.8, "%.2f of the answers pass, the target is 0.8", share)
		f.check(l.byTarget[v1] > l.served/4, "the cheap version gave %d of %d answers", l.byTarget[v1], l.served)
		both := w.bothRan(l)
		f.check(both > l.served/4, "both versions ran for %d of %d requests", both, l.served)
		w.sleep(10 * time.Second)
		w.checkBills(l)
		w.platform.RatingFaults.Set(standin.FaultState{Stopped: true})
		w.sleep(2 * time.Minute)
		gone := w.cascadeChats(30*time.Second, quality)
		f.check(gone.byTarget[emanta] > gone.served*9/10, "without verdicts the strong version gave %d of %d answers", gone.byTarget[emanta], gone.served)
	})
}

// checkBills sees that there is one bill a request and that a request with two
// steps pays for both.
func (w *world) checkBills(l *cascadeLoad) {
	rows, err := w.platform.List(context.Background(), "bill/", "", 100_000)
	w.faults.check(err == nil, "list bills: %v", err)
	dear, seen := 0, map[string]bool{}
	for _, r := range rows {
		var b wire.Bill
		w.faults.check(json.Unmarshal(r.Value, &b) == nil, "bill %s is not readable", r.Key)
		w.faults.check(!seen[b.Request], "request %s is billed twice", b.Request)
		seen[b.Request] = true
		if b.Target == emanta && b.CostMicros > int64(b.Tokens)*w.config.Models[emanta.Model].Versions[emanta.Version].CostPerMillionTokens/1_000_000 {
			dear++
		}
	}
	w.faults.check(len(seen) >= l.served, "%d bills for at least %d requests", len(seen), l.served)
	w.faults.check(dear >= l.byTarget[emanta]/2, "%d bills hold two steps", dear)
}

// A version withdrawn while an answer waits for its verdict is not the second
// step: the first step's answer goes out, whole.
func TestCascadeStepOnWithdrawn(t *testing.T) {
	virtual(t, func(f *faults) {
		quality := map[config.Target]float64{v1: 0.5, emanta: 0.96}
		w := newWorld(f, worldOptions{platform: standin.PlatformOptions{RatingLag: 200 * time.Millisecond}, engine: standin.EngineOptions{Quality: quality}})
		defer w.close()
		w.cascadeChats(3*time.Minute, quality)
		rev := w.rollOut("withdraw", func(r *config.Revision) error { return rollout.Withdraw(r, emanta, "test", time.Now()) })
		load := make(chan *cascadeLoad, 1)
		go func() { load <- w.cascadeChats(20*time.Second, quality) }()
		for !w.inForce(rev.Number) {
			w.sleep(time.Millisecond)
		}
		gone := time.Now()
		l := <-load
		f.check(w.runs(emanta, gone) == 0, "%d steps began on the withdrawn version", w.runs(emanta, gone))
		f.check(l.byTarget[v1] > l.served/2, "the version left gave %d of %d answers", l.byTarget[v1], l.served)
	})
}

// inForce tells whether all nodes have the revision.
func (w *world) inForce(number uint64) bool {
	for _, m := range w.nodes {
		if m.node.Status().Revision.Number < number {
			return false
		}
	}
	return true
}

// When the pool of the preferred version is full, requests without a session
// fall to the next allowed version in time; sessions keep theirs; no version
// that the organisation does not allow runs.
func TestFullPoolFallsToNextVersion(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engines: 2, edit: func(c *config.Config) {
			c.Pools["mallipalvelin"] = &config.Pool{Targets: []config.Target{v1}, Slots: 2, KVTokens: config.DefaultKVTokens}
			c.Pools["strong"] = &config.Pool{Targets: []config.Target{emanta}, Slots: 2, KVTokens: config.DefaultKVTokens}
			c.Rollouts = nil
		}, poolOf: func(i int) string { return []string{"mallipalvelin", "strong"}[i] }, engineOf: func(i int) standin.EngineOptions {
			if i == 0 {
				return standin.EngineOptions{BaseInterval: 200 * time.Millisecond, Targets: []config.Target{v1}}
			}
			return standin.EngineOptions{BaseInterval: 5 * time.Millisecond, Targets: []config.Target{emanta}}
		}})
		defer w.close()
		session := w.sessionOn(v1, routing.AnyModel)
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				w.post("entry-1", "museobussit", chatPath, chatBody(fmt.Sprint("long ", i), 100), map[string]string{"X-Deadline-Ms": "600000"})
			})
		}
		w.sleep(5 * time.Second)
		start := time.Now()
		for i := range 10 {
			got := w.post("entry-1", org, chatPath, chatBody(fmt.Sprint("short ", i), 8), nil)
			_, model := completionText(got)
			f.check(model == emanta.String() || w.loaded("engine-2", v1), "answer %d: %+v", i, got)
		}
		f.check(time.Since(start) < 10*time.Second, "ten answers took %s", time.Since(start))
		_, model := completionText(w.post("entry-1", org, chatPath, chatBody("again", 6), map[string]string{"X-Session": session, "X-Deadline-Ms": "600000"}))
		f.check(model == v1.String(), "the session is on %s", model)
		wg.Wait()
		for _, r := range w.dialer.engines["engine-2"].Runs() {
			f.check(r.Prompt[:10] != "user: long", "the organisation's only version is %s, yet %s ran", v1, r.Target)
		}
	})
}

// loaded tells whether an engine has a version: the fleet may order it to load
// one that is short of room.
func (w *world) loaded(engine string, t config.Target) bool {
	report, err := w.dialer.engines[engine].Load(context.Background())
	w.faults.check(err == nil, "load: %v", err)
	return slices.Contains(report.Targets, t)
}

// Urgent callers do not wait for verdicts that come later than their first
// token should: they get one version's answer, though the cheap one often
// fails.
func TestUrgentIsNotVerifiedSlowly(t *testing.T) {
	virtual(t, func(f *faults) {
		quality := map[config.Target]float64{v1: 0.5, emanta: 0.96}
		w := newWorld(f, worldOptions{platform: standin.PlatformOptions{RatingLag: time.Second}, engine: standin.EngineOptions{Quality: quality}})
		defer w.close()
		w.cascadeChats(3*time.Minute, quality)
		for i := range 20 {
			start := time.Now()
			got := w.post("entry-1", org, chatPath, chatBody(fmt.Sprint("urgent ", i), 12), map[string]string{"X-Kind": "draft", "X-Rank": "urgent"})
			f.check(got.status == http.StatusOK && time.Since(start) < time.Second, "urgent answer after %s: %+v", time.Since(start), got)
		}
	})
}
