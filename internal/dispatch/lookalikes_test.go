package dispatch

import (
	"encoding/json"
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

// Guards against crash records that nodes of the release before do not understand, or whose own
// ones no longer count, while a fleet is upgraded.
func TestCrashRecordsOfTheReleaseBeforeAreUnderstood(t *testing.T) {
	type crashBefore struct {
		Replica        string
		At             time.Time
		Request, Parts uint64
	}
	is, s, now := is.New(t), NewSuspects(), time.Now()
	raw, err := json.Marshal(s.RecordCrashWhile(1, "r0", time.Second, now))
	is.NoErr(err)
	var before struct {
		Fingerprint uint64
		Lost        []crashBefore
	}
	is.NoErr(json.Unmarshal(raw, &before))
	is.Equal(before.Lost[0].Replica, "r0")

	raw, err = json.Marshal([]crashBefore{{Replica: "r1", At: now.Add(500 * time.Millisecond)}})
	is.NoErr(err)
	e := wire.Suspect{Fingerprint: 1, Until: now.Add(time.Minute)}
	is.NoErr(json.Unmarshal(raw, &e.Lost))
	s.Merge(now.Add(time.Second), []wire.Suspect{e})
	is.True(s.IsQuarantined(1, now.Add(time.Second))) // two crashes
}
