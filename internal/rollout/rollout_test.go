package rollout

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// seed is pinned so that CI gives the same verdict each time; steps make
// sequences long enough for messages to travel.
const (
	seed  = "20261204"
	steps = "100"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.steps": steps} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func revision() *config.Revision {
	return &config.Revision{
		Config: &config.Config{
			Models: map[string]*config.Model{"kuski": {Default: "v1", Versions: map[string]*config.Version{"v1": {}, "v2": {}}}},
			Rollouts: map[string]*config.Rollout{"r": {Model: "kuski", From: "v1", To: "v2", Stages: []config.Stage{
				{Percent: 1, Bake: config.Duration(time.Minute)}, {Percent: 10, Bake: config.Duration(time.Minute)}, {Percent: 50, Bake: config.Duration(time.Minute)},
			}}},
		},
		Stages: map[string]config.RolloutState{}, Withdrawn: map[config.Target]config.Withdrawal{},
	}
}

// Whatever steps are tried in whatever order, the new version's share never
// falls but by a withdrawal, and no step is taken while paused.
func TestShareIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rev, now := revision(), time.Unix(0, 0)
		v2 := config.Target{Model: "kuski", Version: "v2"}
		share := 0.0
		try := func(step func() error) func(*rapid.T) {
			return func(*rapid.T) {
				if rev.IsWithdrawn(v2) {
					return
				}
				_ = step()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"start":    try(func() error { return Start(rev, "r", now) }),
			"pause":    try(func() error { return Pause(rev, "r") }),
			"continue": try(func() error { return Continue(rev, "r", now) }),
			"advance":  try(func() error { return Advance(rev, "r", now) }),
			"promote":  try(func() error { return Promote(rev, "r", now) }),
			"bake": try(func() error {
				now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
				if Due(rev, "r", rapid.IntRange(0, 100).Draw(t, "verdicts"), now) {
					if State(rev, "r").Paused {
						t.Fatal("a paused roll-out is due")
					}
					return Advance(rev, "r", now)
				}
				return nil
			}),
			"": func(t *rapid.T) {
				next := routing.Share(rev, "r")
				if next < share {
					t.Fatalf("the share fell from %g to %g", share, next)
				}
				share = next
			},
		})
	})
}

// A withdrawn version cannot be started, and only a restore begins anew.
func TestWithdrawnStaysOut(t *testing.T) {
	is := is.New(t)
	rev, now := revision(), time.Unix(0, 0)
	v2 := config.Target{Model: "kuski", Version: "v2"}
	is.NoErr(Start(rev, "r", now))
	is.NoErr(Withdraw(rev, v2, "bad", now))
	for _, step := range []error{Start(rev, "r", now), Continue(rev, "r", now), Advance(rev, "r", now), Promote(rev, "r", now), Withdraw(rev, v2, "again", now)} {
		var refused *TransitionError
		is.True(step != nil)
		is.True(asTransition(step, &refused))
	}
	is.True(!Due(rev, "r", MinVerdicts, now.Add(time.Hour)))
	is.NoErr(Restore(rev, v2))
	is.Equal(State(rev, "r").Stage, NotStarted)
	is.NoErr(Start(rev, "r", now))
}

func asTransition(err error, target **TransitionError) bool {
	e, ok := err.(*TransitionError)
	*target = e
	return ok
}

func counts(rng *rand.Rand, n int, p float64) Counts {
	c := Counts{}
	for range n {
		if rng.Float64() < p {
			c.Good++
		} else {
			c.Bad++
		}
	}
	return c
}

// withdrawals counts the roll-outs, of the given number, that a guard ends.
func withdrawals(rollouts int, old, next func(block int) float64) int {
	out := 0
	for i := range rollouts {
		rng := rand.New(rand.NewPCG(20261204, uint64(i)))
		g := NewGuard()
		for block := range 300 {
			v := g.Observe(Evidence{Rated: counts(rng, 18, old(block))}, Evidence{Rated: counts(rng, 4, next(block))}, time.Unix(int64(block)*10, 0))
			if v.Withdraw {
				out++
				break
			}
		}
	}
	return out
}

func always(p float64) func(int) float64 { return func(int) float64 { return p } }

