// Package node wires one entry VM's process together.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/gateway"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/meter"
	"github.com/cowslipfall/cowslipfall/internal/rating"
	"github.com/cowslipfall/cowslipfall/internal/record"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Platform is all that a node needs of the platform.
type Platform = infra.Services

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
	// Started is when the process started, by its own clock; zero stands for
	// now.
	Started time.Time
}

// Node is one entry VM's process. Lock order: none of its parts calls
// another while it holds a lock of its own.
type Node struct {
	options    Options
	config     *config.Holder
	store      *config.Store
	members    *membership.Table
	peers      *wire.Peers
	owner      *dispatch.Owner
	dispatcher *dispatch.Dispatcher
	claims     *ledger.Claims
	bills      *ledger.Bills
	pins       *ledger.Pins
	suspects   *dispatch.Suspects
	record     *record.Log
	versions   *versions
	drivers    drivers
	metrics    *telemetry.Metrics
	tracer     *telemetry.Tracer
	health     *meter.HealthLog
	leaving    atomic.Bool   // says so to callers, serves on
	refusing   atomic.Bool   // takes no new requests
	hurry      chan struct{} // closed to leave sooner
	releases   atomic.Int32  // releases that are sent again
	hurryOnce  sync.Once
	servers    []*http.Server
	inner      *wire.Server
	mu         sync.Mutex // guards seeds; taken alone
	exchanger  *exchanger
	refusals   refusals
	platform   *infra.Limited
	started    time.Time            // by the own clock, for ages only
	registered time.Time            // used by the registration's loop alone
	configRead time.Time            // used by the configuration's loop alone
	vmsRead    time.Time            // used by the VM list's loop alone
	owned      *membership.Snapshot // the view that owned replicas follow; used by its loop alone
	seeds      map[string]string    // guarded by mu; inner addresses by node, from the table
	life       context.Context      // ends when the process stops at once
	stop       context.CancelFunc
	loops      sync.WaitGroup
}

// New provisions a node; Start sets it to work.
func New(o Options) (*Node, error) {
	tracer, err := telemetry.NewTracer(context.Background(), o.Settings)
	if err != nil {
		return nil, err
	}
	metrics := telemetry.NewMetrics()
	health := &meter.HealthLog{}
	limited := infra.NewLimited(o.Platform, infra.DefaultFleetLimits)
	o.Platform = limited
	o = metered(o, metrics, tracer, health)
	n := &Node{
		options: o, platform: limited, started: time.Now(), config: config.NewHolder(),
		store: config.NewStore(o.Platform, o.Platform), peers: wire.NewPeers(o.Settings.InnerSecret, o.Dial),
		record: record.NewLog(o.Settings.ID), metrics: metrics, tracer: tracer, health: health, exchanger: newExchanger(), hurry: make(chan struct{}), seeds: map[string]string{},
	}
	started := o.Started
	if started.IsZero() {
		started = time.Now()
	}
	n.members = membership.NewTable(wire.NodeState{
		ID: o.Settings.ID, Incarnation: uint64(started.UnixNano()), Address: o.Listeners.Callers.Addr().String(),
		Inner: o.Listeners.Inner.Addr().String(), DataCentre: o.Settings.DataCentre, Region: o.Settings.Region,
	})
	n.life, n.stop = context.WithCancel(context.Background())
	n.members.OnUrgentChange(n.kickPeers)
	n.owner = dispatch.NewOwner(n.pause)
	n.claims = ledger.NewClaims(ledger.ClaimsOptions{
		Table: o.Platform, Objects: o.Platform, Node: o.Settings.ID, Incarnation: n.members.Incarnation(),
		NewToken: dispatch.NewID, AskSender: n.askSender,
	})
	n.pins = ledger.NewPins(o.Platform, pinPeers{n})
	n.bills = ledger.NewBills(o.Platform, copies{n}, n.pins)
	n.suspects = dispatch.NewSuspects()
	n.owner.SetSuspects(n.suspects)
	n.versions = newVersions(o.Platform, n.metrics, func() *routing.Plan { return n.dispatcher.Plan() })
	n.drivers.driver = rollout.NewController()
	n.drivers.gather = rollout.NewAggregator()
	n.drivers.stuck = map[string]bool{}
	n.dispatcher = dispatch.New(dispatch.Options{
		ProcessContext: n.life, Node: o.Settings.ID, Incarnation: n.members.Incarnation, DataCentre: o.Settings.DataCentre,
		Config: n.config, View: n.members.Snapshot, Owners: meter.OwnerClient{Next: places{n}, Metrics: metrics, Tracer: tracer}, Dialer: o.Dialer,
		Claims: n.claims, Bills: n.bills, Pins: n.pins, Record: n.record, Suspects: n.suspects, CrashReporter: alarms{n},
		Observer: n.versions, Cascade: n.versions.cascade, IsOnHold: n.versions.held,
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
	ctx := n.life
	n.loops.Go(n.inner.Serve)
	callers := gateway.New(gateway.Options{
		Config: n.config, View: n.members.Snapshot, Dispatcher: n.dispatcher, Claims: n.claims,
		Metrics: n.metrics, Tracer: n.tracer, Log: n.options.Log, Draining: n.leaving.Load, Leaving: n.refusing.Load,
	})
	n.serve(n.options.Listeners.Callers, callers)
	n.serve(n.options.Listeners.Operators, n.operators())
	n.succeed(ctx)
	n.register(ctx)
	n.refresh(ctx)
	for _, l := range []struct {
		every time.Duration
		do    func(context.Context)
	}{
		{loopTick, n.followConfig},
		{loopTick, n.followVMs},
		{probeInterval, n.probe},
		{loopTick, n.register},
		{grantsInterval, n.reclaim},
		{dispatch.HandoverInterval, n.handover},
		{dispatch.HandoverInterval, n.followOwners},
		{rating.Interval, n.versions.ratings.Tick},
		{membership.HeartbeatInterval, n.gatherHolds},
		{evidenceInterval, n.driveRollouts},
		{evidenceInterval, newKeeper(n).round},
		{trustInterval, n.versions.cascade.watchRatings},
	} {
		n.loops.Go(func() { loop.Every(ctx, l.every, l.do) })
	}
	orders := n.newOrders()
	n.loops.Go(func() { loop.Every(ctx, ordersInterval, orders.Round) })
	n.loops.Go(func() { n.runExchange(ctx) })
	n.loops.Go(func() { n.claims.Run(ctx) })
	n.loops.Go(func() { n.bills.Run(ctx) })
	sweeper := ledger.NewSweeper(n.options.Platform, n.lives(), n.sweeps)
	n.loops.Go(func() { loop.Every(ctx, ledger.SweepInterval, sweeper.Sweep) })
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
	n.round(ctx, true)
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
