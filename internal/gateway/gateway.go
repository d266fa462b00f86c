// Package gateway is the callers' HTTP interface.
package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Headers of the callers' interface.
const (
	HeaderRank      = "X-Rank"
	HeaderSession   = "X-Session"
	HeaderCaller    = "X-Caller"
	HeaderKind      = "X-Kind"
	HeaderDeadline  = "X-Deadline-Ms"
	HeaderRequestID = "X-Request-Id"
	HeaderVersion   = "X-Model-Version"
)

// Bounds of what callers send.
const (
	maxBodyBytes     = 4 << 20
	maxHeaderValue   = 256
	maxDeadline      = 10 * time.Minute
	defaultMaxTokens = 256
	mostTokens       = 8192
)

// Options are what the gateway works with.
type Options struct {
	// Config holds the revision in force, View the nodes.
	Config *config.Holder
	View   func() *membership.Snapshot
	// Dispatcher serves the requests.
	Dispatcher *dispatch.Dispatcher
	Metrics    *telemetry.Metrics
	Tracer     *telemetry.Tracer
	// Leaving tells that the node takes no new requests.
	Leaving func() bool
}

// Gateway answers callers.
type Gateway struct {
	Options
}

// New returns the callers' HTTP handler.
func New(o Options) http.Handler {
	g := &Gateway{Options: o}
	r := chi.NewRouter()
	r.Get("/v1/addresses", g.addresses)
	r.Post("/v1/chat/completions", g.chat)
	r.HandleFunc("/v1/services/{name}/*", g.service)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "live\n") })
	r.Get("/readyz", g.ready)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		g.refuse(w, "other", "", outcome.Refuse(outcome.CodeNotFound, 0, "there is no %s: see docs/callers.md", r.URL.Path))
	})
	return r
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case g.Leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case g.Config.Current().Number == 0:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

