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
	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/route"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Options configure a node.
type Options struct {
	Settings Settings
	// Reload reads the settings again.
	Reload  func() (Settings, error)
	Schema  Schema
	Store   gossip.Store
	Headers forward.Headers
	// ReadyPath and DirectoryPath are the HTTP paths of the interfaces to callers.
	ReadyPath     string
	DirectoryPath string
	// MetricsPort serves the metrics; 0 disables them.
	MetricsPort int
	// Dial opens connections to backend servers. Nil means TCP.
	Dial    forward.Dial
	Log     *zap.Logger
	Metrics *telemetry.ForwardMetrics
	Tracer  *telemetry.Tracer
}

// Node is one entry VM's process. Lock order: no part of a node calls another part
// while it holds its own lock, except that the lock of the row map is innermost.
type Node struct {
	options       Options
	settings      atomic.Pointer[Settings]
	innerAddress  string // local address for other nodes
	rowKey        string // of this node's rows: name and incarnation
	epoch         uint64
	rowVersion    atomic.Uint64 // of this node's newest soft row
	rows          *gossip.Map
	exchange      *gossip.Exchange
	reader        *reader
	config        *config
	servers       *servers
	members       *members
	heartbeatMu   sync.Mutex // held while a heartbeat is sent, acquired before all others
	published     hubState   // guarded by heartbeatMu
	prefixSlot    int        // guarded by heartbeatMu
	sessions      *sessions
	rollouts      *rollouts
	evidence      *evidence
	suspects      *suspects
	drainNotices  *drainNotices
	serverLimits  *serverLimits
	warmups       *warmups
	evacuations   *evacuations
	permits       *permits
	pool          *pool.Pool
	prefixes      *prefix.Index
	forwarder     *forward.Forwarder
	relay         *relay
	callers       *http.Server
	stopping      atomic.Bool
	stopsAt       atomic.Pointer[time.Time] // when requests must have ended; nil before a stop
	mu            sync.Mutex
	peers         map[string]*peer // guarded by mu; by address
	lastDiscovery time.Time        // guarded by mu
	startStoredAt time.Time        // used by controlRollouts only
	// quarantineRows counts for each stored quarantine how often it was found not in force.
	// It is used by storeQuarantines only.
	quarantineRows map[string]int
	startedAt      time.Time
	listeners      []net.Listener
	loops          sync.WaitGroup
}

// crashesToRefuse is how many backend servers a request may crash before it is
// refused.
const crashesToRefuse = 3

