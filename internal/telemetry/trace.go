package telemetry

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

const (
	tracerName = "cowslipfall"
	// HeaderTraceParent is the name of the W3C trace context header.
	HeaderTraceParent = "traceparent"
)

// propagator encodes and decodes W3C trace context.
var propagator = propagation.TraceContext{}

// Tracer creates the spans of one node. Without an exporter it only passes the
// caller's trace context on.
type Tracer struct {
	tracer    trace.Tracer
	isEnabled bool
	// Stop flushes and shuts down the exporter.
	Stop func(context.Context) error
}

// NewTracer returns a tracer with the exporter of the settings.
func NewTracer(ctx context.Context, s config.Settings) (*Tracer, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch s.TraceExporter {
	case "stdout":
		exporter, err = stdouttrace.New()
	case "otlp":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.TraceEndpoint))
	default:
		return newDisabledTracer(), nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "trace_exporter")
	}
	return newTracer(s, sdktrace.NewBatchSpanProcessor(exporter)), nil
}

func newDisabledTracer() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer(tracerName), Stop: func(context.Context) error { return nil }}
}

// newTracer samples the settings' share of requests, and all requests that the
// caller traces.
func newTracer(s config.Settings, processor sdktrace.SpanProcessor) *Tracer {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSpanProcessor(processor),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName), attribute.String("service.instance.id", s.ID), attribute.String("data_centre", s.DataCentre))),
	)
	return &Tracer{tracer: provider.Tracer(tracerName), isEnabled: true, Stop: provider.Shutdown}
}

// Start starts a span. Without an exporter it returns ctx and a span that does
// nothing.
func (t *Tracer) Start(ctx context.Context, name string) (context.Context, Span) {
	if !t.isEnabled {
		return ctx, Span{}
	}
	ctx, span := t.tracer.Start(ctx, name)
	return ctx, Span{span}
}

// WithRemoteParent returns ctx with the trace context received from another
// process. An empty or invalid parent leaves ctx unchanged.
func WithRemoteParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{HeaderTraceParent: parent})
}

// TraceParent returns the trace context to send to another process, or "" if there
// is none.
func TraceParent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[HeaderTraceParent]
}

// Span covers one hop of a request. Its zero value does nothing.
type Span struct{ span trace.Span }

// SetString sets a string attribute.
func (s Span) SetString(key, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// SetInt sets an integer attribute.
func (s Span) SetInt(key string, value int) {
	if s.span != nil {
		s.span.SetAttributes(attribute.Int(key, value))
	}
}

// End ends the span. If err is not nil, the span is marked as failed.
func (s Span) End(err error) {
	if s.span == nil {
		return
	}
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}
