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
	// StoreCalls counts calls of the platform's store by use and result.
	StoreCalls *prometheus.CounterVec
	// DroppedLines counts log lines that were not written.
	DroppedLines prometheus.Counter
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
		StoreCalls:    f.counters("route_store_calls_total", "Calls of the platform's store by use and result.", "use", "result"),
		DroppedLines:  f.counter("log_lines_dropped_total", "Log lines that were not written since the writer was behind."),
	}
}
