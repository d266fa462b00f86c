package rollout

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// counted is all that a driver counted of a roll-out, seen by its guard or not.
func counted(d *Driver, name string) (old, next Evidence) {
	g := d.guards[name]
	if g == nil {
		return Evidence{}, Evidence{}
	}
	return g.old.Plus(Evidence{Rated: g.guard.tests[ratings].old}), g.next
}

// Two drivers hear the same totals, some of them late; now and then one
// remembers and the other recalls, an old memory too. However that falls out,
// totals that both have heard count once.
func TestRecalledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rev, now := drivenRevision(0), time.Unix(0, 0)
		drivers := [2]*Driver{NewDriver(), NewDriver()}
		totals := [3]Totals{{old: {}, next: {}}, {old: {}, next: {}}, {old: {}, next: {}}}
		memories := []json.RawMessage{}
		report := func(i int) Report {
			return Report{Process: Process{string(rune('a' + i)), 1}, Totals: maps.Clone(totals[i])}
		}
		for i := range totals {
			for _, d := range drivers {
				d.Report(rev, report(i), now)
			}
		}
		driver, node := rapid.IntRange(0, 1), rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"serve": func(t *rapid.T) {
				of := rapid.SampledFrom([]config.Target{old, next}).Draw(t, "version")
				i := node.Draw(t, "node")
				totals[i][of] = totals[i][of].Plus(Evidence{Rated: Counts{Good: rapid.IntRange(0, 9).Draw(t, "good"), Bad: rapid.IntRange(0, 9).Draw(t, "bad")}})
			},
			"tell": func(t *rapid.T) { drivers[driver.Draw(t, "driver")].Report(rev, report(node.Draw(t, "node")), now) },
			"remember": func(t *rapid.T) {
				body, err := drivers[driver.Draw(t, "driver")].Remember(rev, "r")
				if err != nil {
					t.Fatal(err)
				}
				memories = append(memories, body)
			},
			"recall": func(t *rapid.T) {
				if len(memories) == 0 {
					return
				}
				d := drivers[driver.Draw(t, "driver")]
				if err := d.Recall(rev, "r", rapid.SampledFrom(memories).Draw(t, "memory"), now); err != nil {
					t.Fatal(err)
				}
			},
			"new driver": func(t *rapid.T) {
				d := NewDriver()
				for i := range totals {
					d.Report(rev, Report{Process: Process{string(rune('a' + i)), 1}, Totals: Totals{old: {}, next: {}}}, now)
				}
				drivers[driver.Draw(t, "driver")] = d
			},
		})
		wantOld, wantNext := Evidence{}, Evidence{}
		for i := range totals {
			wantOld, wantNext = wantOld.Plus(totals[i][old]), wantNext.Plus(totals[i][next])
		}
		for _, d := range drivers {
			for i := range totals {
				d.Report(rev, report(i), now)
			}
			if gotOld, gotNext := counted(d, "r"); gotOld != wantOld || gotNext != wantNext {
				t.Fatalf("counted %v and %v of %v and %v", gotOld, gotNext, wantOld, wantNext)
			}
		}
	})
}

// A driver that recalls goes on where the one before was: both withdraw at the
// same look.
func TestRecallGoesOn(t *testing.T) {
	is := is.New(t)
	rev, r := drivenRevision(0), newReporters()
	rev.Config.Rollouts["r"].Stages[0].Bake = config.Duration(time.Hour)
	r.rng = rand.New(rand.NewPCG(20261204, 9))
	quality := map[config.Target]float64{old: 0.82, next: 0.6}
	one, two := NewDriver(), NewDriver()
	for block := range 200 {
		now := time.Unix(int64(block)*10, 0)
		r.tell(one, rev, quality, 1, now)
		for i := range r.totals {
			two.Report(rev, Report{Process{string(rune('a' + i)), 1}, maps.Clone(r.totals[i]), true}, now)
		}
		a, b := one.Judge(rev, drivesAll, false, now), two.Judge(rev, drivesAll, false, now)
		is.Equal(len(a.Actions), len(b.Actions))
		if len(a.Actions) > 0 {
			is.True(block > 10) // the driver changed meanwhile
			return
		}
		body, err := two.Remember(rev, "r")
		is.NoErr(err)
		two = NewDriver()
		is.NoErr(two.Recall(rev, "r", body, now))
	}
	is.Fail() // neither withdrew
}

// A memory of another run, another version or with damaged numbers is refused
// and changes nothing.
func TestUnfitMemory(t *testing.T) {
	is := is.New(t)
	rev, now := drivenRevision(1), time.Unix(0, 0)
	d := NewDriver()
	d.Report(rev, Report{Process{"a", 1}, Totals{old: {Rated: Counts{Good: 5}}}, true}, now)
	body, err := d.Remember(rev, "r")
	is.NoErr(err)
	is.NoErr(NewDriver().Recall(rev, "r", body, now))
	text := string(body)
	for _, unfit := range []string{
		"", "{", "null",
		strings.Replace(text, `"stage":1`, `"stage":2`, 1),
		strings.Replace(text, `"since":"19`, `"since":"20`, 1),
		strings.Replace(text, "v2", "v9", 1),
		strings.Replace(text, `"Good":5`, `"Good":-5`, 1),
	} {
		other := NewDriver()
		is.True(unfit != text) // the replacement took place
		is.Equal(other.Recall(rev, "r", json.RawMessage(unfit), now), ErrMemory)
		is.Equal(len(other.guards), 0)
	}
	restarted := drivenRevision(0)
	restarted.Stages["r"] = config.RolloutState{Stage: 0, Since: now.Add(time.Hour)}
	is.Equal(NewDriver().Recall(restarted, "r", body, now), ErrMemory)
}
