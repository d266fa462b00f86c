package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/route"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Options are what a node is made of.
type Options struct {
	Settings Settings
	// Reload reads the settings again.
	Reload  func() (Settings, error)
	Schema  Schema
	Store   news.Store
	Headers forward.Headers
	// ReadyPath and DirectoryPath are the paths of the interfaces towards
	// callers.
	ReadyPath     string
	DirectoryPath string
	// MetricsPort serves the metrics; 0 serves none.
	MetricsPort int
	Log         *zap.Logger
	Metrics     *telemetry.ForwardMetrics
	Tracer      *telemetry.Tracer
}

// Node is one entry VM's process. Lock order: none of its parts calls another
// while it holds a lock of its own, but for the rows' map, whose lock is
// innermost.
type Node struct {
	o             Options
	settings      atomic.Pointer[Settings]
	inner         string // own inner address
	key           string // of the own row: name and incarnation
	epoch         uint64
	version       atomic.Uint64 // of the newest own soft row
	rows          *news.Map
	exchange      *news.Exchange
	reader        *reader
	config        *config
	servers       *servers
	members       *members
	beating       sync.Mutex // held during a heartbeat, before all others
	published     hubState   // guarded by beating
	readsSlot     int        // guarded by beating
	sessions      *sessions
	rollouts      *rollouts
	evidence      *evidence
	suspects      *suspects
	leaving       *leaving
	pool          *pool.Pool
	prefixes      *prefix.Index
	forwarder     *forward.Forwarder
	callers       *http.Server
	stopping      atomic.Bool
	mu            sync.Mutex
	peers         map[string]*news.Peer // guarded by mu; by address
	lastDiscovery time.Time             // guarded by mu
	started       time.Time
	listeners     []net.Listener
	loops         sync.WaitGroup
}

// crashesToRefuse is how many backend servers a request may bring down before
// it is refused.
const crashesToRefuse = 3

// New provisions a node.
func New(o Options) (*Node, error) {
	n := &Node{o: o, peers: map[string]*news.Peer{}, started: time.Now(), epoch: rand.Uint64()}
	n.settings.Store(&o.Settings)
	n.inner = net.JoinHostPort(o.Settings.IP, strconv.Itoa(o.Settings.InnerPort))
	n.key = o.Settings.Node + "/" + strconv.FormatUint(n.epoch, 36)
	n.rows = news.NewMap(n.apply)
	n.members = newMembers(o.Log)
	n.reader = newReader(o.Store, n.rows, o.Metrics, n.readerTurn, o.Log)
	n.exchange = news.NewExchange(n.epoch, n.rows, n.reader.age, n.reader.observeAge)
	n.config = &config{schema: o.Schema, log: o.Log}
	n.pool = pool.New()
	n.prefixes = prefix.New()
	n.servers = newServers(o.Schema, n.pool, n.rows, n.reader.sinceOutage, o.Log)
	n.sessions = newSessions(n.rows, n.nextVersion, o.Log)
	n.rollouts = newRollouts(o.Schema, n.sessions, n.settings.Load, o.Log)
	n.evidence = &evidence{self: n.key, rows: n.rows, next: n.nextVersion, log: o.Log, seen: map[string]counts{}}
	n.suspects = &suspects{Suspects: dispatch.NewSuspectsAfter(crashesToRefuse), self: n.key, rows: n.rows, log: o.Log, next: n.nextVersion}
	n.leaving = &leaving{pool: n.pool, rows: n.rows, next: n.nextVersion, log: o.Log}
	n.forwarder = forward.New(forward.Options{
		Headers: o.Headers, DataCentre: o.Settings.DataCentre, Table: n.table, Pool: n.pool, Prefixes: n.prefixes, Versions: n.rollouts, Suspects: n.suspects,
		Budget:  forward.NewBudget(n.retryBounds, n.members.count),
		Metrics: o.Metrics, Tracer: o.Tracer, Log: o.Log, OnLeaving: n.leaving.publish, Stopping: n.stopping.Load,
	})
	o.Metrics.Observe(n.state())
	return n, n.listen()
}

// state returns what metrics tell of the node.
func (n *Node) state() telemetry.ForwardState {
	return telemetry.ForwardState{
		StoreAge: func() float64 { return n.reader.age().Seconds() },
		ConfigVersion: func() float64 {
			if t := n.table(); t != nil {
				return float64(t.Version)
			}
			return 0
		},
		Members: func() float64 { return float64(n.members.count()) },
		Servers: func() float64 { return float64(n.pool.Len()) },
		Running: func() float64 { return float64(n.forwarder.Running()) },
	}
}

// nextVersion returns the version of the next own soft row. Versions of one
// node rise; those of different nodes are never compared, as keys differ, but
// for sessions, where any order will do.
func (n *Node) nextVersion() uint64 {
	for {
		old := n.version.Load()
		next := max(old+1, uint64(time.Now().UnixMilli()))
		if n.version.CompareAndSwap(old, next) {
			return next
		}
	}
}

// retryBounds returns the bounds of the retry budget by the settings in force.
func (n *Node) retryBounds() forward.BudgetBounds {
	s := n.settings.Load()
	return forward.BudgetBounds{Ratio: s.RetryRatio, Allowance: s.RetryAllowance, Window: s.RetryWindow}
}

func (n *Node) table() *route.Table { return n.config.table.Load() }

// ready tells whether the node takes callers.
func (n *Node) ready() bool { return !n.stopping.Load() && n.table() != nil && n.pool.Len() > 0 }

