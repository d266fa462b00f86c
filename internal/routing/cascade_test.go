package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

var (
	cheap  = config.Target{Model: "kuski", Version: "v1"}
	strong = config.Target{Model: "emanta", Version: "v3"}
)

func newCandidates(cheapPass, strongPass float64) []Candidate {
	return []Candidate{
		{Target: cheap, Cost: 0.4, Pass: Estimate{Mean: cheapPass, Verdicts: 1000}},
		{Target: strong, Cost: 3, Pass: Estimate{Mean: strongPass, Verdicts: 1000}},
	}
}

// Guards against steps that cost too much or miss the quality target. The cheap
// version answers alone where that suffices, and first where it often passes.
// The strong one answers alone where the cheap one rarely passes or no answer
// can be verified.
func TestChooseSteps(t *testing.T) {
	for _, c := range []struct {
		name      string
		pass      float64
		verify    bool
		want      Steps
		rareCheap bool
	}{
		{"cheap suffices", 0.92, true, Steps{First: cheap}, false},
		{"cheap suffices, no verdict", 0.92, false, Steps{First: cheap}, false},
		{"cheap often passes", 0.6, true, Steps{First: cheap, Second: strong}, false},
		{"no verdict in time", 0.6, false, Steps{First: strong}, false},
		{"cheap hardly passes", 0.05, true, Steps{First: strong}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ChooseSteps(CascadeRequest{Candidates: newCandidates(c.pass, 0.95), QualityTarget: 0.8, CanVerify: c.verify, Draw: 1}), c.want)
		})
	}
}

// Whatever the estimates, all steps are candidates, a second step costs at
// least as much as the first unless explored, and there is only one step if
// verification is not possible.
func TestStepsAreCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		req := CascadeRequest{
			QualityTarget: rapid.Float64Range(0, 1).Draw(t, "target"), CanVerify: rapid.Bool().Draw(t, "verify"), Draw: rapid.Float64Range(0, 1).Draw(t, "draw"),
		}
		cost := map[config.Target]float64{}
		for i := range rapid.IntRange(0, 5).Draw(t, "candidates") {
			c := Candidate{
				Target: config.Target{Model: fmt.Sprint("m", i), Version: "v"}, Cost: rapid.Float64Range(0, 10).Draw(t, "cost"),
				Pass: Estimate{Mean: rapid.Float64Range(0, 1).Draw(t, "mean"), Verdicts: rapid.Float64Range(0, 500).Draw(t, "verdicts")},
			}
			cost[c.Target] = c.Cost
			req.Candidates = append(req.Candidates, c)
		}
		s := ChooseSteps(req)
		if len(cost) == 0 {
			if s != (Steps{}) {
				t.Fatalf("no candidate, yet %v", s)
			}
			return
		}
		first, ok := cost[s.First]
		second, okSecond := cost[s.Second]
		switch {
		case !ok:
			t.Fatalf("%s is no candidate", s.First)
		case s.NeedsVerdict() && (!okSecond || !req.CanVerify):
			t.Fatalf("second step %s, verification possible: %t", s.Second, req.CanVerify)
		case s.NeedsVerdict() && second < first:
			t.Fatalf("the second step costs %g, the first %g", second, first)
		}
	})
}

// The estimate follows the verdicts, reduces the weight of old ones, and starts
// from the verdicts of other organisations on the same kind.
func TestPassProbabilities(t *testing.T) {
	is := is.New(t)
	c, now := NewPassProbabilities(), time.Unix(0, 0)
	is.Equal(c.Estimate("a", "draft", cheap, 0.82).Mean, 0.82)
	rng := rand.New(rand.NewPCG(20261204, 1))
	for range 500 {
		c.Learn("a", "draft", cheap, rng.Float64() < 0.4, now)
		now = now.Add(10 * time.Second)
	}
	own := c.Estimate("a", "draft", cheap, 0.82).Mean
	is.True(own > 0.33 && own < 0.47)
	shared := c.Estimate("b", "draft", cheap, 0.82).Mean
	is.True(shared > 0.33 && shared < 0.47)
	is.Equal(c.Estimate("a", "chat", cheap, 0.82).Mean, 0.82)
	for range 200 {
		now = now.Add(10 * time.Second)
		c.Learn("a", "draft", cheap, true, now.Add(4*halfLife))
	}
	is.True(c.Estimate("a", "draft", cheap, 0.82).Mean > 0.9)
}

// Guards against double counting: a single failed verdict counts once, although
// it belongs both to the organisation and to all organisations, and does not
// rule out a good version.
func TestOneVerdictCountsOnce(t *testing.T) {
	is := is.New(t)
	c := NewPassProbabilities()
	c.Learn("a", "draft", strong, false, time.Unix(0, 0))
	own, other := c.Estimate("a", "draft", strong, 0.95), c.Estimate("b", "draft", strong, 0.95)
	is.Equal(own.Verdicts, 1.0)
	is.Equal(other.Verdicts, 1.0)
	is.True(own.lowerBound() > 0.85 && other.lowerBound() > 0.85)
}

// Guards against unbounded growth of the table when callers invent kinds.
func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewPassProbabilities()
	for i := range 10 * maxKinds {
		c.Learn("a", fmt.Sprint(i), cheap, true, time.Unix(0, 0))
	}
	is.True(len(c.table) <= 2*(maxKinds+1))
	is.Equal(c.RegisterKind("a", "one more"), OtherKind)
	is.Equal(c.RegisterKind("a", "3"), "3")
	is.Equal(c.RegisterKind("a", ""), OtherKind)
}

func BenchmarkChooseSteps(b *testing.B) {
	var list []Candidate
	for i := range 8 {
		list = append(list, Candidate{Target: config.Target{Model: fmt.Sprint(i)}, Cost: float64(i + 1), Pass: Estimate{Mean: 0.5 + float64(i)/20, Verdicts: 100}})
	}
	b.ReportAllocs()
	for b.Loop() {
		ChooseSteps(CascadeRequest{Candidates: list, QualityTarget: 0.8, CanVerify: true, Draw: 1})
	}
}
