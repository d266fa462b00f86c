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

// delayedEngine is an engine whose orders take effect after a delay, like those
// of a holder that is paused just after its last check of the lease.
type delayedEngine struct {
	*standin.Engine
	bench *testbed
}

func (e delayedEngine) Order(ctx context.Context, order backend.Order) error {
	e.bench.mu.Lock()
	delay := e.bench.orderDelay
	e.bench.mu.Unlock()
	time.Sleep(delay)
	return e.Engine.Order(context.WithoutCancel(ctx), order)
}

// testbed runs two nodes that compete for the lease of the same engines.
type testbed struct {
	backend.Dialer
	platform   *standin.Platform
	engines    map[string]*standin.Engine
	holders    []*fleet.Orders
	weights    *countedWeights
	mu         sync.Mutex
	orderDelay time.Duration    // guarded by mu
	rev        *config.Revision // guarded by mu
	awake      [2]bool          // guarded by mu
}

func (b *testbed) Engine(address string) backend.Engine { return delayedEngine{b.engines[address], b} }

// countedWeights counts the loads that the weight store admitted.
type countedWeights struct {
	infra.Weights
	mu       sync.Mutex
	admitted int // guarded by mu
}

func (c *countedWeights) Acquire(ctx context.Context, target string) (time.Duration, error) {
	wait, err := c.Weights.Acquire(ctx, target)
	c.mu.Lock()
	defer c.mu.Unlock()
	if wait == 0 && err == nil {
		c.admitted++
	}
	return wait, err
}

func newTestbed(checks bool, loadsPerMinute float64) *testbed {
	b := &testbed{platform: standin.NewPlatform(standin.PlatformOptions{WeightLoadsPerMinute: loadsPerMinute}), engines: map[string]*standin.Engine{}, awake: [2]bool{true, true}}
	b.weights = &countedWeights{Weights: b.platform}
	for i := range 3 {
		id := fmt.Sprintf("engine-%d", i)
		b.engines[id] = standin.NewEngine(standin.EngineOptions{ID: id, Targets: versions[:1], ChecksOrders: checks})
	}
	b.setDesired(versions[:2])
	for i := range b.awake {
		b.holders = append(b.holders, fleet.NewOrders(fleet.Options{
			Node: fmt.Sprintf("node-%d", i), Incarnation: 1, Table: b.platform, Weights: b.weights, Dialer: b,
			Config: b.revision, Replicas: b.replicas, IsCandidate: func(string) bool { return true },
			OnSent: func(string, backend.Order, error) {},
		}))
	}
	return b
}

func (b *testbed) revision() *config.Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rev
}

// setDesired changes the versions that the pool should have loaded.
func (b *testbed) setDesired(targets []config.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := &config.Model{Default: "v1", Versions: map[string]*config.Version{}}
	for _, t := range versions {
		m.Versions[t.Version] = &config.Version{}
	}
	b.rev = &config.Revision{Config: &config.Config{Models: map[string]*config.Model{"m": m}, Pools: map[string]*config.Pool{pool: {Targets: slices.Clone(targets)}}}}
}

func (b *testbed) replicas() []routing.Replica {
	var out []routing.Replica
	for id, e := range b.engines {
		report, _ := e.Load(context.Background())
		out = append(out, routing.Replica{ID: id, Address: id, Pool: pool, Targets: report.Targets, Usable: true})
	}
	return out
}

// run lets both holders work for the given time.
func (b *testbed) run(d time.Duration) {
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

func (b *testbed) isAwake(i int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.awake[i]
}

func (b *testbed) setHolders(awake [2]bool, orderDelay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.awake = awake
	b.orderDelay = orderDelay
}

// mismatch describes an engine that is not in the desired state, or returns "".
func (b *testbed) mismatch() string {
	desired := b.revision().Config.Pools[pool].Targets
	for id, e := range b.engines {
		report, _ := e.Load(context.Background())
		if len(report.Targets) != len(desired) {
			return fmt.Sprintf("%s has %v, want %v", id, report.Targets, desired)
		}
		for _, t := range desired {
			if !slices.Contains(report.Targets, t) {
				return fmt.Sprintf("%s lacks %s", id, t)
			}
		}
	}
	return ""
}

// The engines reach the desired state, also after it changes, within the load
// rate of the weight store.
func TestOrdersReachTheDesiredState(t *testing.T) {
	is := is.New(t)
	var first, second string
	var admitted int
	synctest.Test(t, func(*testing.T) {
		b := newTestbed(false, 6)
		b.run(2 * time.Minute)
		first = b.mismatch()
		b.setDesired(versions[1:])
		b.run(2 * time.Minute)
		second = b.mismatch()
		admitted = b.weights.admitted
	})
	is.Equal(first, "")
	is.Equal(second, "")
	is.Equal(admitted, 6) // each engine loaded two versions, once
}

// Holders are paused for any time, and their orders take effect late. Once that
// ends, every engine reaches the desired state, whether it checks fencing
// numbers or not. An engine that checks them never accepts a lower number than
// before.
func TestEnginesConvergeAfterHolderPauses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checks := rapid.Bool().Draw(rt, "checks")
		steps := rapid.SliceOfN(rapid.IntRange(0, 47), 1, 8).Draw(rt, "steps")
		var wrong string
		synctest.Test(t, func(*testing.T) {
			b := newTestbed(checks, 600)
			for _, s := range steps {
				b.setHolders([2]bool{s%4 != 1, s%4 != 2}, time.Duration(s/4%3)*20*time.Second)
				b.setDesired(versions[s%3:])
				b.run(time.Duration(1+s/12) * 25 * time.Second)
			}
			b.setHolders([2]bool{true, true}, 0)
			b.run(3 * time.Minute)
			wrong = b.mismatch()
			for id, e := range b.engines {
				last := uint64(0)
				for _, order := range e.Orders() {
					if checks && order.Fencing < last {
						wrong = fmt.Sprintf("%s accepted number %d after %d", id, order.Fencing, last)
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
