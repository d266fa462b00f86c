package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Guards against a quarantine of sound requests that are alike, because the replicas that ran
// some of them ended together, as those of an old version do when its roll-out is completed.
func TestReplicasThatEndTogetherAreOneCrashOfARequest(t *testing.T) {
	is, now := is.New(t), time.Now()
	nodes := []*Suspects{NewSuspects(), NewSuspects()}
	for i := range 8 {
		// Each replica had run its request for up to a second, and nodes hear of it one by one.
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		e := nodes[i%2].RecordCrashWhile(1, fmt.Sprint("r", i), time.Duration(8-i)*120*time.Millisecond, at)
		nodes[(i+1)%2].Merge(at.Add(100*time.Millisecond), []wire.Suspect{e})
	}
	for _, s := range nodes {
		is.True(!s.IsQuarantined(1, now.Add(time.Second)))
	}
	// Sent again, it brings down two more replicas, one after the other.
	for i := range 2 {
		now = now.Add(time.Second)
		nodes[0].RecordCrashWhile(1, fmt.Sprint("s", i), 900*time.Millisecond, now)
	}
	is.True(nodes[0].IsQuarantined(1, now))
}
