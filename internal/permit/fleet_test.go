package permit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	seedCount = flag.Int("seeds", 3, "number of seeds of the simulated fleets; the largest fleet plays the first only")
	firstSeed = flag.Uint64("first", 1, "first of these seeds")
)

// simSeeds is how many nodes the settings of each node name at most.
const simSeeds = 3

// simStep is the resolution of the simulation.
const simStep = 20 * time.Millisecond

// simNode is a node of a simulated fleet. Nodes of one part reach each other.
type simNode struct {
	address     string
	part        int
	isRunning   bool
	isFrozen    bool
	isStopping  bool
	roster      *Roster
	coordinator *Coordinator
	// heard holds what this node last heard of each other one, by index.
	heard []simContact
	// lossTime is how long this node takes to notice a loss.
	lossTime time.Duration
}

// simContact is what a node last heard of another one.
type simContact struct {
	address    string
	at         time.Time
	isStopping bool
}

// simFleet is a fleet of nodes before one limited server, with faults.
type simFleet struct {
	random *rand.Rand
	now    time.Time
	nodes  []*simNode
	// reachesStore tells by part whether it reaches the store.
	reachesStore map[int]bool
	limit        float64
	isCold       bool // the limit is that of a cold server
	seeds        int  // nodes that the settings of each node name
	arrivals     []time.Time
}

func newSimFleet(seed uint64, size int, limit float64) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), limit: limit, seeds: min(simSeeds, size), reachesStore: map[int]bool{0: true, 1: true}}
	for i := range size {
		f.start(fmt.Sprint("n", i))
	}
	return f
}

// start starts a process at an address.
func (f *simFleet) start(address string) {
	n := &simNode{address: address, isRunning: true}
	n.lossTime = 2*time.Second + time.Duration(f.random.IntN(1500))*time.Millisecond
	n.roster = NewRoster(address, f.now)
	n.coordinator = NewCoordinator(n.roster.Share)
	for i := range f.seeds {
		n.roster.ObserveRegistered(fmt.Sprint("n", i), f.now)
	}
	for i, old := range f.nodes {
		if old.address == address {
			n.part = old.part
			f.nodes[i] = n
			return
		}
	}
	f.nodes = append(f.nodes, n)
}

func (f *simFleet) node(address string) *simNode {
	for _, n := range f.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// reaches reports whether a process hears another one.
func (n *simNode) reaches(other *simNode) bool {
	return other.isRunning && !other.isFrozen && n.part == other.part
}

// update updates the roster of a node as its heartbeats do.
func (f *simFleet) update(n *simNode) {
	live := append(make([]Node, 0, len(f.nodes)), Node{Address: n.address, IsStopping: n.isStopping, IsEligible: true})
	for i, other := range f.nodes {
		if i >= len(n.heard) {
			n.heard = append(n.heard, simContact{address: other.address})
		}
		if other == n {
			continue
		}
		if n.reaches(other) {
			n.heard[i].at, n.heard[i].isStopping = f.now, other.isStopping
		}
		if c := n.heard[i]; !c.at.IsZero() && f.now.Sub(c.at) < n.lossTime {
			live = append(live, Node{Address: c.address, IsStopping: c.isStopping, IsEligible: true})
		}
	}
	n.roster.Update(live, f.reachesStore[n.part], f.now)
}

// run advances the fleet. Requests arrive at random nodes at a rate per second.
func (f *simFleet) run(duration time.Duration, demand float64) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(simStep) {
		tick := f.now.Sub(time.Unix(1000, 0)) / simStep
		for i, n := range f.nodes {
			if n.isRunning && !n.isFrozen && (int(tick)+i)%10 == 0 {
				f.update(n)
			}
		}
		if tick%100 == 0 {
			f.writePresence()
		}
		for due := demand*simStep.Seconds() + f.random.Float64(); due >= 1; due-- {
			f.send(f.runningNode())
		}
	}
}

// runningNode returns a random node that runs.
func (f *simFleet) runningNode() *simNode {
	start := f.random.IntN(len(f.nodes))
	for i := range f.nodes {
		if n := f.nodes[(start+i)%len(f.nodes)]; n.isRunning && !n.isFrozen {
			return n
		}
	}
	return f.nodes[start]
}

// writePresence lets the first node of each partitionition that misses nodes write who belongs to
// it, and all that reach the store read it.
func (f *simFleet) writePresence() {
	written := map[int]bool{}
	for _, n := range f.nodes {
		if !n.isRunning || n.isFrozen || !f.reachesStore[n.part] || written[n.part] || n.roster.Missing() == 0 {
			continue
		}
		written[n.part] = true
		names := n.roster.Live()
		for _, reader := range f.nodes {
			if reader.isRunning && !reader.isFrozen && f.reachesStore[reader.part] {
				reader.roster.ObservePresence(names, f.now)
			}
		}
	}
}

// send lets a node ask the coordinator in its view for a permit and send.
func (f *simFleet) send(n *simNode) {
	target := f.node(n.roster.Coordinator())
	if target == nil || target != n && !n.reaches(target) {
		return
	}
	q := Request{Service: "s", Servers: []Server{{ID: "x", Limit: f.limit, IsCold: f.isCold}}, IsLast: true, TimeLeft: time.Second, Fingerprint: f.random.Uint64(), Withheld: n.roster.Withheld(f.now)}
	if target.coordinator.Acquire(q, f.now).Granted > 0 {
		f.arrivals = append(f.arrivals, f.now)
	}
}

// most returns the largest number of arrivals within four seconds.
func (f *simFleet) most() int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) >= 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// bound returns what the server may receive in four seconds.
func (f *simFleet) bound() float64 { return 1.5*f.limit*4 + 5 }

