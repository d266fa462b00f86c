package edge

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
)

// simulation generates a roll-out's answers as all nodes together count them.
type simulation struct {
	rates []float64 // requests a second of each route
	// failed and slow are the shares of failed and of slow answers of the old version,
	// newFailed and newSlow those of the new version by route.
	failed, slow       float64
	newFailed, newSlow func(route int, at time.Duration) float64
	random             *rand.Rand
	// duration is the roll-out's time; zero is simulatedDuration.
	duration time.Duration
}

// simulationResult is how a simulated roll-out ended.
type simulationResult struct {
	reverted bool
	requests int // of the service within the roll-out's time
	exposed  int // of these to the new version
}

const (
	simulatedDuration = 24 * time.Second
	// exposureBound and exposureAllowance are those of the smaller deployments.
	exposureBound     = 0.15
	exposureAllowance = 30
)

func (s *simulation) run(t *testing.T) simulationResult {
	t.Helper()
	duration := cmp.Or(s.duration, simulatedDuration)
	r := newRollouts(testSchema{}, newSessions(nil, versionCounter(), zap.NewNop()), func() *Settings { return &Settings{ExposureRatio: exposureBound} }, zap.NewNop())
	r.setAllWiden(true)
	ro := r.ensureRollout("x")
	ro.order, ro.startedAt = RolloutOrder{Service: "x", To: "v2", Duration: duration}, startTime
	seen := map[string]comparison{}
	var result simulationResult
	for at := time.Duration(0); at < duration; at += rolloutControlInterval {
		share := r.share(ro, startTime.Add(at))
		if ro.progress(startTime.Add(at)) >= r.schedule(ro).completeFrom {
			share = 1
		}
		for i, rate := range s.rates {
			name := string(rune('a' + i))
			for range s.poisson(rate * rolloutControlInterval.Seconds()) {
				result.requests++
				c := seen[name]
				if !result.reverted && s.random.Float64() < share {
					result.exposed++
					c.New = c.New.plus(s.answer(s.newFailed(i, at), s.newSlow(i, at)))
				} else {
					c.Old = c.Old.plus(s.answer(s.failed, s.slow))
				}
				seen[name] = c
			}
		}
		result.reverted = r.evaluate("x", gossip.Revision{}, seen, startTime.Add(at)) || result.reverted
	}
	return result
}

func (s *simulation) answer(failed, slow float64) outcomes {
	switch draw := s.random.Float64(); {
	case draw < failed:
		return outcomes{Failed: 1}
	case draw < failed+slow:
		return outcomes{Slow: 1}
	default:
		return outcomes{Good: 1}
	}
}

// poisson draws a number of arrivals by adding up exponential gaps.
func (s *simulation) poisson(mean float64) int {
	n := 0
	for total := s.random.ExpFloat64(); total < mean; total += s.random.ExpFloat64() {
		n++
	}
	return n
}

func constantRate(x float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return x }
}

// Guards against a bad version that gets more than its bound of the requests: it fails
// or is slow, on all routes or one, from the start or later, also while the old
// version's answers are slow at times. A version that does little harm may stay in one
// of 8 roll-outs.
func TestBadVersionStaysWithinExposureBound(t *testing.T) {
	const runs = 100
	for _, c := range []struct {
		name         string
		failed, slow func(int, time.Duration) float64
		missed       int // roll-outs in which the version may stay
	}{
		{"quarter fails", constantRate(0.25), constantRate(0.04), 0},
		{"half fails", constantRate(0.5), constantRate(0.04), 0},
		{"half is slow", constantRate(0.01), constantRate(0.5), 0},
		{"quarter is slow", constantRate(0.01), constantRate(0.25), runs / 8},
		{"one route fails", func(route int, _ time.Duration) float64 {
			if route == 0 {
				return 0.3
			}
			return 0.01
		}, constantRate(0.04), runs / 8},
		{"fails from the middle on", func(_ int, at time.Duration) float64 {
			if at > simulatedDuration/2 {
				return 0.3
			}
			return 0.01
		}, constantRate(0.04), runs / 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, missed := is.New(t), 0
			for seed := range uint64(runs) {
				s := &simulation{rates: []float64{13, 16, 14}, failed: 0.01, slow: 0.05, newFailed: c.failed, newSlow: c.slow, random: rand.New(rand.NewPCG(seed, 7))}
				result := s.run(t)
				is.True(float64(result.exposed) <= exposureBound*float64(result.requests)+exposureAllowance)
				if !result.reverted {
					missed++
				}
			}
			is.True(missed <= c.missed)
		})
	}
}