// New creates a node and opens its listeners.
func New(o Options) (*Node, error) {
	n := &Node{options: o, peers: map[string]*peer{}, quarantineRows: map[string]int{}, startedAt: time.Now(), epoch: rand.Uint64()}
	n.settings.Store(&o.Settings)
	n.innerAddress = n.innerAddressOf(o.Settings.IP)
	n.rowKey = o.Settings.Node + "/" + strconv.FormatUint(n.epoch, 36)
	n.rows = gossip.NewMap(n.apply)
	t := o.Schema.Tables()
	n.rows.SetFirstTables(t.Operator, t.Status, tableSystem, tableMemberLists)
	n.members = newMembers(o.Log)
	n.reader = newReader(o.Store, n.rows, o.Metrics, n.rank, n.readerTurn, o.Log)
	n.exchange = gossip.NewExchange(n.epoch, n.rows, n.reader.age, n.reader.observeAge)
	n.exchange.CountSent(func(table string, bytes int) { o.Metrics.InnerBytes.WithLabelValues(table).Add(float64(bytes)) })
	n.config = &config{schema: o.Schema, log: o.Log}
	n.pool = pool.New()
	n.prefixes = prefix.New()
	n.servers = newServers(o.Schema, n.pool, n.rows, n.reader.sinceOutage, o.Log)
	n.sessions = newSessions(n.rows, n.nextVersion, o.Log)
	n.rollouts = newRollouts(o.Schema, n.sessions, n.settings.Load, o.Log)
	n.evidence = &evidence{nodeKey: n.rowKey, rows: n.rows, nextVersion: n.nextVersion, log: o.Log, countsByKey: map[string]rolloutCounts{}}
	n.suspects = &suspects{Suspects: dispatch.NewSuspectsWithLimit(crashesToRefuse), nodeKey: n.rowKey, rows: n.rows, log: o.Log, nextVersion: n.nextVersion, isHub: n.isHub, onQuarantine: func() { n.forwarder.CancelQuarantined() }}
	n.drainNotices = &drainNotices{pool: n.pool, rows: n.rows, nextVersion: n.nextVersion, log: o.Log}
	n.servers.onStale = n.drainNotices.publish
	n.serverLimits = &serverLimits{pool: n.pool, rows: n.rows, nextVersion: n.nextVersion, log: o.Log}
	n.warmups = &warmups{pool: n.pool, rows: n.rows, nextVersion: n.nextVersion, log: o.Log}
	n.evacuations = newEvacuations(o.Schema.Tables().EvacuationPrefix, n.pool, n.settings.Load, o.Log)
	n.permits = newPermits(n.innerAddress, n.startedAt, o.Log)
	for _, ip := range o.Settings.Seeds {
		n.permits.roster.ObserveRegistered(n.innerAddressOf(ip), n.startedAt)
	}
	if err := n.exchange.Register(permitService, PermitService{n.permits}); err != nil {
		return nil, err
	}
	n.relay = newRelay(n, o.Dial)
	n.exchange.HandleRaw(relayPreface, n.relay.serve)
	n.exchange.HandleRaw(framedRelayPreface, n.relay.serveFramed)
	n.forwarder = forward.New(forward.Options{
		Headers: o.Headers, DataCentre: o.Settings.DataCentre, Table: n.table, Pool: n.pool, Prefixes: n.prefixes, Versions: n.rollouts, Suspects: n.suspects,
		Budget:  forward.NewBudget(n.retryBounds, n.fleetSize),
		Metrics: o.Metrics, Tracer: o.Tracer, Log: o.Log, OnDraining: n.drainNotices.publish, OnLimit: n.serverLimits.publish, OnCold: n.warmups.publish, Permits: n.permits, ShuttingDown: n.stopping.Load, Dial: o.Dial, Relay: n.relay.open, FleetSize: n.fleetSize, StopsAt: n.requestsEndAt, Memory: o.Settings.Memory,
	})
	o.Metrics.RegisterGauges(n.metricsState())
	return n, n.listen()
}

// innerAddressOf returns the address for other nodes of the node at an IP address.
func (n *Node) innerAddressOf(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(n.options.Settings.InnerPort))
}

// metricsState returns the functions by which the metrics read the node's state.
func (n *Node) metricsState() telemetry.ForwardState {
	return telemetry.ForwardState{
		StoreAge: func() float64 { return n.reader.age().Seconds() },
		StoreEra: func() float64 { return float64(n.rows.Era()) },
		ConfigVersion: func() float64 {
			if t := n.table(); t != nil {
				return float64(t.Version)
			}
			return 0
		},
		Members:              func() float64 { return float64(n.members.count()) },
		Servers:              func() float64 { return float64(n.pool.Len()) },
		LimitedServers:       func() float64 { return float64(n.pool.CountLimited()) },
		EvacuatedDataCentres: func() float64 { return float64(n.pool.CountEvacuated()) },
		ColdServers:          func() float64 { return float64(n.pool.CountCold(time.Now())) },
		PermitShare: func() float64 {
			share, _ := n.permits.roster.Share(time.Now())
			return share
		},
		LoadInterval: n.loadInterval,
		CutLinks:     func() float64 { return float64(n.forwarder.CutLinks()) },
		Relayed:      func() float64 { return float64(n.relay.carried.Load()) },
		Running:      func() float64 { return float64(n.forwarder.Running()) },
		Quarantined:  func() float64 { return float64(len(n.suspects.Quarantined(time.Now()))) },
	}
}

// nextVersion returns the version of this node's next soft row. Versions of one node
// rise. Versions of different nodes are never compared, as their keys differ; only
// sessions share keys, where any order will do.
func (n *Node) nextVersion() uint64 {
	for {
		old := n.rowVersion.Load()
		next := max(old+1, uint64(time.Now().UnixMilli()))
		if n.rowVersion.CompareAndSwap(old, next) {
			return next
		}
	}
}

