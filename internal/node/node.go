// Package node wires one entry VM's process together.
package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/gateway"
	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/meter"
	"github.com/cowslipfall/cowslipfall/internal/platform"
	"github.com/cowslipfall/cowslipfall/internal/record"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Platform is all that a node needs of the platform.
type Platform = meter.Platform

// Listeners are where a node is reached.
type Listeners struct {
	// Callers, Inner and Operators serve the three interfaces.
	Callers   net.Listener
	Inner     net.Listener
	Operators net.Listener
}

// Options are what a node is made of.
type Options struct {
	Settings  config.Settings
	Listeners Listeners
	Platform  Platform
	Dialer    backend.Dialer
	Dial      wire.Dial
	Log       *zap.Logger
}

// Node is one entry VM's process. Lock order: none of its parts calls
// another while it holds a lock of its own.
type Node struct {
	options     Options
	incarnation uint64
	config      *config.Holder
	store       *config.Store
	members     *membership.Table
	peers       *wire.Peers
	owner       *dispatch.Owner
	dispatcher  *dispatch.Dispatcher
	claims      *ledger.Claims
	bills       *ledger.Bills
	record      *record.Log
	metrics     *telemetry.Metrics
	tracer      *telemetry.Tracer
	health      *meter.HealthLog
	draining    atomic.Bool // left the directory
	leaving     atomic.Bool // takes no new requests
	servers     []*http.Server
	inner       *wire.Server
	mu          sync.Mutex
	exchanger   *exchanger
	configRead  time.Time         // used by the configuration's loop alone
	vmsRead     time.Time         // used by the VM list's loop alone
	seeds       map[string]string // guarded by mu; inner addresses by node, from the table
	stop        context.CancelFunc
	loops       sync.WaitGroup
}

// New provisions a node; Start sets it to work.
func New(o Options) (*Node, error) {
	tracer, err := telemetry.NewTracer(context.Background(), o.Settings)
	if err != nil {
		return nil, err
	}
	metrics := telemetry.NewMetrics()
	health := &meter.HealthLog{}
	o = metered(o, metrics, tracer, health)
	n := &Node{
		options: o, incarnation: uint64(time.Now().UnixNano()), config: config.NewHolder(),
		store: config.NewStore(o.Platform, o.Platform), peers: wire.NewPeers(o.Settings.InnerSecret, o.Dial),
		record: record.NewLog(o.Settings.ID), metrics: metrics, tracer: tracer, health: health, exchanger: newExchanger(), seeds: map[string]string{},
	}
	n.members = membership.NewTable(wire.NodeState{
		ID: o.Settings.ID, Incarnation: n.incarnation, Address: o.Listeners.Callers.Addr().String(),
		Inner: o.Listeners.Inner.Addr().String(), DataCentre: o.Settings.DataCentre, Region: o.Settings.Region,
	})
	n.owner = dispatch.NewOwner(n.pause)
	n.claims = ledger.NewClaims(o.Platform, o.Settings.ID, n.incarnation, dispatch.NewID, n.askOwner)
	n.bills = ledger.NewBills(o.Platform, n.holdBills)
	n.dispatcher = dispatch.New(dispatch.Options{
		Node: o.Settings.ID, Incarnation: n.incarnation, DataCentre: o.Settings.DataCentre,
		Config: n.config, View: n.members.Snapshot, Places: meter.Places{Next: places{n}, Metrics: metrics, Tracer: tracer}, Dialer: o.Dialer,
		Claims: n.claims, Bills: n.bills, Pins: ledger.NewPins(o.Platform), Record: n.record,
	})
	metrics.Registry.MustRegister(gauges{n})
	n.inner, err = wire.NewServer(o.Listeners.Inner, o.Settings.InnerSecret, &handler{n})
	return n, err
}

// metered wraps a node's surroundings, so that calls of them are counted and
// traced.
func metered(o Options, m *telemetry.Metrics, t *telemetry.Tracer, h *meter.HealthLog) Options {
	o.Platform = meter.Store{Next: o.Platform, Metrics: m, Tracer: t, Health: h}
	o.Dialer = meter.Dialer{Next: o.Dialer, Metrics: m, Tracer: t}
	o.Dial = meter.Dial(o.Dial, m)
	o.Listeners.Inner = meter.Listener(o.Listeners.Inner, m)
	return o
}

