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

// seed is fixed so that CI gives the same result each time. steps makes sequences
// long enough for messages to be delivered.
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

// Whatever steps are tried in any order, the new version's share of sessions must
// fall only by a withdrawal, and a paused roll-out must never be due.
func TestShareIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rev, now := revision(), time.Unix(0, 0)
		v2 := config.Target{Model: "kuski", Version: "v2"}
		share := 0.0
		attempt := func(step func() error) func(*rapid.T) {
			return func(*rapid.T) {
				if rev.IsWithdrawn(v2) {
					return
				}
				_ = step()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"start":    attempt(func() error { return Start(rev, "r", now) }),
			"pause":    attempt(func() error { return Pause(rev, "r") }),
			"continue": attempt(func() error { return Continue(rev, "r", now) }),
			"advance":  attempt(func() error { return Advance(rev, "r", now) }),
			"promote":  attempt(func() error { return Promote(rev, "r", now) }),
			"bake": attempt(func() error {
				now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
				if IsDue(rev, "r", rapid.IntRange(0, 100).Draw(t, "verdicts"), now) {
					if State(rev, "r").Paused {
						t.Fatal("a paused roll-out is due")
					}
					return Advance(rev, "r", now)
				}
				return nil
			}),
			"": func(t *rapid.T) {
				next := routing.RolloutShare(rev, "r")
				if next < share {
					t.Fatalf("the share fell from %g to %g", share, next)
				}
				share = next
			},
		})
	})
}

// A withdrawn version cannot be rolled out by any step until it is restored.
func TestWithdrawnStaysOut(t *testing.T) {
	is := is.New(t)
	rev, now := revision(), time.Unix(0, 0)
	v2 := config.Target{Model: "kuski", Version: "v2"}
	is.NoErr(Start(rev, "r", now))
	is.NoErr(Withdraw(rev, v2, "bad", now))
	for _, step := range []error{Start(rev, "r", now), Continue(rev, "r", now), Advance(rev, "r", now), Promote(rev, "r", now), Withdraw(rev, v2, "again", now)} {
		var refused *TransitionError
		is.True(step != nil)
		is.True(asTransitionError(step, &refused))
	}
	is.True(!IsDue(rev, "r", MinVerdicts, now.Add(time.Hour)))
	is.NoErr(Restore(rev, v2))
	is.Equal(State(rev, "r").Stage, NotStarted)
	is.NoErr(Start(rev, "r", now))
}

