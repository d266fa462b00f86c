package telemetry

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

const caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func TestSpansFollowCaller(t *testing.T) {
	is := is.New(t)
	spans := tracetest.NewSpanRecorder()
	s := config.DefaultSettings()
	s.TraceRatio = 0
	tracer := newTracer(s, spans)
	ctx, entry := tracer.Start(WithRemoteParent(t.Context(), caller), "chat")
	remoteCtx := WithRemoteParent(context.Background(), TraceParent(ctx))
	_, queue := tracer.Start(remoteCtx, "queue")
	queue.SetString("replica", "a")
	queue.End(errors.New("refused"))
	entry.End(nil)
	_, untraced := tracer.Start(t.Context(), "chat")
	untraced.End(nil)
	ended := spans.Ended()
	is.Equal(len(ended), 2) // only the caller's trace is sampled, since the ratio is 0
	is.Equal(ended[0].Name(), "queue")
	is.Equal(ended[0].Parent().SpanID(), ended[1].SpanContext().SpanID())
	is.Equal(ended[1].Parent().TraceID().String(), caller[3:35])
	is.Equal(ended[0].Status().Code, codes.Error)
	is.NoErr(tracer.Stop(t.Context()))
}

// Without an exporter the caller's trace context must still be passed on.
func TestDisabledTracerCarriesContext(t *testing.T) {
	is := is.New(t)
	tracer, err := NewTracer(t.Context(), config.DefaultSettings())
	is.NoErr(err)
	ctx, span := tracer.Start(WithRemoteParent(t.Context(), caller), "chat")
	span.SetString("request", "x")
	span.End(errors.New("x"))
	is.Equal(TraceParent(ctx), caller)
	is.Equal(TraceParent(WithRemoteParent(t.Context(), "nonsense")), "")
	is.Equal(TraceParent(t.Context()), "")
}

// Without an exporter a span must cause no allocation.
func TestDisabledTracerAllocatesNothing(t *testing.T) {
	is := is.New(t)
	tracer, err := NewTracer(t.Context(), config.DefaultSettings())
	is.NoErr(err)
	ctx := t.Context()
	is.Equal(testing.AllocsPerRun(100, func() { traceHop(ctx, tracer) }), 0.0)
}

func traceHop(ctx context.Context, tracer *Tracer) {
	ctx, span := tracer.Start(WithRemoteParent(ctx, ""), "chat")
	span.SetString("request", "x")
	span.SetInt("rank", 1)
	_ = TraceParent(ctx)
	span.End(nil)
}

func BenchmarkDisabledHop(b *testing.B) {
	tracer, err := NewTracer(b.Context(), config.DefaultSettings())
	is.New(b).NoErr(err)
	ctx := b.Context()
	b.ReportAllocs()
	for b.Loop() {
		traceHop(ctx, tracer)
	}
}

func TestLoggerFollowsSettings(t *testing.T) {
	is := is.New(t)
	for _, format := range []string{"json", "console"} {
		s := config.DefaultSettings()
		s.LogFormat = format
		s.LogLevel = "warn"
		log, err := NewLogger(s)
		is.NoErr(err)
		is.Equal(log.Level().String(), "warn")
	}
	_, err := NewLogger(config.Settings{LogLevel: "loud"})
	is.True(err != nil)
}