// retryBounds returns the bounds of the retry budget from the settings in force.
func (n *Node) retryBounds() forward.BudgetBounds {
	s := n.settings.Load()
	return forward.BudgetBounds{Ratio: s.RetryRatio, Allowance: s.RetryAllowance, Window: s.RetryWindow}
}

// requestsEndAt returns when the requests in progress must have ended, the zero time if the
// node is not stopping.
func (n *Node) requestsEndAt() time.Time {
	if at := n.stopsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (n *Node) table() *route.Table { return n.config.table.Load() }

// isReady reports whether the node accepts callers. With a part of the list of servers it
// would send all requests to that part.
func (n *Node) isReady() bool {
	t := n.options.Schema.Tables()
	return !n.stopping.Load() && n.table() != nil && n.pool.Len() > 0 && !n.rows.Cursor(t.Operator).IsZero() && !n.rows.Cursor(t.Servers).IsZero()
}

// rank returns the number that the operator gave to a configuration, if it is valid. The
// operator's numbers rise, also where the store's versions go back.
func (n *Node) rank(r gossip.Row) uint64 {
	t := n.options.Schema.Tables()
	if r.Deleted || r.Table != t.Operator || r.Key != t.Config {
		return 0
	}
	routes, err := n.options.Schema.Routes(r.Data)
	if err != nil {
		return 0
	}
	return uint64(max(routes.Version, 0))
}

// apply dispatches new rows to the components that use their tables.
func (n *Node) apply(rows []gossip.Row) {
	now := time.Now()
	byTable := map[string][]gossip.Row{}
	for _, r := range rows {
		byTable[r.Table] = append(byTable[r.Table], r)
	}
	t := n.options.Schema.Tables()
	n.evacuations.apply(byTable[t.Operator], now)
	for _, r := range byTable[t.Operator] {
		if r.Key == t.Config {
			n.config.apply(r)
			n.updateWarmups()
		}
	}
	n.rollouts.apply(byTable[t.Operator], now)
	n.rollouts.apply(byTable[t.Status], now)
	n.rollouts.applyStarts(byTable[tableSystem])
	if list := byTable[t.Servers]; len(list) > 0 {
		n.servers.apply(list, now)
	}
	n.members.applyHeartbeats(byTable[tableHeartbeats], now)
	n.members.applyMemberLists(byTable[tableMemberLists], now)
	n.members.applyHubHeartbeats(byTable[tableHubHeartbeats], now)
	n.members.applyLoadDetails(byTable[tableLoadDetails])
	if loads := byTable[tableLoads]; len(loads)+len(byTable[tableLoadDetails]) > 0 {
		n.members.applyLoads(loads)
		n.applyRemoteLoad(now)
	}
	n.applyPrefixes(byTable[tablePrefixes], now)
	n.sessions.apply(byTable[tableSessions], now)
	n.evidence.apply(byTable[tableEvidence], n.rollouts, now)
	n.suspects.apply(byTable[tableSuspects], now)
	n.suspects.applyStored(byTable[tableSystem], now)
	n.drainNotices.apply(byTable[tableDraining], now)
	n.serverLimits.apply(byTable[tableLimits], now)
	n.warmups.apply(byTable[tableWarmups], now)
	n.applyPresence(byTable[tableSystem], now)
}

const (
	// headerTimeout bounds the time to read a request's header. The configuration sets a
	// shorter bound for callers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept on interfaces that the
	// configuration does not bound, and where it sets no bound.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

// listen opens all listeners and starts to serve them.
func (n *Node) listen() error {
	s := n.options.Settings
	inner, err := net.Listen("tcp", n.innerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for nodes")
	}
	n.loops.Go(func() { _ = n.exchange.Serve(inner) })
	n.listeners = append(n.listeners, inner)
	n.callers = &http.Server{
		Handler: n.forwarder, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: newDebugLogger(n.options.Log),
		ConnState: newIdleGuard(n.callerIdleTimeout).observe, ConnContext: forward.ConnContext,
	}
	ready := chi.NewRouter()
	ready.Get(n.options.ReadyPath, n.readiness)
	directory := chi.NewRouter()
	directory.Get(n.options.DirectoryPath, n.directory)
	for _, l := range []struct {
		address string
		server  *http.Server
	}{{s.Callers, n.callers}, {s.Readiness, newAuxiliaryServer(ready)}, {s.Directory, newAuxiliaryServer(directory)}, {n.metricsAddress(), newAuxiliaryServer(promhttp.HandlerFor(n.options.Metrics.Registry, promhttp.HandlerOpts{}))}} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		n.listeners = append(n.listeners, listener)
		if l.server == n.callers {
			listener = forward.CallerListener(listener)
		}
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
	if n.options.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(n.options.Settings.IP, strconv.Itoa(n.options.MetricsPort))
}

// newAuxiliaryServer returns an HTTP server for an interface other than the forwarder.
func newAuxiliaryServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// Run serves until ctx ends and the shutdown is complete.
func (n *Node) Run(ctx context.Context) {
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.sendHeartbeat()
	n.updateRoster()
	for _, f := range followedTables(n.options.Schema.Tables()) {
		n.loops.Go(func() { n.reader.follow(lifetime, f.name, f.wait, f.pause, f.tracksAge) })
	}
	n.loops.Go(func() { n.register(lifetime) })
	n.loops.Go(func() { n.syncPeers(lifetime) })
	for _, l := range []struct {
		interval time.Duration
		run      func(context.Context)
	}{{heartbeatInterval, func(context.Context) { n.sendHeartbeat(); n.updateRoster() }}, {rolloutControlInterval, n.controlRollouts}, {presenceInterval, n.publishPresence}, {quarantineStoreInterval, n.storeQuarantines}, {pruneInterval, func(context.Context) { n.prune() }}} {
		n.loops.Go(func() { loop.Every(lifetime, l.interval, l.run) })
	}
	n.options.Log.Info("started", zap.String("inner", n.innerAddress), zap.String("callers", n.options.Settings.Callers), zap.String("data_centre", n.options.Settings.DataCentre))
	<-ctx.Done()
	n.stop(lifetime)
}

const (
	// rolloutControlInterval is how often new versions are analyzed and roll-outs
	// advanced. It gives several other nodes a turn to write a status within a second.
	rolloutControlInterval = 150 * time.Millisecond
	// pruneInterval is how often expired state is dropped.
	pruneInterval = 500 * time.Millisecond
)

// prune drops expired state, and passes the load that other nodes published to the
// pool.
func (n *Node) prune() {
	now := time.Now()
	n.reader.recordOutage()
	n.members.prune(now)
	n.closeIdlePeers(now)
	n.servers.dropExpired(now)
	n.evacuations.dropLost(now)
	n.warmups.logChanges(now)
	n.sessions.prune(n.settings.Load().SessionLife, now)
	n.applyRemoteLoad(now)
	n.exportLoad(now)
	n.prefixes.Prune(now)
	if n.permits.roster.Coordinator() == n.innerAddress {
		n.serverLimits.refresh(now)
	}
	for table, ttl := range softTableTTLs {
		oldest := uint64(now.Add(-ttl).UnixMilli())
		n.rows.Forget(table, func(r gossip.Row) bool { return r.Version > oldest })
	}
}

// softRowTTL is how long soft rows are kept that their nodes publish all the time.
const softRowTTL = time.Minute

// softTableTTLs is how long rows of soft tables are kept: suspicions as long as they
// hold, draining servers until their entries are gone, limits until they are published
// again, warm-ups until nodes have the server's entry, evidence longer than any roll-out.
var softTableTTLs = map[string]time.Duration{
	tableHeartbeats: softRowTTL, tableMemberLists: softRowTTL, tableHubHeartbeats: softRowTTL, tableLoads: softRowTTL, tableLoadDetails: softRowTTL, tablePrefixes: softRowTTL, tableSessions: softRowTTL,
	tableSuspects: 10 * time.Minute, tableDraining: 10 * time.Minute, tableLimits: 10 * time.Minute, tableWarmups: 2 * time.Minute, tableEvidence: 24 * time.Hour,
}
