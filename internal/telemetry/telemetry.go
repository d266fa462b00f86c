// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"context"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

const tracerName = "cowslipfall"

// NewLogger returns a logger for the settings' level and format.
func NewLogger(s config.Settings) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	if s.LogFormat == "console" {
		c = zap.NewDevelopmentConfig()
	}
	level, err := zap.ParseAtomicLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	c.Level = level
	log, err := c.Build()
	return log.With(zap.String("node", s.ID)), errors.Wrap(err, "build logger")
}

// Metrics are the counters of one node.
type Metrics struct {
	// Registry holds them all.
	Registry *prometheus.Registry
	// Requests counts finished requests by kind, rank and result.
	Requests *prometheus.CounterVec
	// FirstToken is the time to the first token by rank, in seconds.
	FirstToken *prometheus.HistogramVec
	// Tokens counts generated tokens by version.
	Tokens *prometheus.CounterVec
	// Revision is the configuration revision in force.
	Revision prometheus.Gauge
	// PendingBills is the number of bills not yet stored.
	PendingBills prometheus.Gauge
	// Verdicts counts verdicts of the rating service by version and result.
	Verdicts *prometheus.CounterVec
	// Choices counts choices between versions by their steps: "one", "two",
	// or "explored".
	Choices *prometheus.CounterVec
	// HeldVersions is the number of versions that get no new sessions.
	HeldVersions prometheus.Gauge
	// StoreCalls counts calls of the platform by use and result.
	StoreCalls *prometheus.CounterVec
	// Panics counts requests whose handler panicked.
	Panics prometheus.Counter
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	reg := prometheus.NewRegistry()
	f := promauto.With(reg)
	return &Metrics{
		Registry:     reg,
		Requests:     f.NewCounterVec(prometheus.CounterOpts{Name: "cowslipfall_requests_total", Help: "Finished requests by kind, rank and result."}, []string{"kind", "rank", "result"}),
		FirstToken:   f.NewHistogramVec(prometheus.HistogramOpts{Name: "cowslipfall_first_token_seconds", Help: "Time to the first token by rank.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}, []string{"rank"}),
		Tokens:       f.NewCounterVec(prometheus.CounterOpts{Name: "cowslipfall_tokens_total", Help: "Generated tokens by version."}, []string{"version"}),
		Revision:     f.NewGauge(prometheus.GaugeOpts{Name: "cowslipfall_config_revision", Help: "Configuration revision in force."}),
		PendingBills: f.NewGauge(prometheus.GaugeOpts{Name: "cowslipfall_pending_bills", Help: "Bills not yet stored."}),
		Verdicts:     f.NewCounterVec(prometheus.CounterOpts{Name: "cowslipfall_verdicts_total", Help: "Verdicts of the rating service by version and result."}, []string{"version", "result"}),
		Choices:      f.NewCounterVec(prometheus.CounterOpts{Name: "cowslipfall_version_choices_total", Help: "Choices between versions by their steps."}, []string{"steps"}),
		HeldVersions: f.NewGauge(prometheus.GaugeOpts{Name: "cowslipfall_held_versions", Help: "Versions that get no new sessions at present."}),
		StoreCalls:   f.NewCounterVec(prometheus.CounterOpts{Name: "cowslipfall_store_calls_total", Help: "Calls of the platform by use and result."}, []string{"use", "result"}),
		Panics:       f.NewCounter(prometheus.CounterOpts{Name: "cowslipfall_panics_total", Help: "Requests whose handler panicked."}),
	}
}

// Tracer makes spans and carries their context across hops.
type Tracer struct {
	trace.Tracer
	// Propagator reads and writes W3C trace context.
	Propagator propagation.TextMapPropagator
	// Stop flushes and ends the exporter.
	Stop func(context.Context) error
}

// NewTracer returns a tracer for the settings' exporter.
func NewTracer(ctx context.Context, s config.Settings) (*Tracer, error) {
	t := &Tracer{Propagator: propagation.TraceContext{}, Stop: func(context.Context) error { return nil }}
	var exporter sdktrace.SpanExporter
	var err error
	switch s.TraceExporter {
	case "stdout":
		exporter, err = stdouttrace.New()
	case "otlp":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.TraceEndpoint))
	default:
		t.Tracer = noop.NewTracerProvider().Tracer(tracerName)
		return t, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "trace_exporter")
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	t.Tracer = provider.Tracer(tracerName)
	t.Stop = provider.Shutdown
	return t, nil
}