func asTransitionError(err error, target **TransitionError) bool {
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

// countWithdrawals simulates the given number of roll-outs and counts those that a
// guard ends with a withdrawal.
func countWithdrawals(rollouts int, old, next func(block int) float64) int {
	withdrawn := 0
	for i := range rollouts {
		rng := rand.New(rand.NewPCG(20261204, uint64(i)))
		g := NewGuard()
		for block := range 300 {
			result := g.Observe(Evidence{Rated: counts(rng, 18, old(block))}, Evidence{Rated: counts(rng, 4, next(block))}, time.Unix(int64(block)*10, 0))
			if result.Withdraw {
				withdrawn++
				break
			}
		}
	}
	return withdrawn
}

func constantRate(p float64) func(int) float64 { return func(int) float64 { return p } }

// The guard must keep its bound on false alarms although it is evaluated after
// each block, also while the rating service is biased for part of the time. It
// must detect a version that is 15 percentage points worse.
func TestGuardBounds(t *testing.T) {
	is := is.New(t)
	const rollouts = 400
	biased := func(block int) float64 {
		if block > 100 && block < 200 {
			return 0.4
		}
		return 0.82
	}
	is.True(countWithdrawals(rollouts, constantRate(0.82), constantRate(0.82)) < rollouts*FalseAlarmBound)
	is.True(countWithdrawals(rollouts, biased, biased) < rollouts*FalseAlarmBound)
	is.Equal(countWithdrawals(rollouts, constantRate(0.82), constantRate(0.67)), rollouts)
}

// With single answers, so that no observation has outcomes of both versions,
// the guard must still detect a bad version and keep its bound.
func TestGuardWithSparseAnswers(t *testing.T) {
	is := is.New(t)
	run := func(quality float64) int {
		withdrawn := 0
		for i := range uint64(400) {
			rng := rand.New(rand.NewPCG(20261204, i))
			g := NewGuard()
			for call := range 1500 {
				e := [2]Evidence{}
				if version := rng.IntN(6) / 5; version == 0 {
					e[0].Rated = counts(rng, 1, 0.82)
				} else {
					e[1].Rated = counts(rng, 1, quality)
				}
				if g.Observe(e[0], e[1], time.Unix(int64(call)*6, 0)).Withdraw {
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

// Errors alone and slow answers alone must lead to a withdrawal as well.
func TestGuardChannels(t *testing.T) {
	is := is.New(t)
	good, bad := Counts{Good: 20}, Counts{Good: 10, Bad: 10}
	for _, e := range []Evidence{{Served: bad}, {Timely: bad}} {
		g, isWithdrawn := NewGuard(), false
		for i := range 10 {
			isWithdrawn = isWithdrawn || g.Observe(Evidence{Served: good, Timely: good}, e, time.Unix(int64(i), 0)).Withdraw
		}
		is.True(isWithdrawn)
	}
}

// A version that turns bad is detected by comparison with its own history. If the
// ratings of all versions fall together, nothing is withdrawn.
func TestWatch(t *testing.T) {
	is := is.New(t)
	a, b := config.Target{Model: "a", Version: "v1"}, config.Target{Model: "b", Version: "v1"}
	run := func(lossA, lossB float64) bool {
		rng := rand.New(rand.NewPCG(20261204, 1))
		w, isWithdrawn := NewWatch(), false
		for block := range 1000 {
			now := time.Unix(int64(block)*10, 0)
			la, lb := 0.0, 0.0
			if block > 600 {
				la, lb = lossA, lossB
			}
			vb := w.Observe(b, Evidence{Rated: counts(rng, 6, 0.95-lb)}, now)
			va := w.Observe(a, Evidence{Rated: counts(rng, 20, 0.82-la)}, now)
			isWithdrawn = isWithdrawn || va.Withdraw || vb.Withdraw
		}
		return isWithdrawn
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

// A suspect version gets sessions again after its hold. It must not be held again
// before it has given a number of new answers; otherwise it could stay on hold
// without ever being withdrawn or cleared.
func TestHoldEndsInAnAnalysisResult(t *testing.T) {
	is := is.New(t)
	const probation = 20
	for i := range uint64(50) {
		rng := rand.New(rand.NewPCG(20261204, i))
		g, now := NewGuard(), time.Unix(0, 0)
		observe := func() AnalysisResult {
			now = now.Add(10 * time.Second)
			return g.Observe(Evidence{Rated: counts(rng, 18, 0.9)}, Evidence{Rated: counts(rng, 1, 0.4)}, now)
		}
		result := observe()
		for result.HoldUntil.IsZero() {
			result = observe()
		}
		now = result.HoldUntil
		for n := 1; n < probation && !result.Withdraw; n++ {
			result = observe()
			is.True(result.Withdraw || result.HoldUntil.IsZero()) // held again without new answers
		}
	}
}

// Guards against a bad version that is taken for good because its first answers are not
// weighed: at few answers a second they are all that a short roll-out sees.
func TestFirstAnswersOfNewVersionAreWeighed(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after int // answers of the version in place before and after those of the new one
	}{{"after the baseline", 50, minBlockOld}, {"before the baseline", 1, 50}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			test := SequentialTest{Margin: 0.02}
			for range c.before {
				test.Add(Counts{Good: 1}, Counts{})
			}
			test.Add(Counts{}, Counts{Bad: 2})
			for range c.after {
				test.Add(Counts{Good: 1}, Counts{})
			}
			t.Logf("evidence %.1f", test.Evidence())
			is.True(test.Evidence() > 5) // 1 is none
		})
	}
}
