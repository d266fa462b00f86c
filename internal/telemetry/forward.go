package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// ForwardMetrics holds the metrics of the routes of a process. Labels have few
// values: kinds, statuses and causes are fixed in the program.
type ForwardMetrics struct {
	// Registry holds all metrics.
	Registry *prometheus.Registry
	// Requests counts finished requests by kind and status.
	Requests *prometheus.CounterVec
	// RequestTime is the time from arrival to the end of the answer by kind,
	// FirstByteTime the time to its first byte, in seconds.
	RequestTime   *prometheus.HistogramVec
	FirstByteTime *prometheus.HistogramVec
	// AttemptTime is the time from sending to a backend server until the header
	// of its answer arrives or sending fails, by kind and result, in seconds.
	AttemptTime *prometheus.HistogramVec
	// LimitedAttempts counts requests sent to servers whose limit the process
	// knew.
	LimitedAttempts prometheus.Counter
	// ColdAttempts counts requests sent to servers that were cold as far as the process knew.
	ColdAttempts prometheus.Counter
	// Permits counts asks for permits to send to limited servers by result.
	Permits *prometheus.CounterVec
	// Relays counts connections to backend servers through other nodes, and those carried
	// for other nodes, by result.
	Relays *prometheus.CounterVec
	// Refusals counts answers that the router generated itself by status and
	// reason.
	Refusals *prometheus.CounterVec
	// Answers counts answers of models with a larger one by the rank of the route,
	// model and result.
	Answers *prometheus.CounterVec
	// Load is the load of the backend servers.
	Load LoadMetrics
	// StoreCalls counts calls to the platform's store by use and result.
	StoreCalls *prometheus.CounterVec
	// InnerBytes counts the bytes of rows sent to other nodes by table.
	InnerBytes *prometheus.CounterVec
	// DroppedLines counts log lines that were dropped.
	DroppedLines prometheus.Counter
}

// ForwardState holds functions that return the state of a process. They are
// called whenever metrics are collected.
type ForwardState struct {
	// StoreAge is the age of the last data received from the platform's store,
	// in seconds.
	StoreAge func() float64
	// StoreEra counts how often the store was restored from a copy, as far as it says so.
	StoreEra func() float64
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion func() float64
	// Members is the number of live nodes, Servers the number of backend
	// servers in the list.
	Members func() float64
	Servers func() float64
	// LimitedServers is the number of servers whose limit is in force.
	LimitedServers func() float64
	// EvacuatedDataCentres is the number of data centres under evacuation, ColdServers that of
	// servers that are cold and limited for it.
	EvacuatedDataCentres func() float64
	ColdServers          func() float64
	// PermitShare is the part of the servers' limits that the process may grant.
	PermitShare func() float64
	// LoadInterval is the time in seconds between two load rows of a hub, 0 on other nodes.
	LoadInterval func() float64
	// CutLinks is the number of servers that the process reaches only through other
	// nodes, Relayed the number of connections that it carries for others.
	CutLinks func() float64
	Relayed  func() float64
	// Running is the number of requests in progress.
	Running func() float64
	// Quarantined is the number of requests and prompt parts that are refused because
	// they crashed backend servers.
	Quarantined func() float64
}

// RegisterGauges registers gauges for the state of a process.
func (m *ForwardMetrics) RegisterGauges(s ForwardState) {
	f := factory{promauto.With(m.Registry)}
	f.gaugeFunc("route_store_age_seconds", "Age of the news of the platform's store.", s.StoreAge)
	f.gaugeFunc("route_store_era", "Era of the platform's store, which rises when it was restored from a copy.", s.StoreEra)
	f.gaugeFunc("route_config_version", "Version of the configuration in force, 0 if there is none.", s.ConfigVersion)
	f.gaugeFunc("route_members", "Living nodes that this one knows, itself included.", s.Members)
	f.gaugeFunc("route_servers", "Backend servers in the list.", s.Servers)
	f.gaugeFunc("route_servers_limited", "Backend servers that have named a limit of requests per second, as far as this node knows.", s.LimitedServers)
	f.gaugeFunc("route_data_centres_evacuated", "Data centres to whose backend servers nothing is sent, by order of the operator.", s.EvacuatedDataCentres)
	f.gaugeFunc("route_servers_cold", "Backend servers that are cold and get few requests, as far as this node knows.", s.ColdServers)
	f.gaugeFunc("route_permit_share", "Part of the servers' limits that this node may grant, 0 if it is not the coordinator.", s.PermitShare)
	f.gaugeFunc("route_quarantined", "Requests and prompt parts that are refused because they crashed backend servers.", s.Quarantined)
	f.gaugeFunc("route_servers_cut", "Backend servers that this node reaches only through other nodes.", s.CutLinks)
	f.gaugeFunc("route_relayed_connections", "Connections to backend servers that this node carries for other nodes.", s.Relayed)
	f.gaugeFunc("route_load_interval_seconds", "Time between two rows of the load of this hub's data centre, 0 on nodes that are no hub.", s.LoadInterval)
	f.gaugeFunc("route_requests_running", "Requests under way.", s.Running)
}

// NewForwardMetrics returns route metrics in their own registry.
func NewForwardMetrics() *ForwardMetrics {
	reg := prometheus.NewRegistry()
	f := factory{promauto.With(reg)}
	return &ForwardMetrics{
		Registry:        reg,
		Requests:        f.counters("route_requests_total", "Finished requests by kind of route and status.", "kind", "status"),
		RequestTime:     f.histograms("route_request_seconds", "Time from arrival to the end of the answer by kind of route.", requestBuckets, "kind"),
		FirstByteTime:   f.histograms("route_first_byte_seconds", "Time from arrival to the first byte of the answer by kind of route.", requestBuckets, "kind"),
		AttemptTime:     f.histograms("route_attempt_seconds", "Time from a send to a backend server to its header or failure by kind of route and result.", requestBuckets, "kind", "result"),
		LimitedAttempts: f.counter("route_limited_attempts_total", "Requests sent to backend servers that had named a limit."),
		ColdAttempts:    f.counter("route_cold_attempts_total", "Requests sent to backend servers that were cold, as far as this node knew."),
		Permits:         f.counters("route_permits_total", "Asks for permits to send to backend servers that limit their requests, by result.", "result"),
		Relays:          f.counters("route_relays_total", "Connections to backend servers through another node, asked for (opened, refused) and served (carried, denied).", "result"),
		Refusals:        f.counters("route_refusals_total", "Answers of the system's own by status and reason.", "status", "reason"),
		Answers:         f.counters("route_answers_total", "Answers of models with a larger one that were accepted, or dropped for it, by rank of the route and model.", "rank", "model", "result"),
		Load:            newLoadMetrics(f),
		StoreCalls:      f.counters("route_store_calls_total", "Calls of the platform's store by use and result.", "use", "result"),
		InnerBytes:      f.counters("route_row_bytes_total", "Bytes of rows sent to other nodes by table, before rows are compressed together.", "table"),
		DroppedLines:    f.counter("log_lines_dropped_total", "Log lines that were not written since the writer was behind."),
	}
}
