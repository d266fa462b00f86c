package forward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/route"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Versions selects the software versions that may serve a request.
type Versions interface {
	// Pick returns the versions that may serve a session.
	Pick(service, session string, now time.Time) Choice
	// Observe records the result of an answer of a version.
	Observe(service, version string, o Observation, now time.Time)
}

// Choice restricts the versions that may serve a request. The zero value allows
// all.
type Choice = pool.Versions

// Observation is the result of one answer.
type Observation struct {
	// Session is empty for requests without a session.
	Session string
	// Bad is set if the server itself failed.
	Bad bool
	// Latency is the time to the answer or its first event.
	Latency time.Duration
	// Model and Route group comparable answers.
	Model string
	Route string
}

// Suspects tracks requests and prompt parts that crash backend servers. Prompt parts are
// named by their IDs; the last part of a prompt is never among them.
type Suspects interface {
	// Crashed records that a server crashed that had run the request for some time. isStarting
	// is set if it had hardly begun to answer, which makes the request's parts suspects.
	Crashed(fingerprint uint64, parts []string, isStarting bool, server string, running time.Duration, now time.Time)
	// Survived records that a server runs a request with these parts well past its start.
	// It may be called again for the same request.
	Survived(fingerprint uint64, parts []string, now time.Time)
	// IsSuspected reports whether one of the parts is suspected.
	IsSuspected(parts []string) bool
	// BeginTrial asks to send a request with these parts. Requests with a suspected part
	// are sent one after the other. The request may be sent if wait is 0; end is then
	// called once its server has answered or failed. Otherwise it asks again after wait.
	BeginTrial(parts []string, now time.Time) (end func(), wait time.Duration)
	// Cleared records that the request ran to its end.
	Cleared(fingerprint uint64, parts []string, now time.Time)
	// IsQuarantined reports whether the request or one of its parts is quarantined.
	IsQuarantined(fingerprint uint64, parts []string, now time.Time) bool
}

// Permits grants requests to servers that limit their rate.
type Permits interface {
	// Acquire asks for a permit to send one request at once.
	Acquire(ctx context.Context, q permit.Request) permit.Reply
}

// localPermits grants permits of a single node.
type localPermits struct{ *permit.Coordinator }

// Acquire implements Permits.
func (p localPermits) Acquire(_ context.Context, q permit.Request) permit.Reply {
	return p.Coordinator.Acquire(q, time.Now())
}

// Options are the settings and dependencies of a Forwarder.
type Options struct {
	Headers    Headers
	DataCentre string
	Table      func() *route.Table
	Pool       *pool.Pool
	Prefixes   *prefix.Index
	Versions   Versions
	Suspects   Suspects
	Budget     *Budget
	// Permits grants requests to limited servers. Nil grants the whole limit to this
	// node.
	Permits Permits
	// FleetSize returns the number of nodes that send to the servers. Nil means one.
	FleetSize func() int
	Metrics   *telemetry.ForwardMetrics
	Tracer    *telemetry.Tracer
	Log       *zap.Logger
	// Memory is that of the VM in bytes, 0 if it is not known.
	Memory int64
	// Dial opens connections to backend servers. Nil means TCP.
	Dial Dial
	// Relay opens connections to backend servers through another node, for servers that
	// this node does not reach. Nil if there is none.
	Relay Dial
	// OnDraining is called once for each incarnation of a server that announces
	// in an answer that it is draining. It may be nil.
	OnDraining func(pool.Server)
	// OnLimit is called when a server's answer changes its limit, in requests per
	// second or permit.NoLimit. It may be nil.
	OnLimit func(s pool.Server, limit float64)
	// OnCold is called when a server's answer says that it is cold for another time left than
	// was known, or when there is no process at a server's address, with isLost set. It may
	// be nil.
	OnCold func(s pool.Server, left time.Duration, isLost bool)
	// ShuttingDown reports whether the process is shutting down. Answers then close
	// their connections.
	ShuttingDown func() bool
	// StopsAt returns when the requests in progress must have ended because the process
	// is shutting down, the zero time if it is not. Nil if that is not known.
	StopsAt func() time.Time
}

// idleTimeout is how long an idle connection to a server is kept. The shortest
// idle timeout of a server is a few seconds.
const idleTimeout = 2 * time.Second

// defaultMaxBody bounds a request body in bytes if the configuration sets no
// limit. A prompt of 40,000 tokens takes a tenth of it.
const defaultMaxBody = 4 << 20

// Forwarder forwards callers' requests to backend servers. It is safe for
// concurrent use.
type Forwarder struct {
	opts Options
	// reusingTransport carries requests that may be repeated,
	// singleUseTransport the others, and those that are sent to a server again.
	// A server may close a reused connection while a request is being sent.
	reusingTransport   *http.Transport
	singleUseTransport *http.Transport
	// relayTransport carries requests to servers whose link is cut.
	relayTransport *http.Transport
	links          *links
	cascade        *Cascade
	readSpeeds     *readSpeeds
	sampler        telemetry.RequestSampler
	started        time.Time
	running        atomic.Int64
	memory         *heldMemory
	starting       startingStreams
	durations      durations
	// lifetime ends when the requests in progress are interrupted.
	lifetime  context.Context
	interrupt context.CancelFunc
}

