package fleet_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/fleet"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

const pool = "engines"

var versions = []config.Target{{Model: "m", Version: "v1"}, {Model: "m", Version: "v2"}, {Model: "m", Version: "v3"}}

// slow is an engine whose orders can be held back before they take effect, as
// those of a holder that is paused just after its last check.
type slow struct {
	*standin.Engine
	b *bench
}

func (s slow) Order(ctx context.Context, order backend.Order) error {
	s.b.mu.Lock()
	hold := s.b.hold
	s.b.mu.Unlock()
	time.Sleep(hold)
	return s.Engine.Order(context.WithoutCancel(ctx), order)
}

// bench is two holders, or would-be holders, before the same engines.
type bench struct {
	backend.Dialer
	platform *standin.Platform
	engines  map[string]*standin.Engine
	holders  []*fleet.Orders
	weights  *countedWeights
	mu       sync.Mutex
	hold     time.Duration    // guarded by mu
	rev      *config.Revision // guarded by mu
	awake    [2]bool          // guarded by mu
}

func (b *bench) Engine(address string) backend.Engine { return slow{b.engines[address], b} }

// countedWeights counts the loads that the weight store let through.
type countedWeights struct {
	infra.Weights
	mu  sync.Mutex
	let int // guarded by mu
}

func (c *countedWeights) Acquire(ctx context.Context, target string) (time.Duration, error) {
	wait, err := c.Weights.Acquire(ctx, target)
	c.mu.Lock()
	defer c.mu.Unlock()
	if wait == 0 && err == nil {
		c.let++
	}
	return wait, err
}

func newBench(checks bool, loadsPerMinute float64) *bench {
	b := &bench{platform: standin.NewPlatform(standin.PlatformOptions{WeightLoadsPerMinute: loadsPerMinute}), engines: map[string]*standin.Engine{}, awake: [2]bool{true, true}}
	b.weights = &countedWeights{Weights: b.platform}
	for i := range 3 {
		id := fmt.Sprintf("engine-%d", i)
		b.engines[id] = standin.NewEngine(standin.EngineOptions{ID: id, Targets: versions[:1], ChecksOrders: checks})
	}
	b.want(versions[:2])
	for i := range b.awake {
		b.holders = append(b.holders, fleet.NewOrders(fleet.Options{
			Node: fmt.Sprintf("node-%d", i), Incarnation: 1, Table: b.platform, Weights: b.weights, Dialer: b,
			Config: b.revision, Replicas: b.replicas, Candidate: func(string) bool { return true },
			Sent: func(string, backend.Order, error) {},
		}))
	}
	return b
}

func (b *bench) revision() *config.Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rev
}

// want changes the versions that the pool should have loaded.
func (b *bench) want(targets []config.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := &config.Model{Default: "v1", Versions: map[string]*config.Version{}}
	for _, t := range versions {
		m.Versions[t.Version] = &config.Version{}
	}
	b.rev = &config.Revision{Config: &config.Config{Models: map[string]*config.Model{"m": m}, Pools: map[string]*config.Pool{pool: {Targets: slices.Clone(targets)}}}}
}

func (b *bench) replicas() []routing.Replica {
	var out []routing.Replica
	for id, e := range b.engines {
		report, _ := e.Load(context.Background())
		out = append(out, routing.Replica{ID: id, Address: id, Pool: pool, Targets: report.Targets, Usable: true})
	}
	return out
}

// run lets both holders work for a while.
func (b *bench) run(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var wg sync.WaitGroup
	for i, h := range b.holders {
		wg.Go(func() {
			for ctx.Err() == nil {
				if b.isAwake(i) {
					h.Round(ctx)
				}
				time.Sleep(2 * time.Second)
			}
		})
	}
	wg.Wait()
}

func (b *bench) isAwake(i int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.awake[i]
}

func (b *bench) set(awake [2]bool, hold time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.awake = awake
	b.hold = hold
}

// differing returns an engine that is not in the desired state, if any.
func (b *bench) differing() string {
	want := b.revision().Config.Pools[pool].Targets
	for id, e := range b.engines {
		report, _ := e.Load(context.Background())
		if len(report.Targets) != len(want) {
			return fmt.Sprintf("%s has %v, wanted is %v", id, report.Targets, want)
		}
		for _, t := range want {
			if !slices.Contains(report.Targets, t) {
				return fmt.Sprintf("%s lacks %s", id, t)
			}
		}
	}
	return ""
}

// The engines reach the desired state, also a changed one, within the rate of
// the weight store.
func TestOrdersReachTheDesiredState(t *testing.T) {
	is := is.New(t)
	var first, second string
	var let int
	synctest.Test(t, func(*testing.T) {
		b := newBench(false, 6)
		b.run(2 * time.Minute)
		first = b.differing()
		b.want(versions[1:])
		b.run(2 * time.Minute)
		second = b.differing()
		let = b.weights.let
	})
	is.Equal(first, "")
	is.Equal(second, "")
	is.Equal(let, 6) // each engine loaded two versions, once
}

// Whichever holder is paused, for however long, and however late its orders
// take effect: once that ends, every engine is in the desired state, whether
// it checks fencing numbers or not; those that do never go back to an old one.
func TestPausedHoldersDoNoLastingHarm(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checks := rapid.Bool().Draw(rt, "checks")
		steps := rapid.SliceOfN(rapid.IntRange(0, 47), 1, 8).Draw(rt, "steps")
		var wrong string
		synctest.Test(t, func(*testing.T) {
			b := newBench(checks, 600)
			for _, s := range steps {
				b.set([2]bool{s%4 != 1, s%4 != 2}, time.Duration(s/4%3)*20*time.Second)
				b.want(versions[s%3:])
				b.run(time.Duration(1+s/12) * 25 * time.Second)
			}
			b.set([2]bool{true, true}, 0)
			b.run(3 * time.Minute)
			wrong = b.differing()
			for id, e := range b.engines {
				last := uint64(0)
				for _, order := range e.Orders() {
					if checks && order.Fencing < last {
						wrong = fmt.Sprintf("%s took number %d after %d", id, order.Fencing, last)
					}
					last = order.Fencing
				}
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