// Start serves callers, peers and operators, and starts the loops.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.loops.Go(n.inner.Serve)
	callers := gateway.New(gateway.Options{
		Config: n.config, View: n.members.Snapshot, Dispatcher: n.dispatcher,
		Metrics: n.metrics, Tracer: n.tracer, Log: n.options.Log, Draining: n.draining.Load, Leaving: n.leaving.Load,
	})
	n.serve(n.options.Listeners.Callers, callers)
	n.serve(n.options.Listeners.Operators, n.operators())
	n.register(ctx)
	n.refresh(ctx)
	for _, l := range []struct {
		every time.Duration
		do    func(context.Context)
	}{
		{loopTick, n.followConfig},
		{loopTick, n.followVMs},
		{probeInterval, n.probe},
		{registerInterval, n.register},
	} {
		n.loops.Go(func() { every(ctx, l.every, l.do) })
	}
	n.loops.Go(func() { n.runExchange(ctx) })
	n.loops.Go(func() { n.bills.Run(ctx) })
}

// refresh takes a first look at everything, so that a new node is ready soon.
func (n *Node) refresh(ctx context.Context) {
	n.followConfig(ctx)
	n.followVMs(ctx)
	if address := n.pickStray(); address != "" {
		n.introduce(ctx, address)
	}
	n.own()
	n.probe(ctx)
	n.round(ctx)
}

// every calls do at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(ctx)
		}
	}
}

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

func (n *Node) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	n.servers = append(n.servers, s)
	n.loops.Go(func() { _ = s.Serve(l) })
}

const (
	// drainNotice is how long a leaving node still serves callers who have
	// not yet heard of it.
	drainNotice = membership.AddressTTL
	flushWait   = 100 * time.Millisecond
)

// Leave stops gracefully: the node leaves the directory, serves on until
// callers have heard of it, lets running requests end, and stores its bills.
// It returns when ctx ends at the latest.
func (n *Node) Leave(ctx context.Context) error {
	n.draining.Store(true)
	n.members.Update(time.Now(), func(s *wire.NodeState) { s.Leaving = true })
	n.kickPeers()
	n.options.Log.Info("leaving: serving on until callers have heard")
	select {
	case <-time.After(drainNotice):
	case <-ctx.Done():
	}
	n.leaving.Store(true)
	var first error
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "requests were still running")
		}
	}
	for n.bills.Pending() > 0 && ctx.Err() == nil {
		_ = n.bills.Flush(ctx)
		time.Sleep(flushWait)
	}
	n.Close()
	return first
}

// Close stops at once.
func (n *Node) Close() {
	n.stop()
	for _, s := range n.servers {
		s.Close()
	}
	n.inner.Close()
	n.peers.Close()
	n.loops.Wait()
	_ = n.tracer.Stop(context.Background())
}

// nodeRow is what the table holds of a node, for others to find it.
type nodeRow struct {
	Inner       string    `json:"inner"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
}

const (
	nodePrefix       = "node/"
	nodeRowsPerRead  = 500
	nodeRowLifetime  = 5 * time.Minute
	registerInterval = time.Minute
)

// register writes the own row and reads those of the others.
func (n *Node) register(ctx context.Context) {
	row, err := json.Marshal(nodeRow{Inner: n.options.Listeners.Inner.Addr().String(), Incarnation: n.incarnation, At: time.Now()})
	if err != nil {
		return
	}
	_, _ = n.options.Platform.Commit(ctx, platform.Op{Key: nodePrefix + n.options.Settings.ID, Value: row, Expect: platform.AnyVersion})
	rows, err := n.options.Platform.List(ctx, nodePrefix, "", nodeRowsPerRead)
	if err != nil {
		return
	}
	seeds := map[string]string{}
	for _, r := range rows {
		var other nodeRow
		if json.Unmarshal(r.Value, &other) == nil && time.Since(other.At) < nodeRowLifetime {
			seeds[r.Key[len(nodePrefix):]] = other.Inner
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}
