package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// drawReplicas generates replicas sorted by ID, some of them unusable or
// without the version.
func drawReplicas(t *rapid.T, target config.Target) []Replica {
	out := make([]Replica, rapid.IntRange(0, 40).Draw(t, "replicas"))
	for i := range out {
		out[i] = Replica{
			ID: fmt.Sprintf("r%03d", i), Pool: "p", DataCentre: fmt.Sprint(i % 3), Limit: 16, Running: rapid.IntRange(0, 16).Draw(t, "running"),
			Waits: []time.Duration{0, time.Duration(rapid.IntRange(0, 9).Draw(t, "wait")) * time.Second}, Usable: rapid.Bool().Draw(t, "usable"),
		}
		if rapid.Bool().Draw(t, "loaded") {
			out[i].Targets = []config.Target{target}
		}
	}
	return out
}

// The chosen replica is eligible, and one is chosen whenever an eligible one
// exists, however small the sample.
func TestChooseReplicaIsEligible(t *testing.T) {
	target := config.Target{Model: "m", Version: "v"}
	rapid.Check(t, func(t *rapid.T) {
		replicas := drawReplicas(t, target)
		var excluded []string
		for _, r := range replicas {
			if rapid.Bool().Draw(t, "excluded") {
				excluded = append(excluded, r.ID)
			}
		}
		isEligible := func(r Replica) bool {
			return r.Usable && slices.Contains(r.Targets, target) && !slices.Contains(excluded, r.ID)
		}
		chosen := ChooseReplica(replicas, ReplicaRequest{
			Target: target, DataCentre: "1", Rank: rapid.IntRange(-1, 3).Draw(t, "rank"), Excluded: excluded, Draw: rapid.Uint64().Draw(t, "draw"),
			Choices: rapid.IntRange(0, 8).Draw(t, "choices"), Cached: []CachedPrefix{{Replica: "r001", Blocks: 9}, {Replica: "gone", Blocks: 9}},
		})
		switch {
		case chosen >= 0 && !isEligible(replicas[chosen]):
			t.Fatalf("%s was chosen", replicas[chosen].ID)
		case chosen < 0 && slices.ContainsFunc(replicas, isEligible):
			t.Fatal("no replica was chosen")
		}
	})
}

// Guards against herding: nodes with the same outdated view do not all choose
// the same replica, and a node does not send all its own requests to one.
func TestChoicesSpread(t *testing.T) {
	target := config.Target{Model: "m", Version: "v"}
	rapid.Check(t, func(t *rapid.T) {
		replicas := make([]Replica, 50)
		for i := range replicas {
			replicas[i] = Replica{ID: fmt.Sprintf("r%03d", i), Limit: 16, Running: 8, Targets: []config.Target{target}, Usable: true}
		}
		replicas[rapid.IntRange(0, 49).Draw(t, "idle")].Running = 0
		recent := NewRecentSends()
		counts := map[int]int{}
		now := time.Unix(1000, 0)
		for range 100 {
			at := ChooseReplica(replicas, ReplicaRequest{Target: target, Draw: rapid.Uint64().Draw(t, "draw"), Choices: DefaultChoices, Recent: recent, Now: now})
			recent.Add(now, replicas[at].ID)
			counts[at]++
		}
		for at, n := range counts {
			if n > 20 {
				t.Fatalf("%d of 100 requests went to %s", n, replicas[at].ID)
			}
		}
	})
}

// The index keeps its size limit and returns only replicas that were added and
// not dropped.
func TestPrefixIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 32
		x := NewPrefixIndex(limit)
		holds := map[string]map[uint64]bool{"a": {}, "b": {}, "c": {}, "d": {}, "e": {}}
		names := []string{"a", "b", "c", "d", "e"}
		blocks := func() []uint64 {
			template := rapid.Uint64Range(1, 6).Draw(t, "template")
			out := make([]uint64, rapid.IntRange(1, 12).Draw(t, "blocks"))
			for i := range out {
				out[i] = template<<8 | uint64(i)
			}
			return out
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				name, list := rapid.SampledFrom(names).Draw(t, "replica"), blocks()
				x.Add(name, list)
				for _, b := range list {
					holds[name][b] = true
				}
			},
			"drop": func(t *rapid.T) {
				name, list := rapid.SampledFrom(names).Draw(t, "replica"), blocks()
				for _, b := range list {
					x.Drop(name, b)
					delete(holds[name], b)
				}
			},
			"": func(t *rapid.T) {
				if x.order.Len() > limit || len(x.blocks) != x.order.Len() {
					t.Fatalf("%d blocks are held, %d listed", len(x.blocks), x.order.Len())
				}
				list := blocks()
				for _, c := range x.Lookup(nil, list) {
					if c.Blocks < 1 || c.Blocks > len(list) || !holds[c.Replica][list[c.Blocks-1]] {
						t.Fatalf("%+v was found for %v", c, list)
					}
				}
			},
		})
	})
}
