package forward

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/route"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Versions decides which version of a service's software answers.
type Versions interface {
	// Pick returns the versions that may answer a session.
	Pick(service, session string, now time.Time) Choice
	// Observe takes how an answer of a version went.
	Observe(service, version string, o Observation, now time.Time)
}

// Choice restricts the versions that may answer; its zero value allows all.
type Choice = pool.Versions

// Observation is how one answer went.
type Observation struct {
	// Session is empty for requests without one.
	Session string
	// Bad answers are failures of the server itself.
	Bad bool
	// Latency is the time to the answer or its first event.
	Latency time.Duration
	// Model and Route group answers that can be compared.
	Model string
	Route string
}

// Suspects remembers requests that bring backend servers down.
type Suspects interface {
	Crashed(fingerprint uint64, server string, now time.Time)
	Cleared(fingerprint uint64, now time.Time)
	Convicted(fingerprint uint64, now time.Time) bool
}

// Options are what a Forwarder is made of.
type Options struct {
	Headers    Headers
	DataCentre string
	Table      func() *route.Table
	Pool       *pool.Pool
	Prefixes   *prefix.Index
	Versions   Versions
	Suspects   Suspects
	Budget     *Budget
	Metrics    *telemetry.ForwardMetrics
	Tracer     *telemetry.Tracer
	Log        *zap.Logger
	// Dial opens connections to backend servers; nil stands for TCP.
	Dial Dial
	// OnLeaving is called once for each start of a server that says in an answer
	// that it leaves; nil tells nobody.
	OnLeaving func(pool.Server)
	// Stopping tells that the process leaves: answers close their connection.
	Stopping func() bool
}

// idleKept is how long a connection to a server is kept idle; the shortest
// idle timeout of a server is a few seconds.
const idleKept = 2 * time.Second

// defaultMaxBody bounds a body in bytes where the configuration does not; a
// prompt of 40,000 tokens takes a tenth of it.
const defaultMaxBody = 4 << 20

// Forwarder answers callers' requests by those of backend servers. It is safe
// for concurrent use.
type Forwarder struct {
	o Options
	// kept carries requests that may be repeated, fresh the others: a kept
	// connection may be closed by its server just when a request is sent.
	kept    *http.Transport
	fresh   *http.Transport
	cascade *Cascade
	speeds  *speeds
	sampler telemetry.RequestSampler
	started time.Time
	running atomic.Int64
	held    atomic.Int64 // bytes of plain answers that are held
}

// New returns a forwarder.
func New(o Options) *Forwarder {
	if o.Dial == nil {
		o.Dial = TCP
	}
	if o.OnLeaving == nil {
		o.OnLeaving = func(pool.Server) {}
	}
	return &Forwarder{
		o: o, kept: NewTransport(TransportOptions{IdleTimeout: idleKept, Dial: o.Dial}), fresh: NewTransport(TransportOptions{Fresh: true, Dial: o.Dial}),
		speeds: newSpeeds(), cascade: NewCascade(), started: time.Now(),
	}
}

// modelOf returns a model of a service; an unknown one costs nothing.
func (f *Forwarder) modelOf(service, name string) route.Model {
	if s := f.o.Table().Service(service); s != nil {
		for _, m := range s.Models {
			if m.Name == name {
				return m
			}
		}
	}
	return route.Model{Name: name}
}

// Running returns how many requests are under way.
func (f *Forwarder) Running() int { return int(f.running.Load()) }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	now := time.Now()
	if f.o.Stopping() {
		w.Header().Set("Connection", "close")
	}
	ctx, span := f.o.Tracer.Start(telemetry.Remote(r.Context(), r.Header.Get(telemetry.HeaderTraceParent)), "forward")
	q, refusal := f.accept(w, r, now)
	x := &exchange{f: f, w: w, q: q}
	if refusal != nil {
		x.q = &Request{ID: r.Header.Get(f.o.Headers.RequestID), Arrived: now, Route: &route.Route{}}
		x.refuse(*refusal)
	} else {
		ctx, cancel := context.WithDeadline(ctx, q.Deadline)
		x.serve(ctx)
		cancel()
	}
	f.held.Add(-x.held)
	span.Text("request", x.q.ID)
	span.Text("outcome", x.outcome)
	span.End(nil)
	x.record(now)
	if x.torn {
		// A connection that ends early tells the caller that the answer is cut.
		panic(http.ErrAbortHandler)
	}
}

// accept matches, authorises and reads a request.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*Request, *refusal) {
	table := f.o.Table()
	if table == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", after: returnWhileStarting(now.Sub(f.started))}
	}
	rt, ok := table.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return nil, &refusal{status: http.StatusNotFound, reason: "no route matches"}
	}
	org, ok := table.Authorise(rt, r.Header.Get(f.o.Headers.Key))
	if !ok {
		return nil, &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	if most := table.Limits.MaxHeaderBytes; most > 0 && headerBytes(r) > most {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header is too large"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, cmp.Or(table.Limits.MaxBodyBytes, defaultMaxBody)))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
		}
		return nil, &refusal{status: http.StatusBadRequest, reason: "body was not received whole"}
	}
	q := f.o.Headers.parse(r, rt, org, body, now)
	q.Service, q.TableVersion = rt.Service(rand.Float64()), table.Version
	f.o.Budget.First(q.Service, now)
	if f.o.Suspects.Convicted(q.Fingerprint, now) {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "request brings backend servers down", after: convictedReturn}
	}
	return q, nil
}
