package meter

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Results and kinds of calls to backend servers.
const (
	resultOK    = "ok"
	resultEnded = "ended" // by the node: the caller disconnected, or the stream was paused
	kindAnswer  = "answer"
	kindCall    = "call"
)

// Dialer counts and traces the calls to backend servers.
type Dialer struct {
	Next    backend.Dialer
	Metrics *telemetry.Metrics
	Tracer  *telemetry.Tracer
}

var _ backend.Dialer = Dialer{}

// Engine implements backend.Dialer.
func (d Dialer) Engine(address string) backend.Engine {
	return engine{Engine: d.Next.Engine(address), address: address, dialer: d}
}

// Service implements backend.Dialer.
func (d Dialer) Service(address string) backend.Service {
	return service{Service: d.Next.Service(address), address: address, dialer: d}
}

// countResult counts a finished call.
func (d Dialer) countResult(kind string, err error) {
	result := resultOK
	var typed *backend.Error
	switch {
	case errors.Is(err, context.Canceled):
		result = resultEnded
	case errors.As(err, &typed):
		result = string(typed.Kind)
	case err != nil:
		result = string(backend.KindBroken)
	}
	d.Metrics.Attempts.WithLabelValues(kind, result).Inc()
}

type engine struct {
	backend.Engine
	address string
	dialer  Dialer
}

// Generate implements backend.Engine.
func (e engine) Generate(ctx context.Context, req backend.GenerateRequest) (backend.Stream, error) {
	ctx, span := e.dialer.Tracer.Start(ctx, kindAnswer)
	span.SetString("address", e.address)
	span.SetString("attempt", req.Attempt)
	span.SetString("version", req.Target.String())
	span.SetInt("offset", req.Offset)
	if req.Offset > 0 {
		e.dialer.Metrics.Resumes.Inc()
	}
	s, err := e.Engine.Generate(ctx, req)
	if err != nil {
		span.End(err)
		e.dialer.countResult(kindAnswer, err)
		return nil, err
	}
	return &stream{Stream: s, span: span, dialer: e.dialer}, nil
}

// stream records how an answer ended, once: Close may be called while Next
// waits.
type stream struct {
	backend.Stream
	span   telemetry.Span
	dialer Dialer
	once   sync.Once
}

// Next implements backend.Stream.
func (s *stream) Next() (backend.Frame, error) {
	f, err := s.Stream.Next()
	switch {
	case errors.Is(err, io.EOF):
	case err != nil:
		s.end(err)
	case f.Final:
		s.end(nil)
	}
	return f, err
}

// Close implements backend.Stream.
func (s *stream) Close() error {
	s.end(context.Canceled)
	return s.Stream.Close()
}

func (s *stream) end(err error) {
	s.once.Do(func() {
		s.span.End(err)
		s.dialer.countResult(kindAnswer, err)
	})
}

type service struct {
	backend.Service
	address string
	dialer  Dialer
}

// Do implements backend.Service.
func (s service) Do(ctx context.Context, call backend.Call) (backend.Reply, error) {
	ctx, span := s.dialer.Tracer.Start(ctx, kindCall)
	span.SetString("address", s.address)
	reply, err := s.Service.Do(ctx, call)
	span.End(err)
	s.dialer.countResult(kindCall, err)
	return reply, err
}