// The guard keeps its bound on false alarms though it looks at each block,
// also while the rating service is biased for part of the time, and it finds a
// version 15 points worse.
func TestGuardBounds(t *testing.T) {
	is := is.New(t)
	const rollouts = 400
	biased := func(block int) float64 {
		if block > 100 && block < 200 {
			return 0.4
		}
		return 0.82
	}
	is.True(withdrawals(rollouts, always(0.82), always(0.82)) < rollouts*FalseAlarmBound)
	is.True(withdrawals(rollouts, biased, biased) < rollouts*FalseAlarmBound)
	is.Equal(withdrawals(rollouts, always(0.82), always(0.67)), rollouts)
}

// Where answers come one at a time, so that no look sees both versions, the
// guard still finds a bad version and keeps its bound.
func TestGuardOfSparseAnswers(t *testing.T) {
	is := is.New(t)
	run := func(quality float64) int {
		withdrawn := 0
		for i := range uint64(400) {
			rng := rand.New(rand.NewPCG(20261204, i))
			g := NewGuard()
			for look := range 1500 {
				e := [2]Evidence{}
				if which := rng.IntN(6) / 5; which == 0 {
					e[0].Rated = counts(rng, 1, 0.82)
				} else {
					e[1].Rated = counts(rng, 1, quality)
				}
				if g.Observe(e[0], e[1], time.Unix(int64(look)*6, 0)).Withdraw {
					withdrawn++
					break
				}
			}
		}
		return withdrawn
	}
	is.True(run(0.82) < 400*FalseAlarmBound)
	is.True(run(0.4) == 400)
}

// Errors and slowness alone are found as well.
func TestGuardChannels(t *testing.T) {
	is := is.New(t)
	good, bad := Counts{Good: 20}, Counts{Good: 10, Bad: 10}
	for _, e := range []Evidence{{Served: bad}, {Timely: bad}} {
		g, withdrawn := NewGuard(), false
		for i := range 10 {
			withdrawn = withdrawn || g.Observe(Evidence{Served: good, Timely: good}, e, time.Unix(int64(i), 0)).Withdraw
		}
		is.True(withdrawn)
	}
}

// A version that turns bad is found by its own past; when all verdicts fall
// together, nothing is withdrawn.
func TestWatch(t *testing.T) {
	is := is.New(t)
	a, b := config.Target{Model: "a", Version: "v1"}, config.Target{Model: "b", Version: "v1"}
	run := func(lossA, lossB float64) bool {
		rng := rand.New(rand.NewPCG(20261204, 1))
		w, gone := NewWatch(), false
		for block := range 1000 {
			now := time.Unix(int64(block)*10, 0)
			la, lb := 0.0, 0.0
			if block > 600 {
				la, lb = lossA, lossB
			}
			vb := w.Observe(b, Evidence{Rated: counts(rng, 6, 0.95-lb)}, now)
			va := w.Observe(a, Evidence{Rated: counts(rng, 20, 0.82-la)}, now)
			gone = gone || va.Withdraw || vb.Withdraw
		}
		return gone
	}
	is.True(!run(0, 0))
	is.True(run(0.15, 0))
	is.True(!run(0.4, 0.4))
}

func BenchmarkGuardObserve(b *testing.B) {
	g := NewGuard()
	e := Evidence{Rated: Counts{90, 10}, Served: Counts{100, 0}, Timely: Counts{95, 5}}
	b.ReportAllocs()
	for b.Loop() {
		g.Observe(e, e, time.Unix(0, 0))
	}
}

// A suspect version is tried again after its hold: it is not held anew before
// it gave a number of new answers, so that it is withdrawn or cleared in the
// end.
func TestHoldEndsInAVerdict(t *testing.T) {
	is := is.New(t)
	const probation = 20
	for i := range uint64(50) {
		rng := rand.New(rand.NewPCG(20261204, i))
		g, now := NewGuard(), time.Unix(0, 0)
		observe := func() Verdict {
			now = now.Add(10 * time.Second)
			return g.Observe(Evidence{Rated: counts(rng, 18, 0.9)}, Evidence{Rated: counts(rng, 1, 0.4)}, now)
		}
		v := observe()
		for v.HoldUntil.IsZero() {
			v = observe()
		}
		now = v.HoldUntil
		for n := 1; n < probation && !v.Withdraw; n++ {
			v = observe()
			is.True(v.Withdraw || v.HoldUntil.IsZero()) // held anew without having been tried
		}
	}
}
