package capacity

import (
	"context"
	"fmt"
	"maps"
	"net"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/node"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

const (
	loopback          = "127.0.0.1:0"
	innerSecret       = "capacity-inner-secret"
	operatorKey       = "capacity-operator-key"
	poolName          = "engines"
	readyTimeout      = 2 * time.Minute
	eventTimeout      = time.Minute
	eventPollInterval = 20 * time.Millisecond
	poolSlots         = 64
)

// target is the one version that all replicas serve.
var target = config.Target{Model: "model", Version: "v1"}

// probedEngine is a replica that answers nothing but probes. The embedded
// interface is nil, so that any other call panics.
type probedEngine struct {
	backend.Engine
}

// Load implements backend.Engine.
func (probedEngine) Load(context.Context) (backend.LoadReport, error) {
	return backend.LoadReport{Targets: []config.Target{target}, Incarnation: "1"}, nil
}

// probedDialer dials a probedEngine at every address.
type probedDialer struct {
	backend.Dialer
}

// Engine implements backend.Dialer.
func (probedDialer) Engine(string) backend.Engine { return probedEngine{} }

// fleet is a fleet of nodes that run in this process.
type fleet struct {
	shape      Shape
	network    *network
	store      *countingStore
	nodes      []*node.Node
	settings   []config.Settings
	baseMemory uint64 // in use before the nodes started
}

// startFleet starts a fleet and waits until it is ready.
func startFleet(shape Shape) (*fleet, error) {
	f := &fleet{
		shape: shape, network: &network{nodes: map[string]*traffic{}}, baseMemory: memoryInUse(),
		store: &countingStore{Platform: standin.NewPlatform(standin.PlatformOptions{}), calls: map[string]int{}},
	}
	f.store.SetVMs(f.vms())
	if err := f.apply("start"); err != nil {
		return nil, err
	}
	for i := range shape.Nodes {
		if err := f.startNode(i); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, f.waitReady()
}

// location returns the data centre and region of the i-th VM, from 0.
func (s Shape) location(i int) (dataCentre, region string) {
	centreIndex := i % s.DataCentres
	return fmt.Sprintf("dc-%d", centreIndex+1), fmt.Sprintf("region-%d", centreIndex%s.Regions+1)
}

// vms returns the VM list of the fleet.
func (f *fleet) vms() []infra.VM {
	var out []infra.VM
	add := func(id, role, pool string, i int) {
		centre, region := f.shape.location(i)
		out = append(out, infra.VM{ID: id, Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250), DataCentre: centre, Region: region, Role: role, Pool: pool})
	}
	for i := range f.shape.Replicas {
		add(fmt.Sprintf("engine-%d", i+1), infra.RoleBackend, poolName, i)
	}
	for i := range f.shape.Nodes {
		add(fmt.Sprintf("entry-%d", i+1), infra.RoleEntry, "", i)
	}
	return out
}

// newConfig returns a configuration with as many organisations as the shape has.
func (f *fleet) newConfig() *config.Config {
	c := &config.Config{
		Organisations: map[string]*config.Organisation{},
		Models:        map[string]*config.Model{target.Model: {Default: target.Version, Versions: map[string]*config.Version{target.Version: {Quality: 0.9}}}},
		Pools:         map[string]*config.Pool{poolName: {Targets: []config.Target{target}, Slots: poolSlots, KVTokens: config.DefaultKVTokens}},
		Ranks:         map[string]*config.Rank{},
	}
	for i, name := range []string{"urgent", "normal", "background"} {
		c.Ranks[name] = &config.Rank{Order: i, FirstToken: config.Duration(config.DefaultFirstToken), Deadline: config.Duration(config.DefaultDeadline)}
	}
	for i := range f.shape.Organisations {
		c.Organisations[fmt.Sprintf("organisation-%d", i+1)] = &config.Organisation{
			KeysSHA256: []string{fmt.Sprintf("%064x", i+1)}, Allow: []config.Target{{Model: target.Model}}, Weight: 1,
			QualityTarget: config.DefaultQualityTarget, DefaultRank: "normal",
		}
	}
	return c
}

// apply applies the configuration as a new revision. Each revision has another
// deadline of rank normal, so that it differs from the one before.
func (f *fleet) apply(note string) error {
	ctx := context.Background()
	revisions := config.NewStore(f.store.Platform, f.store.Platform)
	head, _, err := revisions.Head(ctx)
	if err != nil {
		return err
	}
	_, err = revisions.Apply(ctx, config.Change{Base: head.Number, Author: "capacity", Note: note, Edit: func(r *config.Revision) error {
		r.Config = f.newConfig()
		r.Config.Ranks["normal"].Deadline += config.Duration(head.Number) * config.Duration(time.Second)
		return nil
	}})
	return err
}

// startNode starts the i-th node, from 0.
func (f *fleet) startNode(i int) error {
	s := config.DefaultSettings()
	s.ID = fmt.Sprintf("entry-%d", i+1)
	s.DataCentre, s.Region = f.shape.location(i)
	s.InnerSecret = innerSecret
	s.OperatorKey = operatorKey
	var opened [3]net.Listener
	for j := range opened {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		opened[j] = l
	}
	listeners := node.Listeners{Callers: opened[0], Inner: opened[1], Operators: opened[2]}
	n, err := node.New(node.Options{Settings: s, Listeners: listeners, Platform: f.store, Dialer: probedDialer{}, Dial: f.network.dial(opened[1].Addr().String()), Log: zap.NewNop()})
	if err != nil {
		return err
	}
	n.Start()
	f.nodes = append(f.nodes, n)
	f.settings = append(f.settings, s)
	return nil
}

// waitReady waits until every node sees all nodes live and all replicas usable.
// Its error says what the first node that is not ready sees.
func (f *fleet) waitReady() error {
	var firstUnready string
	err := f.wait(readyTimeout, "become ready", func() bool {
		for _, n := range f.nodes {
			s := n.Status()
			live, usable := 0, 0
			for _, m := range s.Nodes {
				if m.IsLive {
					live++
				}
			}
			for _, r := range s.Replicas {
				if r.Usable {
					usable++
				}
			}
			if live < len(f.nodes) || usable < f.shape.Replicas {
				firstUnready = fmt.Sprintf("%s sees %d of %d nodes live and %d of %d replicas usable", s.Node, live, len(f.nodes), usable, f.shape.Replicas)
				return false
			}
		}
		return true
	})
	return errors.Wrap(err, firstUnready)
}

// wait polls until isDone returns true. Its error says that the fleet did not do
// what action says within the timeout.
func (f *fleet) wait(timeout time.Duration, action string, isDone func() bool) error {
	deadline := time.Now().Add(timeout)
	for !isDone() {
		if time.Now().After(deadline) {
			return errors.Errorf("the fleet did not %s within %s: measure a smaller fleet, or use a less busy machine", action, timeout)
		}
		time.Sleep(eventPollInterval)
	}
	return nil
}

// close stops all nodes without waiting for them.
func (f *fleet) close() {
	for _, n := range f.nodes {
		go n.Close()
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// memoryPerNode returns the bytes that the fleet uses beyond baseMemory, divided
// by the number of nodes.
func (f *fleet) memoryPerNode() float64 {
	return (float64(memoryInUse()) - float64(f.baseMemory)) / float64(len(f.nodes))
}

// sample reads all counters.
func (f *fleet) sample() sample {
	s := sample{shape: f.shape, at: time.Now(), wireBytes: map[string]float64{}}
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	s.cpuTime = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	f.network.mu.Lock()
	for address, t := range f.network.nodes {
		s.bytes += float64(t.bytes.Load())
		s.segments += float64(t.segments.Load())
		s.wireBytes[address] = t.wireBytes()
	}
	f.network.mu.Unlock()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	s.storeCalls = maps.Clone(f.store.calls)
	s.replyBytes = f.store.replyBytes
	return s
}