// errorBody is the JSON of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         outcome.Code `json:"code"`
	Message      string       `json:"message"`
	Ran          outcome.Ran  `json:"ran"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	StatusPath   string       `json:"status_path,omitempty"`
}

func detail(r *outcome.Refusal) errorBody {
	return errorBody{errorDetail{Code: r.Code, Message: r.Message, Ran: r.Ran, RetryAfterMS: r.RetryAfter.Milliseconds(), StatusPath: r.StatusPath}}
}

// statuses gives the HTTP status of each refusal code.
var statuses = map[outcome.Code]int{
	outcome.CodeBadRequest:       http.StatusBadRequest,
	outcome.CodeUnauthorised:     http.StatusUnauthorized,
	outcome.CodeNotAllowed:       http.StatusForbidden,
	outcome.CodeNotFound:         http.StatusNotFound,
	outcome.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	outcome.CodeOverloaded:       http.StatusTooManyRequests,
	outcome.CodeDeadline:         http.StatusGatewayTimeout,
	outcome.CodeNoBackend:        http.StatusServiceUnavailable,
	outcome.CodeQuietHours:       http.StatusServiceUnavailable,
	outcome.CodeStoreUnavailable: http.StatusServiceUnavailable,
	outcome.CodeConflict:         http.StatusUnprocessableEntity,
	outcome.CodeInProgress:       http.StatusConflict,
	outcome.CodeMayHaveRun:       http.StatusBadGateway,
	outcome.CodeBackendFailed:    http.StatusBadGateway,
	outcome.CodeCrashSuspect:     http.StatusUnprocessableEntity,
	outcome.CodeLeaving:          http.StatusServiceUnavailable,
	outcome.CodeCancelled:        499,
	outcome.CodeInternal:         http.StatusInternalServerError,
}

func (g *Gateway) refuse(w http.ResponseWriter, kind, rank string, err error) {
	r := outcome.AsRefusal(err)
	g.Metrics.Requests.WithLabelValues(kind, rank, string(r.Code)).Inc()
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statuses[r.Code])
	_ = json.NewEncoder(w).Encode(detail(r))
}

// organisation returns whose key the caller sent.
func (g *Gateway) organisation(r *http.Request) (string, *config.Organisation, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", nil, outcome.Refuse(outcome.CodeUnauthorised, 0, "no key: send Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	name, org := g.Config.Current().ByKey(hex.EncodeToString(sum[:]))
	if org == nil {
		return "", nil, outcome.Refuse(outcome.CodeUnauthorised, 0, "the key is not known: ask the operator for a new one")
	}
	return name, org, nil
}

// request reads what is common to all requests from the headers.
func (g *Gateway) request(r *http.Request) (*dispatch.Request, string, error) {
	name, org, err := g.organisation(r)
	if err != nil {
		return nil, "", err
	}
	if g.Leaving() {
		return nil, "", outcome.Refuse(outcome.CodeLeaving, time.Second, "this node is leaving: use another address of /v1/addresses")
	}
	for _, h := range []string{HeaderRank, HeaderSession, HeaderCaller, HeaderKind, backend.HeaderIdempotencyKey} {
		if len(r.Header.Get(h)) > maxHeaderValue {
			return nil, "", outcome.Refuse(outcome.CodeBadRequest, 0, "header %s is longer than %d bytes: shorten it", h, maxHeaderValue)
		}
	}
	rank := r.Header.Get(HeaderRank)
	if rank == "" {
		rank = org.DefaultRank
	}
	ranked := g.Config.Current().Config.Ranks[rank]
	if ranked == nil {
		return nil, "", outcome.Refuse(outcome.CodeBadRequest, 0, "there is no rank %q: correct header %s", rank, HeaderRank)
	}
	wait, err := deadline(r, ranked.Deadline.Std())
	if err != nil {
		return nil, "", err
	}
	req := &dispatch.Request{
		ID: dispatch.NewID(), Organisation: name, Caller: r.Header.Get(HeaderCaller), Session: r.Header.Get(HeaderSession),
		Rank: ranked.Order, Deadline: time.Now().Add(wait),
	}
	return req, rank, nil
}

func deadline(r *http.Request, usual time.Duration) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return usual, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	wait := time.Duration(ms) * time.Millisecond
	if err != nil || wait <= 0 || wait > maxDeadline {
		return 0, outcome.Refuse(outcome.CodeBadRequest, 0, "header %s is %q: write milliseconds from 1 to %d", HeaderDeadline, text, maxDeadline.Milliseconds())
	}
	return wait, nil
}

func body(r *http.Request) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return nil, outcome.Refuse(outcome.CodeBadRequest, 0, "the body broke off: send the request again")
	}
	if len(b) > maxBodyBytes {
		return nil, outcome.Refuse(outcome.CodeTooLarge, 0, "the body is larger than %d bytes: shorten it", maxBodyBytes)
	}
	return b, nil
}

// addressesBody is the directory's answer.
type addressesBody struct {
	Addresses  []membership.Address `json:"addresses"`
	TTLSeconds int                  `json:"ttl_seconds"`
}

func (g *Gateway) addresses(w http.ResponseWriter, r *http.Request) {
	name, _, err := g.organisation(r)
	if err != nil {
		g.refuse(w, "addresses", "", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(addressesBody{
		Addresses:  g.View().Directory(name, r.URL.Query().Get("session")),
		TTLSeconds: int(membership.AddressTTL.Seconds()),
	})
}

// span begins the span of one request.
func (g *Gateway) span(r *http.Request, name string, req *dispatch.Request) (context.Context, trace.Span) {
	ctx := g.Tracer.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return g.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("request", req.ID), attribute.String("organisation", req.Organisation), attribute.Int("rank", req.Rank)))
}

func (g *Gateway) service(w http.ResponseWriter, r *http.Request) {
	req, rank, err := g.request(r)
	if err != nil {
		g.refuse(w, "service", rank, err)
		return
	}
	name := chi.URLParam(r, "name")
	org := g.Config.Current().Config.Organisations[req.Organisation]
	if !contains(org, name) {
		g.refuse(w, "service", rank, outcome.Refuse(outcome.CodeNotAllowed, 0, "organisation %q may not call service %q: ask its operator", req.Organisation, name))
		return
	}
	content, err := body(r)
	if err != nil {
		g.refuse(w, "service", rank, err)
		return
	}
	key := r.Header.Get(backend.HeaderIdempotencyKey)
	if key != "" {
		req.ID = keyedID(req.Organisation, name, key)
	}
	ctx, span := g.span(r, "service", req)
	defer span.End()
	w.Header().Set(HeaderRequestID, req.ID)
	reply, err := g.Dispatcher.Call(ctx, &dispatch.CallRequest{Request: *req, Service: name, Call: backend.Call{
		Method: r.Method, Path: "/" + chi.URLParam(r, "*"), Query: r.URL.RawQuery, Body: content,
		ContentType: r.Header.Get("Content-Type"), Key: key,
	}})
	if err != nil {
		g.refuse(w, "service", rank, err)
		return
	}
	g.Metrics.Requests.WithLabelValues("service", rank, "served").Inc()
	w.Header().Set("Content-Type", reply.ContentType)
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func contains(org *config.Organisation, service string) bool {
	if org == nil {
		return false
	}
	for _, s := range org.Services {
		if s == service {
			return true
		}
	}
	return false
}

// keyedID returns the identity that all tries of one call share.
func keyedID(organisation, service, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// Fingerprint identifies organisation and content.
func Fingerprint(organisation, content string) uint64 {
	return xxhash.Sum64String(organisation + "\x00" + content)
}

var errCallerGone = errors.New("the caller has gone")