// since returns the arrivals a second since a time.
func (f *simFleet) since(start time.Time) float64 {
	n := 0
	for _, at := range f.arrivals {
		if !at.Before(start) {
			n++
		}
	}
	return float64(n) / f.now.Sub(start).Seconds()
}

// A limit that is small beside the number of nodes must hold for their sum, and be used.
// Guards against a share, or a saved-up request, for each node.
func TestLimitIsUsedAndHoldsInFleetsOfAnySize(t *testing.T) {
	for _, size := range []int{1, 6, 24, 195, 340} {
		for _, limit := range []float64{1.3, 12} {
			if size == 340 && limit > 10 {
				continue // the smaller limit is the harder one
			}
			t.Run(fmt.Sprint(size, "/", limit), func(t *testing.T) {
				t.Parallel()
				is, f := is.New(t), newSimFleet(1, size, limit)
				f.run(5*time.Second, 30)
				began := f.now
				f.run(20*time.Second, 30)
				rate := f.since(began)
				t.Logf("%.2f a second of %.2f, at most %d in 4 s", rate, limit, f.most())
				is.True(rate > 0.9*limit)
				is.True(rate <= 1.02*limit)
				is.True(float64(f.most()) <= 4*limit+burst(limit)+spareBurst+1)
				before := len(f.arrivals)
				f.run(10*time.Second, 0)
				f.run(time.Second, 45)
				is.True(float64(len(f.arrivals)-before) <= limit+burst(limit)+spareBurst+1) // nothing was saved up in idle time
			})
		}
	}
}

// The set of nodes changes in every way, in series and overlapping. The sum over all
// nodes must hold at any time, and the limit must be used again afterwards: no share is
// kept for the dead.
func TestLimitHoldsWhileNodesChange(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		for _, size := range []int{6, 24, 195} {
			if size == 195 && seed != *firstSeed {
				continue
			}
			t.Run(fmt.Sprint(seed, "/", size), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newSimFleet(seed, size, []float64{1.3, 4, 15}[seed%3])
				f.run(10*time.Second, 40)
				var log []string
				disturbances := 12
				if size > 100 {
					disturbances = 6
				}
				for range disturbances {
					log = append(log, fmt.Sprintf("%v %s", f.now.Sub(time.Unix(1000, 0)), f.disturb()))
					f.run(time.Duration(300+f.random.IntN(6000))*time.Millisecond, 40)
				}
				f.heal()
				f.run(50*time.Second, 40)
				began := f.now
				f.run(30*time.Second, 40)
				t.Logf("limit %g: %.2f a second at the end, at most %d in 4 s, allowed %.1f; %v", f.limit, f.since(began), f.most(), f.bound(), log)
				is.True(float64(f.most()) <= f.bound())
				is.True(f.since(began) > 0.9*f.limit)
			})
		}
	}
}

// disturb applies a random change and names it.
func (f *simFleet) disturb() string {
	i := f.random.IntN(len(f.nodes))
	n := f.nodes[i]
	if c := f.node(n.roster.Coordinator()); c != nil && f.random.IntN(3) == 0 {
		n = c // the node that matters most
	}
	switch kind := f.random.IntN(9); kind {
	case 0:
		n.isRunning = false
		return "kill " + n.address
	case 1:
		n.isStopping = true
		f.run(time.Second, 40)
		n.isRunning = false
		return "stop " + n.address
	case 2:
		n.isRunning = false
		f.run(time.Duration(200+f.random.IntN(4000))*time.Millisecond, 40)
		f.start(n.address)
		return "restart " + n.address
	case 3:
		address := fmt.Sprint("added", len(f.nodes))
		f.start(address)
		f.node(address).part = n.part
		return "add " + address
	case 4:
		n.isFrozen = true
		f.run(time.Duration(500+f.random.IntN(8000))*time.Millisecond, 40)
		n.isFrozen = false
		return "freeze " + n.address
	case 5, 6:
		count := 1 + f.random.IntN(len(f.nodes)-1)
		for _, k := range f.random.Perm(len(f.nodes))[:count] {
			f.nodes[k].part = 1
		}
		return fmt.Sprint("cut ", count)
	case 7:
		for _, n := range f.nodes {
			n.part = 0
		}
		return "heal"
	default:
		part := f.random.IntN(3)
		for p := range 2 {
			f.reachesStore[p] = part != p && part != 2
		}
		return fmt.Sprint("store ", f.reachesStore)
	}
}

// heal ends all faults but those of nodes that are gone.
func (f *simFleet) heal() {
	f.reachesStore = map[int]bool{0: true, 1: true}
	for _, n := range f.nodes {
		n.part, n.isFrozen = 0, false
	}
}

// A partition that is cut off must not be taken for dead while it shows in the
// store that it runs, however long the cut lasts; a dead one must be.
func TestCutOffNodesKeepTheirShareAndDeadOnesLoseIt(t *testing.T) {
	for _, size := range []int{6, 24} {
		for _, lost := range []int{1, size / 2, size - 1} {
			for _, isDead := range []bool{false, true} {
				t.Run(fmt.Sprint(size, "/", lost, "/", isDead), func(t *testing.T) {
					t.Parallel()
					is, f := is.New(t), newSimFleet(5, size, 15)
					f.run(10*time.Second, 60)
					for _, n := range f.nodes[:lost] {
						n.part, n.isRunning = 1, !isDead
					}
					f.run(70*time.Second, 200)
					began := f.now
					f.run(200*time.Second, 200)
					t.Logf("%.2f a second, at most %d in 4 s", f.since(began), f.most())
					is.True(float64(f.most()) <= f.bound())
					is.True(f.since(began) > 0.9*f.limit)
					is.True(f.since(began) <= 1.02*f.limit)
				})
			}
		}
	}
}
