// Package gateway is the HTTP API for callers: chat completions in the OpenAI
// format, calls to plain services, the directory of node addresses and the
// outcomes of calls.
package gateway

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Headers of the callers' API.
const (
	HeaderRank    = "X-Rank"
	HeaderSession = "X-Session"
	HeaderCaller  = "X-Caller"
	// HeaderKind names the kind of work, such as "inventory".
	HeaderKind     = "X-Kind"
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderRequestID carries the router's request ID in a response. In a
	// request it may carry the caller's own ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderClientRequestID returns the caller's own request ID.
	HeaderClientRequestID = "X-Client-Request-Id"
	// HeaderVersion names the version that answered.
	HeaderVersion = "X-Model-Version"
)

// Options holds the dependencies of the gateway.
type Options struct {
	// Config holds the revision in force, View returns the membership view.
	Config *config.Holder
	View   func() *membership.Snapshot
	// Dispatcher serves chat requests and service calls.
	Dispatcher *dispatch.Dispatcher
	// Claims reports the outcomes of calls that run at most once.
	Claims  *ledger.Claims
	Metrics *telemetry.Metrics
	Tracer  *telemetry.Tracer
	Log     *zap.Logger
	// IsShuttingDown reports whether the node has left the directory while it
	// still serves, IsRefusing whether it refuses new requests.
	IsShuttingDown func() bool
	IsRefusing     func() bool
}

// Gateway serves the callers' API.
type Gateway struct {
	Options
	keys atomic.Pointer[keyIndex]
}

// New returns the HTTP handler for callers.
func New(o Options) http.Handler {
	g := &Gateway{Options: o}
	r := chi.NewRouter()
	r.Use(g.identify, g.recoverPanics, g.closeDuringShutdown)
	r.Get("/v1/addresses", g.addresses)
	r.Get("/v1/models", g.models)
	r.Post("/v1/chat/completions", g.chat)
	r.HandleFunc("/v1/services/{name}/*", g.service)
	r.Get("/v1/outcomes/{service}/{key}", g.outcome)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "live\n") })
	r.Get("/readyz", g.ready)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		g.refuse(w, "other", "", outcome.Refuse(outcome.CodeNotFound, 0, "there is no %s: see docs/callers.md", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		g.refuse(w, "other", "", outcome.Refuse(outcome.CodeMethodNotAllowed, 0, "%s does not take %s: see docs/callers.md", r.URL.Path, r.Method))
	})
	return r
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case g.IsRefusing() || g.IsShuttingDown():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case g.Config.Current().Number == 0:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}
