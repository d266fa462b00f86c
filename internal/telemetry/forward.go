package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// ForwardMetrics count what the routes of a process did. Labels take few
// values: kinds, statuses and causes are fixed in the program.
type ForwardMetrics struct {
	// Registry holds them all.
	Registry *prometheus.Registry
	// Requests counts finished requests by kind and status.
	Requests *prometheus.CounterVec
	// RequestTime is the time to the end of an answer by kind, FirstByteTime
	// that to its first byte, in seconds.
	RequestTime   *prometheus.HistogramVec
	FirstByteTime *prometheus.HistogramVec
	// AttemptTime is the time from the send to a backend server to the header of
	// its answer, or to the failure of the send, by kind and result, in seconds.
	AttemptTime *prometheus.HistogramVec
	// Refusals counts answers of the system's own by status and reason.
	Refusals *prometheus.CounterVec
	// StoreCalls counts calls of the platform's store by use and result.
	StoreCalls *prometheus.CounterVec
	// DroppedLines counts log lines that were not written.
	DroppedLines prometheus.Counter
}

// ForwardState is what a process believes, read whenever metrics are served.
type ForwardState struct {
	// StoreAge is the age of the news of the platform's store in seconds.
	StoreAge func() float64
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion func() float64
	// Members and Servers are the living nodes and the listed backend servers.
	Members func() float64
	Servers func() float64
	// Running is the number of requests under way.
	Running func() float64
}

// Observe registers gauges of a process's state.
func (m *ForwardMetrics) Observe(s ForwardState) {
	f := factory{promauto.With(m.Registry)}
	f.gaugeFunc("route_store_age_seconds", "Age of the news of the platform's store.", s.StoreAge)
	f.gaugeFunc("route_config_version", "Version of the configuration in force, 0 if there is none.", s.ConfigVersion)
	f.gaugeFunc("route_members", "Living nodes that this one knows, itself included.", s.Members)
	f.gaugeFunc("route_servers", "Backend servers in the list.", s.Servers)
	f.gaugeFunc("route_requests_running", "Requests under way.", s.Running)
}

// NewForwardMetrics returns metrics in a registry of their own.
func NewForwardMetrics() *ForwardMetrics {
	reg := prometheus.NewRegistry()
	f := factory{promauto.With(reg)}
	return &ForwardMetrics{
		Registry:      reg,
		Requests:      f.counters("route_requests_total", "Finished requests by kind of route and status.", "kind", "status"),
		RequestTime:   f.histograms("route_request_seconds", "Time from arrival to the end of the answer by kind of route.", requestBuckets, "kind"),
		FirstByteTime: f.histograms("route_first_byte_seconds", "Time from arrival to the first byte of the answer by kind of route.", requestBuckets, "kind"),
		AttemptTime:   f.histograms("route_attempt_seconds", "Time from a send to a backend server to its header or failure by kind of route and result.", requestBuckets, "kind", "result"),
		Refusals:      f.counters("route_refusals_total", "Answers of the system's own by status and reason.", "status", "reason"),
		StoreCalls:    f.counters("route_store_calls_total", "Calls of the platform's store by use and result.", "use", "result"),
		DroppedLines:  f.counter("log_lines_dropped_total", "Log lines that were not written since the writer was behind."),
	}
}
