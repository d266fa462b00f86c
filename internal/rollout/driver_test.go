package rollout

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// reporters are nodes that tell a driver their running totals.
type reporters struct {
	rng    *rand.Rand
	totals [4]Totals
}

func newReporters() *reporters {
	r := &reporters{rng: rand.New(rand.NewPCG(20261204, 3))}
	for i := range r.totals {
		r.totals[i] = Totals{}
	}
	return r
}

// tell lets every node serve some answers and report, some of them twice.
func (r *reporters) tell(d *Driver, rev *config.Revision, quality map[config.Target]float64, answers int, now time.Time) {
	for i, totals := range r.totals {
		for t, q := range quality {
			totals[t] = totals[t].Plus(Evidence{Rated: counts(r.rng, answers, q)})
		}
		for range 1 + i%2 {
			d.Report(rev, Report{Process{string(rune('a' + i)), 1}, maps.Clone(totals), true}, now)
		}
	}
}

var (
	old  = config.Target{Model: "kuski", Version: "v1"}
	next = config.Target{Model: "kuski", Version: "v2"}
	far  = config.Target{Model: "emanta", Version: "v3"}
)

func drivenRevision(stage int) *config.Revision {
	rev := revision()
	rev.Config.Models["emanta"] = &config.Model{Default: "v3", Versions: map[string]*config.Version{"v3": {}}}
	rev.Stages["r"] = config.RolloutState{Stage: stage, Since: time.Unix(0, 0)}
	return rev
}

func drivesAll(string) bool { return true }

// firstAction judges block by block and returns the first action.
func firstAction(d *Driver, rev *config.Revision, r *reporters, quality map[config.Target]float64, blocks int, from time.Time) (Action, bool) {
	for block := range blocks {
		now := from.Add(time.Duration(block) * 10 * time.Second)
		r.tell(d, rev, quality, 3, now)
		j := d.Judge(rev, drivesAll, true, now)
		if len(j.Actions) > 0 {
			return j.Actions[0], true
		}
	}
	return Action{}, false
}

// A good version is advanced once its stage has baked and enough was rated; a
// bad one is withdrawn; totals heard twice count once.
func TestDriverDrives(t *testing.T) {
	is := is.New(t)
	rev, good := drivenRevision(0), map[config.Target]float64{old: 0.82, next: 0.82, far: 0.95}
	a, ok := firstAction(NewDriver(), rev, newReporters(), good, 100, time.Unix(0, 0))
	is.True(ok)
	is.Equal(a.Kind, ActionAdvance)
	d := NewDriver()
	_, ok = firstAction(d, rev, newReporters(), map[config.Target]float64{old: 0.82}, 100, time.Unix(0, 0))
	is.True(!ok) // nothing of the new version was rated
	bad := map[config.Target]float64{old: 0.82, next: 0.5, far: 0.95}
	rev.Config.Rollouts["r"].Stages[0].Bake = config.Duration(time.Hour)
	a, ok = firstAction(NewDriver(), rev, newReporters(), bad, 100, time.Unix(0, 0))
	is.True(ok)
	is.Equal(a.Kind, ActionWithdraw)
	is.Equal(a.Target, next)
}

// A promoted version that turns bad is withdrawn, as there is one to fall back
// on; a version without another is only held.
func TestDriverWatchesVersionsInPlace(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  config.Target
		want bool
	}{{"promoted", next, true}, {"without another", far, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rev, d, r := drivenRevision(3), NewDriver(), newReporters()
			quality := map[config.Target]float64{next: 0.82, far: 0.95}
			_, ok := firstAction(d, rev, r, quality, 400, time.Unix(0, 0))
			is.True(!ok)
			quality[c.bad] -= 0.3
			held, withdrawn := false, false
			for block := range 120 {
				now := time.Unix(int64(4000+block*10), 0)
				r.tell(d, rev, quality, 3, now)
				j := d.Judge(rev, drivesAll, true, now)
				_, hold := j.Holds[c.bad]
				held = held || hold
				for _, a := range j.Actions {
					is.Equal(a.Target, c.bad)
					withdrawn = withdrawn || a.Kind == ActionWithdraw
				}
			}
			is.True(held)
			is.Equal(withdrawn, c.want)
		})
	}
}

// A restarted node begins its totals anew; late reports of the old process
// change nothing, and a version that a known process had not seen is new.
func TestReports(t *testing.T) {
	is := is.New(t)
	r, now := NewReports(), time.Unix(0, 0)
	ten := Evidence{Rated: Counts{Good: 10}}
	twelve := Evidence{Rated: Counts{Good: 11, Bad: 1}}
	_, first := r.Take(Process{"a", 1}, Totals{old: ten}, now)
	is.True(first)
	news, first := r.Take(Process{"a", 1}, Totals{old: twelve}, now)
	is.True(!first)
	is.Equal(news[old].Rated, Counts{Good: 1, Bad: 1})
	news, _ = r.Take(Process{"a", 1}, Totals{old: ten}, now)
	is.Equal(news[old], Evidence{})
	news, first = r.Take(Process{"a", 1}, Totals{old: ten, next: ten}, now)
	is.True(!first)
	is.Equal(news, Totals{next: ten})
	_, first = r.Take(Process{"a", 2}, Totals{old: ten}, now)
	is.True(first)
	news, first = r.Take(Process{"a", 1}, Totals{old: twelve}, now)
	is.True(!first)
	is.Equal(news[old], Evidence{})
	is.Equal(r.Total(old), ten)
}

// The first answers of a new version at a node that was heard of before are
// evidence: at the design size each node sees few of them.
func TestFirstAnswersCount(t *testing.T) {
	is := is.New(t)
	rev, d, now := drivenRevision(0), NewDriver(), time.Unix(0, 0)
	rev.Config.Rollouts["r"].Stages[0].Bake = config.Duration(time.Hour)
	withdrawn := false
	for i := range 200 {
		p := Process{fmt.Sprint("node-", i), 1}
		d.Report(rev, Report{Process: p, Totals: Totals{old: {Rated: Counts{Good: 100}}, next: {}}}, now)
		d.Report(rev, Report{Process: p, Totals: Totals{old: {Rated: Counts{Good: 104}}, next: {Rated: Counts{Bad: 1}}}}, now)
		now = now.Add(time.Second)
		for _, a := range d.Judge(rev, drivesAll, false, now).Actions {
			withdrawn = withdrawn || a.Kind == ActionWithdraw
		}
	}
	is.True(withdrawn)
}
