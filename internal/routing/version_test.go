package routing

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// seed is fixed so that CI gives the same result each time.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

var (
	modelNames   = []string{"a", "b", "c"}
	versionNames = []string{"v1", "v2", "v3"}
)

func drawTarget(t *rapid.T) config.Target {
	return config.Target{Model: rapid.SampledFrom(modelNames).Draw(t, "model"), Version: rapid.SampledFrom(versionNames).Draw(t, "version")}
}

// drawRevision generates a configuration with roll-outs at any stage,
// withdrawals in the configuration folder and by command, and one organisation.
func drawRevision(t *rapid.T) *config.Revision {
	c := &config.Config{Models: map[string]*config.Model{}, Rollouts: map[string]*config.Rollout{}, Organisations: map[string]*config.Organisation{}}
	for _, m := range modelNames {
		model := &config.Model{Default: rapid.SampledFrom(versionNames).Draw(t, "default"), Versions: map[string]*config.Version{}}
		for _, v := range versionNames {
			model.Versions[v] = &config.Version{Quality: rapid.Float64Range(0, 1).Draw(t, "quality"), Withdrawn: rapid.IntRange(0, 4).Draw(t, "withdrawn") == 0}
		}
		c.Models[m] = model
	}
	o := &config.Organisation{QualityTarget: 0.8}
	for range rapid.IntRange(0, 4).Draw(t, "allowed") {
		target := drawTarget(t)
		if rapid.Bool().Draw(t, "whole model") {
			target.Version = ""
		}
		o.Allow = append(o.Allow, target)
	}
	c.Organisations["org"] = o
	rev := &config.Revision{Config: c, Stages: map[string]config.RolloutState{}, Withdrawn: map[config.Target]config.Withdrawal{}}
	for i := range rapid.IntRange(0, 3).Draw(t, "rollouts") {
		name, to := fmt.Sprint("r", i), drawTarget(t)
		c.Rollouts[name] = &config.Rollout{Model: to.Model, From: "v1", To: to.Version, Stages: []config.Stage{{Percent: 10}, {Percent: 60}}}
		rev.Stages[name] = config.RolloutState{Stage: rapid.IntRange(-1, 2).Draw(t, "stage")}
	}
	for range rapid.IntRange(0, 3).Draw(t, "withdrawals") {
		rev.Withdrawn[drawTarget(t)] = config.Withdrawal{At: time.Unix(0, 0)}
	}
	return rev
}

// Guards against routing to a version that the organisation may not run or that
// is withdrawn. A valid pin is kept, and a requested version is the one
// returned.
func TestVersionsStayAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rev := drawRevision(t)
		req := VersionRequest{Organisation: "org", Asked: config.Target{Model: AnyModel}, Session: rapid.String().Draw(t, "session")}
		if rapid.Bool().Draw(t, "asked") {
			req.Asked = drawTarget(t)
		}
		if rapid.Bool().Draw(t, "pinned") {
			req.Pin = drawTarget(t)
		}
		if held := drawTarget(t); rapid.Bool().Draw(t, "held") {
			req.IsOnHold = func(t config.Target) bool { return t == held }
		}
		got := Versions(rev, req)
		seen := map[config.Target]bool{}
		for _, v := range got {
			if !IsAllowed(rev, "org", v) {
				t.Fatalf("%s is not allowed or is withdrawn", v)
			}
			if seen[v] {
				t.Fatalf("%s came twice", v)
			}
			seen[v] = true
		}
		pinned := req.Pin != (config.Target{}) && IsAllowed(rev, "org", req.Pin)
		if pinned && (len(got) != 1 || got[0] != req.Pin) {
			t.Fatalf("the session on %s got %v", req.Pin, got)
		}
		if !pinned && req.Asked.Model != AnyModel && len(got) > 0 && got[0] != req.Asked {
			t.Fatalf("asked for %s, got %s", req.Asked, got[0])
		}
		if n := Versions(rev, VersionRequest{Organisation: "stranger", Asked: req.Asked}); len(n) > 0 {
			t.Fatalf("a stranger got %v", n)
		}
	})
}

// rollingOut returns a revision with one roll-out whose first stage has the
// given percentage.
func rollingOut(percent float64) *config.Revision {
	return &config.Revision{
		Config: &config.Config{
			Models:        map[string]*config.Model{"a": {Default: "v1", Versions: map[string]*config.Version{"v1": {Quality: 0.9}, "v2": {Quality: 0.9}}}},
			Organisations: map[string]*config.Organisation{"org": {Allow: []config.Target{{Model: "a"}}}},
			Rollouts:      map[string]*config.Rollout{"r": {Model: "a", From: "v1", To: "v2", Stages: []config.Stage{{Percent: percent}}}},
		},
		Stages: map[string]config.RolloutState{"r": {Stage: 0}},
	}
}

// The new version gets the share of sessions that the stage configures. On hold
// it gets no new sessions.
func TestStageShare(t *testing.T) {
	is := is.New(t)
	const sessions = 20_000
	for _, percent := range []float64{0.5, 10, 100} {
		rev := rollingOut(percent)
		routed := 0
		for i := range sessions {
			req := VersionRequest{Organisation: "org", Asked: config.Target{Model: "a"}, Session: fmt.Sprint(i)}
			if Versions(rev, req)[0].Version == "v2" {
				routed++
			}
			req.IsOnHold = func(t config.Target) bool { return t.Version == "v2" }
			is.Equal(Versions(rev, req)[0].Version, "v1")
		}
		share := 100 * float64(routed) / sessions
		is.True(share > percent*0.8 && share < percent*1.2 || percent == 100 && routed == sessions)
	}
}

func BenchmarkPlanVersions(b *testing.B) {
	c := &config.Config{Models: map[string]*config.Model{}, Rollouts: map[string]*config.Rollout{}, Organisations: map[string]*config.Organisation{}}
	rev := &config.Revision{Config: c, Stages: map[string]config.RolloutState{}}
	o := &config.Organisation{QualityTarget: 0.8}
	for i := range 8 {
		name := fmt.Sprint("model-", i)
		c.Models[name] = &config.Model{Default: "v1", Versions: map[string]*config.Version{"v1": {Quality: 0.8}, "v2": {Quality: 0.9}}}
		c.Rollouts[name] = &config.Rollout{Model: name, From: "v1", To: "v2", Stages: []config.Stage{{Percent: 10}}}
		rev.Stages[name] = config.RolloutState{}
		o.Allow = append(o.Allow, config.Target{Model: name})
	}
	c.Organisations["org"] = o
	plan := NewPlan(rev)
	var space [8]config.Target
	req := VersionRequest{Organisation: "org", Asked: config.Target{Model: AnyModel}, Session: "session-1"}
	b.ReportAllocs()
	for b.Loop() {
		plan.Versions(space[:0], req)
	}
}
