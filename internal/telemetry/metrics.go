package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics holds the metrics of one node. Labels have few values: kinds, codes
// and uses are fixed in the program; ranks, versions, pools and roll-outs are
// those of the configuration.
type Metrics struct {
	// Registry holds all metrics.
	Registry *prometheus.Registry
	// Requests counts finished requests by kind, rank and result: "served" or
	// the code of the refusal.
	Requests *prometheus.CounterVec
	// RequestTime is the time from a request's arrival to the end of its
	// answer by kind and rank, in seconds.
	RequestTime *prometheus.HistogramVec
	// FirstToken is the time to the first token by rank, in seconds.
	FirstToken *prometheus.HistogramVec
	// Tokens counts generated tokens by version.
	Tokens *prometheus.CounterVec
	// QueueTime is the wait at the owner of a replica by rank order and
	// result, in seconds.
	QueueTime *prometheus.HistogramVec
	// Attempts counts calls to backend servers by kind and result: "ok" or
	// the kind of the failure.
	Attempts *prometheus.CounterVec
	// Resumes counts attempts that resumed an answer already begun.
	Resumes prometheus.Counter
	// Preemptions counts streams that this node, as owner, asked to pause.
	Preemptions prometheus.Counter
	// Revision is the configuration revision in force.
	Revision prometheus.Gauge
	// PendingBills is the number of bills that are not yet stored.
	PendingBills prometheus.Gauge
	// StoreCalls counts calls to the platform by use and result, StoreTime is
	// their duration in seconds.
	StoreCalls *prometheus.CounterVec
	StoreTime  *prometheus.HistogramVec
	// InnerBytes counts the bytes sent and received between nodes by direction.
	InnerBytes *prometheus.CounterVec
	// Verdicts counts verdicts of the rating service by version and result.
	Verdicts *prometheus.CounterVec
	// Choices counts choices between versions by the kind of steps chosen:
	// "one", "two" or "explored".
	Choices *prometheus.CounterVec
	// HeldVersions is the number of versions that get no new sessions.
	HeldVersions prometheus.Gauge
	// Snapshots counts written snapshots of learned state by result, TakeOvers
	// snapshots read by a new writer: "ok", "fenced", "unfit" or "unavailable".
	Snapshots *prometheus.CounterVec
	TakeOvers *prometheus.CounterVec
	// Panics counts requests whose handler panicked.
	Panics prometheus.Counter
}

// Buckets of histograms, in seconds.
var (
	requestBuckets = prometheus.ExponentialBuckets(0.005, 2, 16)
	queueBuckets   = prometheus.ExponentialBuckets(0.001, 2, 16)
	storeBuckets   = prometheus.ExponentialBuckets(0.001, 2, 13)
)

// factory creates metrics with the program's prefix in one registry.
type factory struct{ promauto.Factory }

const namespace = "cowslipfall"

func (f factory) counter(name, help string) prometheus.Counter {
	return f.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func (f factory) counters(name, help string, labels ...string) *prometheus.CounterVec {
	return f.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func (f factory) gauge(name, help string) prometheus.Gauge {
	return f.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func (f factory) gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return f.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func (f factory) gaugeFunc(name, help string, value func() float64) {
	f.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value)
}

func (f factory) histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

// NewMetrics returns node metrics in their own registry, together with metrics
// of the process and the Go runtime.
func NewMetrics() *Metrics {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f := factory{promauto.With(reg)}
	return &Metrics{
		Registry:     reg,
		Requests:     f.counters("requests_total", "Finished requests by kind, rank and result.", "kind", "rank", "result"),
		RequestTime:  f.histograms("request_seconds", "Time from arrival to the end of the answer by kind and rank.", requestBuckets, "kind", "rank"),
		FirstToken:   f.histograms("first_token_seconds", "Time to the first token by rank.", requestBuckets, "rank"),
		Tokens:       f.counters("tokens_total", "Generated tokens by version.", "version"),
		QueueTime:    f.histograms("queue_seconds", "Wait at the owner of a replica by rank order and result.", queueBuckets, "order", "result"),
		Attempts:     f.counters("attempts_total", "Calls of backend servers by kind and result.", "kind", "result"),
		Resumes:      f.counter("resumes_total", "Attempts that went on with an answer already begun."),
		Preemptions:  f.counter("preemptions_total", "Streams that this node as owner asked to pause."),
		Revision:     f.gauge("config_revision", "Configuration revision in force."),
		PendingBills: f.gauge("pending_bills", "Bills not yet stored."),
		StoreCalls:   f.counters("store_calls_total", "Calls of the platform by use and result.", "use", "result"),
		StoreTime:    f.histograms("store_call_seconds", "Duration of calls of the platform by use.", storeBuckets, "use"),
		InnerBytes:   f.counters("inner_bytes_total", "Bytes between nodes by direction.", "direction"),
		Verdicts:     f.counters("verdicts_total", "Verdicts of the rating service by version and result.", "version", "result"),
		Choices:      f.counters("version_choices_total", "Choices between versions by their steps.", "steps"),
		HeldVersions: f.gauge("held_versions", "Versions that get no new sessions at present."),
		Snapshots:    f.counters("snapshots_total", "Snapshots of learned state by result.", "result"),
		TakeOvers:    f.counters("snapshot_take_overs_total", "Take-overs of learned state by result.", "result"),
		Panics:       f.counter("panics_total", "Requests whose handler panicked."),
	}
}