// Guards against a slow version that is completed because too little was seen of it: in a
// roll-out of 15 s with 31 requests a second, half of its requests take eight times as
// long, of which half show as slow.
func TestSlowVersionIsNotCompletedForWantOfAnswers(t *testing.T) {
	const runs = 100
	is, completed := is.New(t), 0
	for seed := range uint64(runs) {
		s := &simulation{
			rates: []float64{9, 11, 11}, failed: 0.005, slow: 0.055, newFailed: constantRate(0.005), newSlow: constantRate(0.25),
			random: rand.New(rand.NewPCG(seed, 9)), duration: 15 * time.Second,
		}
		if !s.run(t).reverted {
			completed++
		}
	}
	t.Logf("%d of %d completed", completed, runs)
	is.Equal(completed, 0)
}

// Guards against a bad version that is completed because a short roll-out shows too few of
// its answers: half of them fail.
func TestBadVersionOfShortRolloutIsReverted(t *testing.T) {
	const runs = 1000
	is, completed := is.New(t), 0
	for seed := range uint64(runs) {
		s := &simulation{
			rates: []float64{11, 11, 11}, failed: 0.005, slow: 0.02, newFailed: constantRate(0.5), newSlow: constantRate(0.02),
			random: rand.New(rand.NewPCG(seed, 10)), duration: 10 * time.Second,
		}
		result := s.run(t)
		is.True(float64(result.exposed) <= exposureBound*float64(result.requests)+exposureAllowance)
		if !result.reverted {
			completed++
		}
	}
	t.Logf("%d of %d completed", completed, runs)
	is.Equal(completed, 0)
}

// Guards against good versions that are reverted: at most one of 16 roll-outs,
// whatever the failure ratio of the old version.
func TestGoodVersionIsRarelyReverted(t *testing.T) {
	const runs = 160
	for _, c := range []struct {
		name         string
		failed, slow float64
		duration     time.Duration
	}{
		{"sound", 0.005, 0.01, simulatedDuration}, {"some fail", 0.05, 0.02, simulatedDuration}, {"loaded", 0.02, 0.15, simulatedDuration},
		{"short, sound", 0.005, 0.01, 10 * time.Second}, {"short, some fail", 0.05, 0.02, 10 * time.Second}, {"short, loaded", 0.02, 0.15, 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, reverted := is.New(t), 0
			for seed := range uint64(runs) {
				s := &simulation{rates: []float64{13, 16, 14}, failed: c.failed, slow: c.slow, newFailed: constantRate(c.failed), newSlow: constantRate(c.slow), random: rand.New(rand.NewPCG(seed, 8)), duration: c.duration}
				if s.run(t).reverted {
					reverted++
				}
			}
			is.True(reverted <= runs/16)
		})
	}
}

// A node that starts in the middle of a roll-out gets the counts of the other nodes at
// once. They must count as evidence all the same.
func TestAnalyzerUsesCountsFromBeforeStart(t *testing.T) {
	is := is.New(t)
	seen := comparison{outcomes{Good: 200, Failed: 4, Slow: 6}, outcomes{Good: 14, Failed: 13}}
	is.True(failsAnalysis(newAnalyzer().evaluate(map[string]comparison{"route": seen}), 0.3))
	seen.New = outcomes{Good: 27, Slow: 1}
	is.True(!failsAnalysis(newAnalyzer().evaluate(map[string]comparison{"route": seen}), 0.9))
}
