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
	ctx, entry := tracer.Start(Remote(t.Context(), caller), "chat")
	far := Remote(context.Background(), Parent(ctx))
	_, queue := tracer.Start(far, "queue")
	queue.Text("replica", "a")
	queue.End(errors.New("refused"))
	entry.End(nil)
	_, own := tracer.Start(t.Context(), "chat")
	own.End(nil)
	ended := spans.Ended()
	is.Equal(len(ended), 2) // the caller's trace is followed, with ratio 0 no other
	is.Equal(ended[0].Name(), "queue")
	is.Equal(ended[0].Parent().SpanID(), ended[1].SpanContext().SpanID())
	is.Equal(ended[1].Parent().TraceID().String(), caller[3:35])
	is.Equal(ended[0].Status().Code, codes.Error)
	is.NoErr(tracer.Stop(t.Context()))
}

// Without an exporter the caller's context still goes on.
func TestDisabledTracerCarriesContext(t *testing.T) {
	is := is.New(t)
	tracer, err := NewTracer(t.Context(), config.DefaultSettings())
	is.NoErr(err)
	ctx, span := tracer.Start(Remote(t.Context(), caller), "chat")
	span.Text("request", "x")
	span.End(errors.New("x"))
	is.Equal(Parent(ctx), caller)
	is.Equal(Parent(Remote(t.Context(), "nonsense")), "")
	is.Equal(Parent(t.Context()), "")
}

// Spans cost nothing while no exporter is set: no allocation.
func TestDisabledTracerAllocatesNothing(t *testing.T) {
	is := is.New(t)
	tracer, err := NewTracer(t.Context(), config.DefaultSettings())
	is.NoErr(err)
	ctx := t.Context()
	is.Equal(testing.AllocsPerRun(100, func() { hop(ctx, tracer) }), 0.0)
}

func hop(ctx context.Context, tracer *Tracer) {
	ctx, span := tracer.Start(Remote(ctx, ""), "chat")
	span.Text("request", "x")
	span.Number("rank", 1)
	_ = Parent(ctx)
	span.End(nil)
}

func BenchmarkDisabledHop(b *testing.B) {
	tracer, err := NewTracer(b.Context(), config.DefaultSettings())
	is.New(b).NoErr(err)
	ctx := b.Context()
	b.ReportAllocs()
	for b.Loop() {
		hop(ctx, tracer)
	}
}

func TestLogger(t *testing.T) {
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
