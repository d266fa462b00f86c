package meter

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const callerTrace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func newTelemetry(t *testing.T) (*telemetry.Metrics, *telemetry.Tracer) {
	t.Helper()
	tracer, err := telemetry.NewTracer(t.Context(), config.DefaultSettings())
	is.New(t).NoErr(err)
	return telemetry.NewMetrics(), tracer
}

// counts returns the values of a counter or the sample counts of a histogram,
// keyed by the label values in the order of the label names.
func counts(t *testing.T, m *telemetry.Metrics, name string) map[string]float64 {
	t.Helper()
	families, err := m.Registry.Gather()
	is.New(t).NoErr(err)
	out := map[string]float64{}
	for _, f := range families {
		if f.GetName() != "cowslipfall_"+name {
			continue
		}
		for _, v := range f.GetMetric() {
			out[labels(v)] = v.GetCounter().GetValue() + float64(v.GetHistogram().GetSampleCount())
		}
	}
	return out
}

func labels(m *dto.Metric) string {
	text := ""
	for _, l := range m.GetLabel() {
		text += l.GetValue() + " "
	}
	return text
}

type fakeSlots struct{ trace string }

func (p *fakeSlots) Acquire(_ context.Context, owner string, args wire.AcquireArgs) (wire.AcquireReply, error) {
	p.trace = args.Trace
	if owner == "gone" {
		return wire.AcquireReply{}, wire.ErrPeerUnreachable
	}
	return wire.AcquireReply{Granted: owner == "a", NotOwner: owner == "b"}, nil
}

func (p *fakeSlots) Release(string, wire.ReleaseArgs) {}

func TestOwnerClient(t *testing.T) {
	is := is.New(t)
	m, tracer := newTelemetry(t)
	next := &fakeSlots{}
	p := OwnerClient{Next: next, Metrics: m, Tracer: tracer}
	ctx := telemetry.WithRemoteParent(t.Context(), callerTrace)
	for _, owner := range []string{"a", "b", "c", "gone"} {
		_, _ = p.Acquire(ctx, owner, wire.AcquireArgs{Rank: 1})
	}
	p.Release("a", wire.ReleaseArgs{})
	is.Equal(next.trace, callerTrace) // the owner receives the caller's trace
	is.Equal(counts(t, m, "queue_seconds"), map[string]float64{"1 granted ": 1, "1 not_owner ": 1, "1 refused ": 1, "1 no_answer ": 1})
}

// memoryDialer reaches one engine and one service in memory.
type memoryDialer struct {
	engine  *standin.Engine
	service *standin.Service
}

func (d memoryDialer) Engine(string) backend.Engine   { return d.engine }
func (d memoryDialer) Service(string) backend.Service { return d.service }

func TestDialer(t *testing.T) {
	is := is.New(t)
	m, tracer := newTelemetry(t)
	target := config.Target{Model: "small", Version: "v1"}
	d := Dialer{Next: memoryDialer{standin.NewEngine(standin.EngineOptions{Targets: []config.Target{target}}), standin.NewService("s")}, Metrics: m, Tracer: tracer}
	s, err := d.Engine("x").Generate(t.Context(), backend.GenerateRequest{Attempt: "1", Target: target, Prompt: "p", MaxTokens: 3, Offset: 1})
	is.NoErr(err)
	for {
		f, err := s.Next()
		if f.Final || err != nil {
			is.NoErr(err)
			break
		}
	}
	is.NoErr(s.Close())
	s, err = d.Engine("x").Generate(t.Context(), backend.GenerateRequest{Attempt: "2", Target: target, Prompt: "p", MaxTokens: 3})
	is.NoErr(err)
	is.NoErr(s.Close()) // the node ends it early
	_, err = d.Engine("x").Generate(t.Context(), backend.GenerateRequest{Attempt: "3", Target: config.Target{Model: "other"}, MaxTokens: 3})
	is.True(err != nil)
	_, err = d.Service("x").Do(t.Context(), backend.Call{Method: "GET", Path: "/"})
	is.NoErr(err)
	is.Equal(counts(t, m, "attempts_total"), map[string]float64{"answer ok ": 1, "answer ended ": 1, "answer not_loaded ": 1, "call ok ": 1})
	is.Equal(counts(t, m, "resumes_total"), map[string]float64{"": 1})
}

// unavailablePlatform is a platform whose table does not answer.
type unavailablePlatform struct{ infra.Services }

func (unavailablePlatform) Get(context.Context, string) (infra.Row, error) {
	return infra.Row{}, errors.Wrap(infra.ErrUnavailable, "away")
}

func TestStore(t *testing.T) {
	is := is.New(t)
	m, tracer := newTelemetry(t)
	inner := standin.NewPlatform(standin.PlatformOptions{})
	health := &HealthLog{}
	s := Store{Next: inner, Metrics: m, Tracer: tracer, Health: health}
	ctx := t.Context()
	_, err := s.Get(ctx, "claim/a")
	is.True(errors.Is(err, infra.ErrNotFound))
	_, err = s.Commit(ctx, infra.Op{Key: "claim/a", Expect: 7})
	is.True(errors.Is(err, infra.ErrConflict))
	_, err = s.Commit(ctx, infra.Op{Key: "an organisation's own key", Expect: infra.AnyVersion})
	is.NoErr(err)
	is.Equal(health.Current().FailuresInRow, 0) // a refusal counts as an answer
	unavailable := Store{Next: unavailablePlatform{inner}, Metrics: m, Tracer: tracer, Health: health}
	for range 3 {
		_, _ = unavailable.Get(ctx, "bill/x")
	}
	is.Equal(health.Current().FailuresInRow, 3)
	is.True(health.Current().AnswerAge(time.Now()) >= 0)
	_, err = s.VMs(ctx)
	is.NoErr(err)
	is.Equal(health.Current().FailuresInRow, 0)
	is.Equal(counts(t, m, "store_calls_total"), map[string]float64{
		"not_found claim ": 1, "conflict claim ": 1, "ok other ": 1, "unavailable bill ": 3, "ok vms ": 1,
	})
}

// brokenStream is a stream that fails at once.
type brokenStream struct{}

func (brokenStream) Next() (backend.Frame, error) {
	return backend.Frame{}, &backend.Error{Kind: backend.KindBroken}
}

func (brokenStream) Close() error { return nil }

// A stream that is closed while another goroutine reads it is counted once.
func TestStreamClosedWhileRead(t *testing.T) {
	is := is.New(t)
	m, tracer := newTelemetry(t)
	s := &stream{Stream: brokenStream{}, dialer: Dialer{Metrics: m, Tracer: tracer}}
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = s.Next()
	}()
	is.NoErr(s.Close())
	<-read
	ended := 0.0
	for _, n := range counts(t, m, "attempts_total") {
		ended += n
	}
	is.Equal(ended, 1.0)
}
