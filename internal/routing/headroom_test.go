package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// mostKept bounds the part of all slots that is kept free, of enough replicas.
const mostKept = 0.12

// Whatever the order of the list, the same replicas keep headroom: some of
// enough, spread over the data centres, and little of all slots. Of too few
// each keeps a little.
func TestRoomIsShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "replicas")
		centres := rapid.IntRange(1, 5).Draw(t, "centres")
		list := make([]Replica, n)
		for i := range list {
			list[i] = Replica{ID: fmt.Sprintf("r%03d", i), Pool: "p", DataCentre: fmt.Sprint(i % centres), Usable: true}
		}
		ShareRoom(list)
		shuffled := append([]Replica(nil), list...)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		random.Shuffle(n, func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		ShareRoom(shuffled)
		room := map[string]float64{}
		for _, r := range shuffled {
			room[r.ID] = r.Room
		}
		total, roomy, perCentre := 0.0, 0, map[string]int{}
		for _, r := range list {
			if room[r.ID] != r.Room {
				t.Fatalf("%s keeps %v of its slots, %v in another order", r.ID, r.Room, room[r.ID])
			}
			total += r.Room
			if r.Room > 0 {
				roomy++
				perCentre[r.DataCentre]++
			}
		}
		if n < roomyOf && roomy != n {
			t.Fatalf("%d of %d keep room", roomy, n)
		}
		if total > max(mostKept*float64(n), mostRoom) || roomy == 0 {
			t.Fatalf("%d of %d replicas keep %.2f of one", roomy, n, total)
		}
		for centre, k := range perCentre {
			if k > roomy/min(centres, n)+1 {
				t.Fatalf("%d of the %d are in data centre %s of %d", k, roomy, centre, centres)
			}
		}
	})
}

// The most urgent work finds a replica with headroom among many full ones.
func TestUrgentFindsRoom(t *testing.T) {
	target := config.Target{Model: "m", Version: "v"}
	rapid.Check(t, func(t *rapid.T) {
		list := make([]Replica, rapid.IntRange(9, 600).Draw(t, "replicas"))
		for i := range list {
			list[i] = Replica{
				ID: fmt.Sprintf("r%03d", i), DataCentre: fmt.Sprint(i % 3), Targets: []config.Target{target}, Usable: true,
				Limit: 16, Running: 16, Waits: []time.Duration{50 * time.Millisecond, time.Second},
			}
		}
		ShareRoom(list)
		for i := range list {
			if list[i].Room > 0 {
				list[i].Running, list[i].Waits[0] = 8, 0
			}
		}
		at := ChooseReplica(list, ReplicaRequest{Target: target, DataCentre: "1", Draw: rapid.Uint64().Draw(t, "draw"), Choices: DefaultChoices})
		if list[at].Room == 0 {
			t.Fatalf("%s was chosen", list[at].ID)
		}
	})
}

// Work that has begun goes back to its replica rather than queue elsewhere,
// but takes a free place.
func TestBegunWorkComesBack(t *testing.T) {
	target := config.Target{Model: "m", Version: "v"}
	rapid.Check(t, func(t *rapid.T) {
		list := drawReplicas(t, target)
		for i := range list {
			list[i].Waits[1] += time.Second
		}
		req := ReplicaRequest{Target: target, Rank: 1, Began: "r003", Draw: rapid.Uint64().Draw(t, "draw"), Choices: DefaultChoices}
		at := ChooseReplica(list, req)
		began := Find(list, "r003")
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
