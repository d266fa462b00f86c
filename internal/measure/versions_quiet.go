package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

func init() {
	register(Scenario{Name: "quiet", About: "quiet hours begin under load in one data centre: work sent elsewhere beforehand and moved at the beginning, by how much room is left", Run: runQuiet})
}

const (
	quietRate   = 2.0 // requests a second at the data centre
	quietBefore = 10 * time.Minute
	quietPace   = 25 * time.Millisecond // between tokens, as learned
	quietSpread = 0.3                   // of the true pace, as a logarithm
	quietRounds = 50
)

// quietLimits are the tokens that callers allow.
var quietLimits = []int{64, 256, 1024}

// quietPolicies are the multiples of the expected length that must fit before
// the window.
var quietPolicies = []struct {
	name string
	room float64
}{
	{"no look ahead, running work not stopped", -1},
	{"no look ahead", 0},
	{"half the expected length", 0.5},
	{"the expected length", 1},
	{"1.5 times the expected length", 1.5},
	{"2.5 times the expected length", 2.5},
}

// runQuiet lets the same requests arrive before a window under each policy.
func runQuiet(seed uint64) *Table {
	t := &Table{Columns: []string{"sent elsewhere per 1000", "moved at the beginning per 1000", "ran inside s per 1000", "longest inside s"}}
	for _, p := range quietPolicies {
		rng := rand.New(rand.NewPCG(seed, 1))
		count, elsewhere, moved := 0, 0, 0
		inside, longest := time.Duration(0), time.Duration(0)
		for range quietRounds {
			for at := time.Duration(0); at < quietBefore; at += time.Duration(rng.ExpFloat64() / quietRate * float64(time.Second)) {
				limit := quietLimits[rng.IntN(len(quietLimits))]
				tokens := limit/2 + rng.IntN(limit/2)
				length := time.Duration(float64(tokens) * float64(quietPace) * math.Exp(rng.NormFloat64()*quietSpread))
				expected := time.Duration(max(p.room, 0) * float64(limit) * float64(quietPace))
				left := quietBefore - at
				count++
				switch {
				case expected > left:
					elsewhere++
				case length > left && p.room < 0:
					inside += length - left
					longest = max(longest, length-left)
				case length > left:
					moved++
				}
			}
		}
		per := 1000 / float64(count)
		t.Add(p.name, num(float64(elsewhere)*per, 1), num(float64(moved)*per, 2), num(inside.Seconds()*per, 1), num(longest.Seconds(), 1))
	}
	return t
}
