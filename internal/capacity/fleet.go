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
	loopback     = "127.0.0.1:0"
	innerSecret  = "capacity-inner-secret"
	operatorKey  = "capacity-operator-key"
	pool         = "engines"
	readyTimeout = 2 * time.Minute
	eventTimeout = time.Minute
	eventPoll    = 20 * time.Millisecond
	slots        = 64
)

// target is the one version that all replicas serve.
var target = config.Target{Model: "model", Version: "v1"}

// engine is a replica that answers probes alone.
type engine struct {
	backend.Engine
}

// Load implements backend.Engine.
func (engine) Load(context.Context) (backend.LoadReport, error) {
	return backend.LoadReport{Targets: []config.Target{target}, Incarnation: "1"}, nil
}

// dialer answers every address with the same replica.
type dialer struct {
	backend.Dialer
}

// Engine implements backend.Dialer.
func (dialer) Engine(string) backend.Engine { return engine{} }

// fleet is a running fleet.
type fleet struct {
	shape    Shape
	net      *network
	store    *store
	nodes    []*node.Node
	settings []config.Settings
	heap     uint64
}

func startFleet(shape Shape) (*fleet, error) {
	f := &fleet{
		shape: shape, net: &network{nodes: map[string]*traffic{}}, heap: memory(),
		store: &store{Platform: standin.NewPlatform(standin.PlatformOptions{}), calls: map[string]int{}},
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

// place returns the data centre and region of the i-th VM.
func (s Shape) place(i int) (dataCentre, region string) {
	at := i % s.DataCentres
	return fmt.Sprintf("dc-%d", at+1), fmt.Sprintf("region-%d", at%s.Regions+1)
}

func (f *fleet) vms() []infra.VM {
	var out []infra.VM
	add := func(id, role, pool string, i int) {
		centre, region := f.shape.place(i)
		out = append(out, infra.VM{ID: id, Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250), DataCentre: centre, Region: region, Role: role, Pool: pool})
	}
	for i := range f.shape.Replicas {
		add(fmt.Sprintf("engine-%d", i+1), infra.RoleBackend, pool, i)
	}
	for i := range f.shape.Nodes {
		add(fmt.Sprintf("entry-%d", i+1), infra.RoleEntry, "", i)
	}
	return out
}

// config returns a configuration with as many organisations as the shape has.
func (f *fleet) config() *config.Config {
	c := &config.Config{
		Organisations: map[string]*config.Organisation{},
		Models:        map[string]*config.Model{target.Model: {Default: target.Version, Versions: map[string]*config.Version{target.Version: {Quality: 0.9}}}},
		Pools:         map[string]*config.Pool{pool: {Targets: []config.Target{target}, Slots: slots, KVTokens: config.DefaultKVTokens}},
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

// apply makes a new revision of the configuration.
func (f *fleet) apply(note string) error {
	ctx := context.Background()
	revisions := config.NewStore(f.store.Platform, f.store.Platform)
	head, _, err := revisions.Head(ctx)
	if err != nil {
		return err
	}
	_, err = revisions.Apply(ctx, config.Change{Base: head.Number, Author: "capacity", Note: note, Edit: func(r *config.Revision) error {
		r.Config = f.config()
		r.Config.Ranks["normal"].Deadline += config.Duration(head.Number) * config.Duration(time.Second)
		return nil
	}})
	return err
}

func (f *fleet) startNode(i int) error {
	s := config.DefaultSettings()
	s.ID = fmt.Sprintf("entry-%d", i+1)
	s.DataCentre, s.Region = f.shape.place(i)
	s.InnerSecret = innerSecret
	s.OperatorKey = operatorKey
	var open [3]net.Listener
	for j := range open {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		open[j] = l
	}
	listeners := node.Listeners{Callers: open[0], Inner: open[1], Operators: open[2]}
	n, err := node.New(node.Options{Settings: s, Listeners: listeners, Platform: f.store, Dialer: dialer{}, Dial: f.net.dial(open[1].Addr().String()), Log: zap.NewNop()})
	if err != nil {
		return err
	}
	n.Start()
	f.nodes = append(f.nodes, n)
	f.settings = append(f.settings, s)
	return nil
}

// waitReady waits until every node sees all nodes live and all replicas
// usable.
func (f *fleet) waitReady() error {
	var behind string
	err := f.wait(readyTimeout, "become ready", func() bool {
		for _, n := range f.nodes {
			s := n.Status()
			live, usable := 0, 0
			for _, m := range s.Nodes {
				if m.Live {
					live++
				}
			}
			for _, r := range s.Replicas {
				if r.Usable {
					usable++
				}
			}
			if live < len(f.nodes) || usable < f.shape.Replicas {
				behind = fmt.Sprintf("%s sees %d of %d nodes live and %d of %d replicas usable", s.Node, live, len(f.nodes), usable, f.shape.Replicas)
				return false
			}
		}
		return true
	})
	return errors.Wrap(err, behind)
}

func (f *fleet) wait(timeout time.Duration, what string, holds func() bool) error {
	deadline := time.Now().Add(timeout)
	for !holds() {
		if time.Now().After(deadline) {
			return errors.Errorf("the fleet did not %s within %s: measure a smaller one, or on a machine with less to do", what, timeout)
		}
		time.Sleep(eventPoll)
	}
	return nil
}

// close stops all nodes.
func (f *fleet) close() {
	for _, n := range f.nodes {
		go n.Close()
	}
}

// memory returns the bytes of heap and stacks in use after a collection.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func (f *fleet) memoryPerNode() float64 {
	return (float64(memory()) - float64(f.heap)) / float64(len(f.nodes))
}

// sample reads all counters.
func (f *fleet) sample() sample {
	s := sample{shape: f.shape, at: time.Now(), wire: map[string]float64{}}
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	s.processor = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	f.net.mu.Lock()
	for address, t := range f.net.nodes {
		s.bytes += float64(t.bytes.Load())
		s.segments += float64(t.segments.Load())
		s.wire[address] = t.wireBytes()
	}
	f.net.mu.Unlock()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	s.calls = maps.Clone(f.store.calls)
	s.replies = f.store.bytes
	return s
}