// New returns a forwarder.
func New(o Options) *Forwarder {
	if o.Dial == nil {
		o.Dial = TCP
	}
	if o.OnDraining == nil {
		o.OnDraining = func(pool.Server) {}
	}
	if o.OnLimit == nil {
		o.OnLimit = func(pool.Server, float64) {}
	}
	if o.OnCold == nil {
		o.OnCold = func(pool.Server, time.Duration, bool) {}
	}
	if o.Permits == nil {
		o.Permits = localPermits{permit.NewCoordinator(func(time.Time) (float64, time.Duration) { return 1, 0 })}
	}
	if o.FleetSize == nil {
		o.FleetSize = func() int { return 1 }
	}
	if o.StopsAt == nil {
		o.StopsAt = func() time.Time { return time.Time{} }
	}
	lifetime, interrupt := context.WithCancel(context.Background())
	l := newLinks(o.Dial, o.Relay, func(address string, isCut bool) {
		o.Log.Info("link to backend server", zap.String("address", address), zap.Bool("cut", isCut))
	})
	return &Forwarder{
		opts: o, links: l, lifetime: lifetime, interrupt: interrupt, reusingTransport: NewTransport(TransportOptions{IdleTimeout: idleTimeout, Dial: l.dial}), singleUseTransport: NewTransport(TransportOptions{SingleUse: true, Dial: l.dial}),
		relayTransport: NewTransport(TransportOptions{SingleUse: true, Dial: l.dialCut}),
		memory:         newHeldMemory(o.Memory),
		readSpeeds:     newReadSpeeds(), cascade: NewCascade(), started: time.Now(),
	}
}

// model returns a model of a service. An unknown model has no cost.
func (f *Forwarder) model(service, name string) route.Model {
	if s := f.opts.Table().Service(service); s != nil {
		for _, m := range s.Models {
			if m.Name == name {
				return m
			}
		}
	}
	return route.Model{Name: name}
}

// Running returns the number of requests in progress.
func (f *Forwarder) Running() int { return int(f.running.Load()) }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	now := time.Now()
	if f.opts.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	ctx, span := f.opts.Tracer.Start(telemetry.WithRemoteParent(r.Context(), r.Header.Get(telemetry.HeaderTraceParent)), "forward")
	x := &exchange{f: f, w: w, req: &Request{ID: r.Header.Get(f.opts.Headers.RequestID), Arrived: now, Route: &route.Route{}}}
	x.run(ctx, r)
	x.releaseMemory()
	span.SetString("request", x.req.ID)
	span.SetString("outcome", x.outcome)
	span.End(nil)
	x.recordOutcome(now)
	if x.truncated {
		abort(w, r)
	}
}

// abort ends the connection so that the caller sees that its answer is truncated.
// An answer to HTTP/1.0 ends with its connection, so that only a reset shows it.
func abort(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// accept matches, authorises and reads a request, whose body held counts. It returns a refusal
// if the request is not to be forwarded.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, now time.Time, held *hold) (*Request, *refusal) {
	table := f.opts.Table()
	if table == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: retryAfterWhileStarting(now.Sub(f.started))}
	}
	rt, ok := table.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return nil, &refusal{status: http.StatusNotFound, reason: "no route matches"}
	}
	if !canForward(requestURI(r)) {
		return nil, &refusal{status: http.StatusBadRequest, reason: "path has characters that must be percent-encoded"}
	}
	org, ok := table.Authorise(rt, r.Header.Get(f.opts.Headers.Key))
	if !ok {
		return nil, &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	if limit := table.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header is too large"}
	}
	service := rt.ChooseService(rand.Float64())
	held.memory, held.source, held.waits = f.memory, heldSource{service, organisationName(org)}, true
	body, err := held.readAll(r.Context(), http.MaxBytesReader(w, r.Body, cmp.Or(table.Limits.MaxBodyBytes, defaultMaxBody)), r.ContentLength)
	if err != nil {
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
		case errors.Is(err, errNoRoom):
			return nil, &refusal{status: http.StatusServiceUnavailable, reason: "too many long bodies", retryAfter: maxRoomWait}
		}
		return nil, &refusal{status: http.StatusBadRequest, reason: "body was not received whole"}
	}
	req := f.opts.Headers.parse(r, rt, org, body, now)
	req.Service, req.TableVersion = service, table.Version
	f.opts.Budget.CountRequest(req.Service, now)
	if f.isQuarantined(req) {
		return nil, &quarantineRefusal
	}
	if end := f.opts.StopsAt(); !end.IsZero() && !f.canEnd(req, end, time.Now()) {
		return nil, &stoppingRefusal
	}
	return req, nil
}
