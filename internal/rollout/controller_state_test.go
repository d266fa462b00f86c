package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/snapshot"
)

// countedOutcomes returns all outcomes that a controller counted for a roll-out,
// analyzed by its guard or not.
func countedOutcomes(c *Controller, name string) (old, next Evidence) {
	g := c.guarded[name]
	if g == nil {
		return Evidence{}, Evidence{}
	}
	return g.pendingOld.Plus(Evidence{Rated: g.guard.tests[ratingsChannel].baseline}), g.pendingNext
}

// Two controllers receive the same totals, some of them late. At random times one
// exports its state and the other restores it, possibly an old state. Totals that
// both have received must count once.
func TestRestoredTotalsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rev, now := runningRevision(0), time.Unix(0, 0)
		controllers := [2]*Controller{NewController(), NewController()}
		totals := [3]Totals{{oldVersion: {}, newVersion: {}}, {oldVersion: {}, newVersion: {}}, {oldVersion: {}, newVersion: {}}}
		states := []json.RawMessage{}
		report := func(i int) Report {
			return Report{Process: Process{string(rune('a' + i)), 1}, Totals: maps.Clone(totals[i])}
		}
		for i := range totals {
			for _, c := range controllers {
				c.Report(rev, report(i), now)
			}
		}
		controller, node := rapid.IntRange(0, 1), rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"serve": func(t *rapid.T) {
				target := rapid.SampledFrom([]config.Target{oldVersion, newVersion}).Draw(t, "version")
				i := node.Draw(t, "node")
				totals[i][target] = totals[i][target].Plus(Evidence{Rated: Counts{Good: rapid.IntRange(0, 9).Draw(t, "good"), Bad: rapid.IntRange(0, 9).Draw(t, "bad")}})
			},
			"tell": func(t *rapid.T) {
				controllers[controller.Draw(t, "driver")].Report(rev, report(node.Draw(t, "node")), now)
			},
			"remember": func(t *rapid.T) {
				body, err := controllers[controller.Draw(t, "driver")].ExportState(rev, "r")
				if err != nil {
					t.Fatal(err)
				}
				states = append(states, body)
			},
			"recall": func(t *rapid.T) {
				if len(states) == 0 {
					return
				}
				c := controllers[controller.Draw(t, "driver")]
				if err := c.RestoreState(rev, "r", rapid.SampledFrom(states).Draw(t, "memory"), now); err != nil {
					t.Fatal(err)
				}
			},
			"new driver": func(t *rapid.T) {
				c := NewController()
				for i := range totals {
					c.Report(rev, Report{Process: Process{string(rune('a' + i)), 1}, Totals: Totals{oldVersion: {}, newVersion: {}}}, now)
				}
				controllers[controller.Draw(t, "driver")] = c
			},
		})
		wantOld, wantNext := Evidence{}, Evidence{}
		for i := range totals {
			wantOld, wantNext = wantOld.Plus(totals[i][oldVersion]), wantNext.Plus(totals[i][newVersion])
		}
		for _, c := range controllers {
			for i := range totals {
				c.Report(rev, report(i), now)
			}
			if gotOld, gotNext := countedOutcomes(c, "r"); gotOld != wantOld || gotNext != wantNext {
				t.Fatalf("counted %v and %v of %v and %v", gotOld, gotNext, wantOld, wantNext)
			}
		}
	})
}

// A controller with restored state continues where the exporting one was: both
// withdraw the version in the same analysis.
func TestRestoredControllerContinues(t *testing.T) {
	is := is.New(t)
	rev, r := runningRevision(0), newReporters()
	rev.Config.Rollouts["r"].Stages[0].Bake = config.Duration(time.Hour)
	r.rng = rand.New(rand.NewPCG(20261204, 9))
	quality := map[config.Target]float64{oldVersion: 0.82, newVersion: 0.6}
	first, second := NewController(), NewController()
	for block := range 200 {
		now := time.Unix(int64(block)*10, 0)
		r.report(first, rev, quality, 1, now)
		for i := range r.totals {
			second.Report(rev, Report{Process{string(rune('a' + i)), 1}, maps.Clone(r.totals[i]), true}, now)
		}
		a, b := first.Analyze(rev, ownsAll, false, now), second.Analyze(rev, ownsAll, false, now)
		is.Equal(len(a.Actions), len(b.Actions))
		if len(a.Actions) > 0 {
			is.True(block > 10) // the controller was replaced before
			return
		}
		body, err := second.ExportState(rev, "r")
		is.NoErr(err)
		second = NewController()
		is.NoErr(second.RestoreState(rev, "r", body, now))
	}
	is.Fail() // no withdrawal by either controller
}

// State of another run or another version, or with damaged numbers, must be
// rejected and change nothing.
func TestRestoreRejectsUnfitState(t *testing.T) {
	is := is.New(t)
	rev, now := runningRevision(1), time.Unix(0, 0)
	c := NewController()
	c.Report(rev, Report{Process{"a", 1}, Totals{oldVersion: {Rated: Counts{Good: 5}}}, true}, now)
	body, err := c.ExportState(rev, "r")
	is.NoErr(err)
	is.NoErr(NewController().RestoreState(rev, "r", body, now))
	text := string(body)
	for _, unfit := range []string{
		"", "{", "null",
		strings.Replace(text, `"stage":1`, `"stage":2`, 1),
		strings.Replace(text, `"since":"19`, `"since":"20`, 1),
		strings.Replace(text, "v2", "v9", 1),
		strings.Replace(text, `"Good":5`, `"Good":-5`, 1),
	} {
		other := NewController()
		is.True(unfit != text) // the replacement took place
		is.Equal(other.RestoreState(rev, "r", json.RawMessage(unfit), now), ErrStateMismatch)
		is.Equal(len(other.guarded), 0)
	}
	restarted := runningRevision(0)
	restarted.Stages["r"] = config.RolloutState{Stage: 0, Since: now.Add(time.Hour)}
	is.Equal(NewController().RestoreState(restarted, "r", body, now), ErrStateMismatch)
}

// BenchmarkExportState measures the time to export the state of a roll-out at the
// design size and its stored size in bytes.
func BenchmarkExportState(b *testing.B) {
	const nodes = 340
	rev, c, rng := runningRevision(0), NewController(), rand.New(rand.NewPCG(20261204, 1))
	randomEvidence := func(n int) Evidence {
		return Evidence{Rated: counts(rng, n, 0.8), Served: counts(rng, n, 0.99), Timely: counts(rng, n, 0.95)}
	}
	for i := range nodes {
		p := Process{fmt.Sprintf("entry-%03d", i), 1_790_000_000_000_000_000 + rng.Uint64N(1e15)}
		c.Report(rev, Report{Process: p, Totals: Totals{oldVersion: randomEvidence(20_000), newVersion: randomEvidence(2_000)}}, time.Unix(0, 0))
	}
	var stored []byte
	for b.Loop() {
		body, err := c.ExportState(rev, "r")
		if err != nil {
			b.Fatal(err)
		}
		if stored, err = snapshot.Encode(snapshot.Content{Kind: "rollout/r", Schema: ControllerStateSchema, Body: body}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(stored)), "bytes")
}