// apply hands fresh rows to the parts that follow them.
func (n *Node) apply(rows []news.Row) {
	now := time.Now()
	byTable := map[string][]news.Row{}
	for _, r := range rows {
		byTable[r.Table] = append(byTable[r.Table], r)
	}
	t := n.o.Schema.Tables()
	for _, r := range byTable[t.Operator] {
		if r.Key == t.Config {
			n.config.apply(r)
		}
	}
	n.rollouts.apply(byTable[t.Operator], now)
	n.rollouts.apply(byTable[t.Status], now)
	n.rollouts.applyStarts(byTable[tableSystem])
	if list := byTable[t.Servers]; len(list) > 0 {
		n.servers.apply(list, now)
	}
	n.members.applyBeats(byTable[tableBeats], now)
	n.members.applyRosters(byTable[tableRosters], now)
	n.members.applyPulses(byTable[tablePulses], now)
	if loads := byTable[tableLoads]; len(loads) > 0 {
		n.members.applyLoads(loads)
		n.shareLoad(now)
	}
	n.applyReads(byTable[tableReads], now)
	n.sessions.apply(byTable[tableSessions], now)
	n.evidence.apply(byTable[tableEvidence], n.rollouts, now)
	n.suspects.apply(byTable[tableSuspects], now)
	n.leaving.apply(byTable[tableLeaving], now)
}

const (
	// headerTimeout bounds the header of a request; callers are held to the
	// configuration's own bound, which is shorter.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept where the configuration
	// sets no bound, and on interfaces that it does not bound.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

func (n *Node) listen() error {
	s := n.o.Settings
	inner, err := net.Listen("tcp", n.inner)
	if err != nil {
		return errors.Wrap(err, "listen for nodes")
	}
	n.loops.Go(func() { _ = n.exchange.Serve(inner) })
	n.listeners = append(n.listeners, inner)
	n.callers = &http.Server{
		Handler: n.forwarder, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: quiet(n.o.Log),
		ConnState: newIdleGuard(n.callerIdleTimeout).observe,
	}
	ready := chi.NewRouter()
	ready.Get(n.o.ReadyPath, n.readiness)
	directory := chi.NewRouter()
	directory.Get(n.o.DirectoryPath, n.directory)
	for _, l := range []struct {
		address string
		server  *http.Server
	}{{s.Callers, n.callers}, {s.Readiness, helper(ready)}, {s.Directory, helper(directory)}, {n.metricsAddress(), helper(promhttp.HandlerFor(n.o.Metrics.Registry, promhttp.HandlerOpts{}))}} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		n.listeners = append(n.listeners, listener)
		n.loops.Go(func() { _ = l.server.Serve(listener) })
	}
	return nil
}

// callerIdleTimeout returns how long a caller's connection may carry no request.
func (n *Node) callerIdleTimeout() time.Duration {
	if t := n.table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return idleTimeout
}

func (n *Node) metricsAddress() string {
	if n.o.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(n.o.Settings.IP, strconv.Itoa(n.o.MetricsPort))
}

func helper(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// Run works until ctx ends and the stop is done.
func (n *Node) Run(ctx context.Context) {
	life, end := context.WithCancel(context.Background())
	defer end()
	n.beat()
	t := n.o.Schema.Tables()
	for _, f := range []struct {
		table       string
		wait, pause time.Duration
		current     bool
	}{
		{t.Operator, operatorWait, 0, true}, {t.Servers, restWait, serversPause, false},
		{t.Status, restWait, 0, false}, {tableSystem, restWait, 0, false},
	} {
		n.loops.Go(func() { n.reader.follow(life, f.table, f.wait, f.pause, f.current) })
	}
	n.loops.Go(func() { n.register(life) })
	n.loops.Go(func() { n.syncPeers(life) })
	for _, l := range []struct {
		every time.Duration
		do    func(context.Context)
	}{{beatInterval, func(context.Context) { n.beat() }}, {judgeInterval, n.judge}, {pruneInterval, func(context.Context) { n.prune() }}} {
		n.loops.Go(func() { loop.Every(life, l.every, l.do) })
	}
	n.o.Log.Info("started", zap.String("inner", n.inner), zap.String("callers", n.o.Settings.Callers), zap.String("data_centre", n.o.Settings.DataCentre))
	<-ctx.Done()
	n.stop(life)
}

const (
	// judgeInterval is how often new versions are judged and roll-outs driven; a
	// status has some turns of other nodes within a second.
	judgeInterval = 150 * time.Millisecond
	// pruneInterval is how often what has ended is forgotten.
	pruneInterval = 500 * time.Millisecond
)

// prune forgets what has ended, and hands the load that other nodes told to
// the pool.
func (n *Node) prune() {
	now := time.Now()
	n.reader.noteOutage()
	n.members.prune(now)
	n.servers.tick(now)
	n.sessions.prune(n.settings.Load().SessionLife, now)
	n.shareLoad(now)
	n.prefixes.Prune(now)
	for table, life := range softLives {
		old := uint64(now.Add(-life).UnixMilli())
		n.rows.Forget(table, func(r news.Row) bool { return r.Version > old })
	}
}

// forgetAfter is how long rows are kept that their nodes tell all the time.
const forgetAfter = time.Minute

// softLives is how long rows of soft tables are kept: suspicions as long as
// they hold, servers that leave until their entries are gone, evidence longer
// than any roll-out.
var softLives = map[string]time.Duration{
	tableBeats: forgetAfter, tableRosters: forgetAfter, tablePulses: forgetAfter, tableLoads: forgetAfter, tableReads: forgetAfter, tableSessions: forgetAfter,
	tableSuspects: 10 * time.Minute, tableLeaving: 10 * time.Minute, tableEvidence: 24 * time.Hour,
}
