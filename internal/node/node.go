// Package node assembles and runs the process of one entry VM: the HTTP
// gateway, gossip between nodes, owned replicas and background tasks.
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

// Platform is the set of platform services that a node uses.
type Platform = infra.Services

// Listeners holds the network listeners of a node.
type Listeners struct {
	// Callers, Inner and Operators serve callers, other nodes and operators.
	Callers   net.Listener
	Inner     net.Listener
	Operators net.Listener
}

// Options holds the settings and dependencies of a node.
type Options struct {
	Settings  config.Settings
	Listeners Listeners
	Platform  Platform
	Dialer    backend.Dialer
	Dial      wire.DialFunc
	Log       *zap.Logger
	// Started is the start time of the process by its own clock. Zero means
	// now.
	Started time.Time
}

// Node is the process of one entry VM. Lock order: none of its parts calls
// another while it holds a lock of its own.
type Node struct {
	options        Options
	config         *config.Holder
	store          *config.Store
	members        *membership.Table
	peers          *wire.Peers
	owner          *dispatch.Owner
	dispatcher     *dispatch.Dispatcher
	claims         *ledger.Claims
	bills          *ledger.Bills
	pins           *ledger.Pins
	suspects       *dispatch.Suspects
	record         *record.Log
	versions       *versions
	rollouts       rolloutControl
	metrics        *telemetry.Metrics
	tracer         *telemetry.Tracer
	health         *meter.HealthLog
	isShuttingDown atomic.Bool   // announced to callers, which are still served
	isRefusing     atomic.Bool   // new requests are refused
	expedited      chan struct{} // closed to shut down sooner
	releaseRetries atomic.Int32  // releases that are being retried
	expediteOnce   sync.Once
	servers        []*http.Server
	inner          *wire.Server
	mu             sync.Mutex // guards seeds; never held together with another lock
	exchanger      *exchanger
	refusedPeers   refusedPeers
	limits         *limits
	platform       *infra.Limited
	started        time.Time            // by the local clock, for ages only
	registered     time.Time            // used by the registration loop only
	configRead     time.Time            // used by the configuration loop only
	vmsRead        time.Time            // used by the VM list loop only
	ownershipView  *membership.Snapshot // the view that the owned replicas are based on; used by its loop only
	seeds          map[string]string    // guarded by mu; inner addresses by node, read from the table
	processContext context.Context      // ends when the process stops
	stop           context.CancelFunc
	loops          sync.WaitGroup
}

// New creates a node. Start must be called to run it.
func New(o Options) (*Node, error) {
	tracer, err := telemetry.NewTracer(context.Background(), o.Settings)
	if err != nil {
		return nil, err
	}
	metrics := telemetry.NewMetrics()
	health := &meter.HealthLog{}
	limited := infra.NewLimited(o.Platform, infra.DefaultFleetLimits)
	o.Platform = limited
	o = withMetrics(o, metrics, tracer, health)
	n := &Node{
		options: o, platform: limited, started: time.Now(), config: config.NewHolder(),
		store: config.NewStore(o.Platform, o.Platform), peers: wire.NewPeers(o.Settings.InnerSecret, o.Dial),
		record: record.NewLog(o.Settings.ID), metrics: metrics, tracer: tracer, health: health, exchanger: newExchanger(), expedited: make(chan struct{}), seeds: map[string]string{},
	}
	started := o.Started
	if started.IsZero() {
		started = time.Now()
	}
	n.members = membership.NewTable(wire.NodeState{
		ID: o.Settings.ID, Incarnation: uint64(started.UnixNano()), Address: o.Listeners.Callers.Addr().String(),
		Inner: o.Listeners.Inner.Addr().String(), DataCentre: o.Settings.DataCentre, Region: o.Settings.Region,
	})
	n.processContext, n.stop = context.WithCancel(context.Background())
	n.members.OnUrgentChange(n.triggerExchange)
	n.owner = dispatch.NewOwner(n.pauseHolder)
	n.owner.OnLimit(n.logLimit)
	n.limits = newLimits(o.Settings.ID)
	n.claims = ledger.NewClaims(ledger.ClaimsOptions{
		Table: o.Platform, Objects: o.Platform, Node: o.Settings.ID, Incarnation: n.members.Incarnation(),
		NewToken: dispatch.NewID, AskSender: n.askSender,
	})
	n.pins = ledger.NewPins(o.Platform, pinPeers{n})
	n.bills = ledger.NewBills(o.Platform, backups{n}, n.pins)
	n.suspects = dispatch.NewSuspects()
	n.owner.SetSuspects(n.suspects)
	n.versions = newVersions(o.Platform, n.metrics, func() *routing.Plan { return n.dispatcher.Plan() })
	n.rollouts.controller = rollout.NewController()
	n.rollouts.aggregator = rollout.NewAggregator()
	n.rollouts.undelivered = map[string]bool{}
	n.dispatcher = dispatch.New(dispatch.Options{
		ProcessContext: n.processContext, Node: o.Settings.ID, Incarnation: n.members.Incarnation, DataCentre: o.Settings.DataCentre,
		Config: n.config, View: n.members.Snapshot, Owners: meter.OwnerClient{Next: ownerClient{n}, Metrics: metrics, Tracer: tracer}, Dialer: o.Dialer,
		Claims: n.claims, Bills: n.bills, Pins: n.pins, Record: n.record, Suspects: n.suspects, CrashReporter: crashReporter{n},
		Observer: n.versions, Cascade: n.versions.cascade, IsOnHold: n.versions.isOnHold,
	})
	metrics.Registry.MustRegister(gaugeCollector{n})
	n.inner, err = wire.NewServer(o.Listeners.Inner, o.Settings.InnerSecret, &handler{n})
	return n, err
}

