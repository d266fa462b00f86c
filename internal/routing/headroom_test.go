package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// maxKeptShare bounds the fraction of all slots that is kept free if there are
// enough replicas.
const maxKeptShare = 0.12

// Guards against nodes that disagree on the replicas with headroom: the result
// does not depend on the order of the list. Some of enough replicas keep
// headroom, spread over the data centres, and it is a small fraction of all
// slots. If there are too few replicas, each one keeps a little.
func TestHeadroomIsShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "replicas")
		centres := rapid.IntRange(1, 5).Draw(t, "centres")
		list := make([]Replica, n)
		for i := range list {
			list[i] = Replica{ID: fmt.Sprintf("r%03d", i), Pool: "p", DataCentre: fmt.Sprint(i % centres), Usable: true}
		}
		AssignHeadroom(list)
		shuffled := append([]Replica(nil), list...)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		random.Shuffle(n, func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		AssignHeadroom(shuffled)
		headroom := map[string]float64{}
		for _, r := range shuffled {
			headroom[r.ID] = r.Headroom
		}
		total, withHeadroom, perCentre := 0.0, 0, map[string]int{}
		for _, r := range list {
			if headroom[r.ID] != r.Headroom {
				t.Fatalf("%s keeps %v of its slots, %v in another order", r.ID, r.Headroom, headroom[r.ID])
			}
			total += r.Headroom
			if r.Headroom > 0 {
				withHeadroom++
				perCentre[r.DataCentre]++
			}
		}
		if n < headroomOf && withHeadroom != n {
			t.Fatalf("%d of %d keep headroom", withHeadroom, n)
		}
		if total > max(maxKeptShare*float64(n), maxHeadroom) || withHeadroom == 0 {
			t.Fatalf("%d of %d replicas keep %.2f of one", withHeadroom, n, total)
		}
		for centre, k := range perCentre {
			if k > withHeadroom/min(centres, n)+1 {
				t.Fatalf("%d of the %d are in data centre %s of %d", k, withHeadroom, centre, centres)
			}
		}
	})
}

// Guards against the most urgent work queueing although a few replicas among
// many full ones have headroom.
func TestUrgentWorkFindsHeadroom(t *testing.T) {
	target := config.Target{Model: "m", Version: "v"}
	rapid.Check(t, func(t *rapid.T) {
		list := make([]Replica, rapid.IntRange(9, 600).Draw(t, "replicas"))
		for i := range list {
			list[i] = Replica{
				ID: fmt.Sprintf("r%03d", i), DataCentre: fmt.Sprint(i % 3), Targets: []config.Target{target}, Usable: true,
				Limit: 16, Running: 16, Waits: []time.Duration{50 * time.Millisecond, time.Second},
			}
		}
		AssignHeadroom(list)
		for i := range list {
			if list[i].Headroom > 0 {
				list[i].Running, list[i].Waits[0] = 8, 0
			}
		}
		at := ChooseReplica(list, ReplicaRequest{Target: target, DataCentre: "1", Draw: rapid.Uint64().Draw(t, "draw"), Choices: DefaultChoices})
		if list[at].Headroom == 0 {
			t.Fatalf("%s was chosen", list[at].ID)
		}
	})
}

// Guards against a resumed answer that queues on a replica without its prefix
// cache: it returns to the replica on which it started, unless another one has
// a free slot.
func TestStartedWorkReturnsToItsReplica(t *testing.T) {
	target := config.Target{Model: "m", Version: "v"}
	rapid.Check(t, func(t *rapid.T) {
		list := drawReplicas(t, target)
		for i := range list {
			list[i].Waits[1] += time.Second
		}
		req := ReplicaRequest{Target: target, Rank: 1, StartedOn: "r003", Draw: rapid.Uint64().Draw(t, "draw"), Choices: DefaultChoices}
		at := ChooseReplica(list, req)
		began := FindReplica(list, "r003")
		if began >= 0 && eligible(&list[began], &req) && at != began {
			t.Fatalf("%s was chosen while all have a queue", list[at].ID)
		}
		free := Replica{ID: "s", Targets: []config.Target{target}, Limit: 16, Waits: []time.Duration{0, 0}, Usable: true}
		req.Choices = 0
		list = append(list, free)
		if at := ChooseReplica(list, req); list[at].ID != "s" {
			t.Fatalf("%s was chosen beside a free replica", list[at].ID)
		}
	})
}
