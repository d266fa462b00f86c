package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

func init() {
	registerScenario(Scenario{Name: "quiet", Description: "quiet hours begin under load in one data centre: work sent elsewhere beforehand and moved at the beginning, by how much room is left", Run: runQuiet})
}

const (
	quietRate           = 2.0 // requests per second at the data centre
	quietLeadTime       = 10 * time.Minute
	quietTokenInterval  = 25 * time.Millisecond // between tokens, as learned
	quietIntervalStdDev = 0.3                   // standard deviation of the logarithm of the true interval
	quietRounds         = 50
)

// quietLimits are the callers' limits on the tokens of an answer.
var quietLimits = []int{64, 256, 1024}

// quietPolicies are the look-ahead policies: the multiple of the expected
// length that must fit before the window. A negative multiple also lets running
// work continue.
var quietPolicies = []struct {
	name         string
	lengthFactor float64
}{
	{"no look ahead, running work not stopped", -1},
	{"no look ahead", 0},
	{"half the expected length", 0.5},
	{"the expected length", 1},
	{"1.5 times the expected length", 1.5},
	{"2.5 times the expected length", 2.5},
}

// runQuiet generates requests before a quiet window under each policy.
func runQuiet(seed uint64) *Table {
	t := &Table{Columns: []string{"sent elsewhere per 1000", "moved at the beginning per 1000", "ran inside s per 1000", "longest inside s"}}
	for _, p := range quietPolicies {
		rng := rand.New(rand.NewPCG(seed, 1))
		count, sentElsewhere, moved := 0, 0, 0
		timeInside, longestInside := time.Duration(0), time.Duration(0)
		for range quietRounds {
			for at := time.Duration(0); at < quietLeadTime; at += time.Duration(rng.ExpFloat64() / quietRate * float64(time.Second)) {
				limit := quietLimits[rng.IntN(len(quietLimits))]
				tokens := limit/2 + rng.IntN(limit/2)
				runTime := time.Duration(float64(tokens) * float64(quietTokenInterval) * math.Exp(rng.NormFloat64()*quietIntervalStdDev))
				expectedTime := time.Duration(max(p.lengthFactor, 0) * float64(limit) * float64(quietTokenInterval))
				timeLeft := quietLeadTime - at
				count++
				switch {
				case expectedTime > timeLeft:
					sentElsewhere++
				case runTime > timeLeft && p.lengthFactor < 0:
					timeInside += runTime - timeLeft
					longestInside = max(longestInside, runTime-timeLeft)
				case runTime > timeLeft:
					moved++
				}
			}
		}
		perThousand := 1000 / float64(count)
		t.AddRow(p.name, formatFloat(float64(sentElsewhere)*perThousand, 1), formatFloat(float64(moved)*perThousand, 2), formatFloat(timeInside.Seconds()*perThousand, 1), formatFloat(longestInside.Seconds(), 1))
	}
	return t
}