// withMetrics wraps the platform, dialers and inner listener, so that their
// calls are counted and traced.
func withMetrics(o Options, m *telemetry.Metrics, t *telemetry.Tracer, h *meter.HealthLog) Options {
	o.Platform = meter.Store{Next: o.Platform, Metrics: m, Tracer: t, Health: h}
	o.Dialer = meter.Dialer{Next: o.Dialer, Metrics: m, Tracer: t}
	o.Dial = meter.Dial(o.Dial, m)
	o.Listeners.Inner = meter.Listener(o.Listeners.Inner, m)
	return o
}

// Start serves callers, peers and operators, and starts the background tasks.
func (n *Node) Start() {
	ctx := n.processContext
	n.loops.Go(n.inner.Serve)
	callers := gateway.New(gateway.Options{
		Config: n.config, View: n.members.Snapshot, Dispatcher: n.dispatcher, Claims: n.claims,
		Metrics: n.metrics, Tracer: n.tracer, Log: n.options.Log, IsShuttingDown: n.isShuttingDown.Load, IsRefusing: n.isRefusing.Load,
	})
	n.serve(n.options.Listeners.Callers, callers)
	n.serve(n.options.Listeners.Operators, n.operatorHandler())
	n.raiseIncarnation(ctx)
	n.register(ctx)
	n.runFirstRound(ctx)
	for _, l := range []struct {
		every time.Duration
		do    func(context.Context)
	}{
		{loopTick, n.followConfig},
		{loopTick, n.followVMs},
		{probeInterval, n.probeReplicas},
		{rosterInterval, n.updateRoster},
		{presenceInterval, n.exchangePresence},
		{loopTick, n.register},
		{reclaimInterval, n.reclaimLostReleases},
		{dispatch.HandoverInterval, n.handover},
		{dispatch.HandoverInterval, n.followOwnership},
		{rating.Interval, n.versions.ratings.Tick},
		{membership.HeartbeatInterval, n.mergeHolds},
		{evidenceInterval, n.controlRollouts},
		{evidenceInterval, newSnapshotter(n).round},
		{ratingsTrustInterval, n.versions.cascade.updateRatingsTrust},
	} {
		n.loops.Go(func() { loop.Every(ctx, l.every, l.do) })
	}
	orders := n.newOrders()
	n.loops.Go(func() { loop.Every(ctx, ordersInterval, orders.Round) })
	n.loops.Go(func() { n.runExchange(ctx) })
	n.loops.Go(func() { n.claims.Run(ctx) })
	n.loops.Go(func() { n.bills.Run(ctx) })
	sweeper := ledger.NewSweeper(n.options.Platform, n.rowLifetimes(), n.sweepAssignment)
	n.loops.Go(func() { loop.Every(ctx, ledger.SweepInterval, sweeper.Sweep) })
}

// runFirstRound runs the main background tasks once, so that a new node is
// ready soon.
func (n *Node) runFirstRound(ctx context.Context) {
	n.followConfig(ctx)
	n.followVMs(ctx)
	if address := n.pickUnconfirmed(); address != "" {
		n.introduceTo(ctx, address)
	}
	n.updateOwnedReplicas()
	n.probeReplicas(ctx)
	n.exchangeRound(ctx, true)
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
