package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	pathpkg "path"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

func (g *Gateway) service(w http.ResponseWriter, r *http.Request) {
	req, rank, err := g.parseRequest(r)
	if err != nil {
		g.refuse(w, "service", rank, err)
		return
	}
	name := chi.URLParam(r, "name")
	org := g.Config.Current().Config.Organisations[req.Organisation]
	if org == nil || !slices.Contains(org.Services, name) {
		g.refuse(w, "service", rank, outcome.Refuse(outcome.CodeNotAllowed, 0, "organisation %q may not call service %q: ask its operator", req.Organisation, name))
		return
	}
	path, err := servicePath(r.URL.Path, name)
	if err != nil {
		g.refuse(w, "service", rank, err)
		return
	}
	content, err := readBody(w, r)
	if err != nil {
		g.refuse(w, "service", rank, err)
		return
	}
	call := backend.Call{
		Method: r.Method, Path: path, Query: r.URL.RawQuery, Body: content,
		ContentType: r.Header.Get("Content-Type"), Key: r.Header.Get(backend.HeaderIdempotencyKey),
	}
	if call.Key != "" {
		req.ID = g.requestIDFromKey(req.Organisation, name, &call)
	}
	ctx, span := g.startSpan(r, "service", req)
	w.Header().Set(HeaderRequestID, req.ID)
	start := time.Now()
	reply, err := g.Dispatcher.Call(ctx, &dispatch.CallRequest{Request: *req, Service: name, Call: call})
	span.End(err)
	g.Metrics.RequestTime.WithLabelValues("service", rank).Observe(time.Since(start).Seconds())
	if err != nil {
		g.refuse(w, "service", rank, err)
		return
	}
	g.Metrics.Requests.WithLabelValues("service", rank, "served").Inc()
	w.Header().Set("Content-Type", reply.ContentType)
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

// requestIDFromKey returns the request ID that all tries of one call share. For
// a call that runs at most once, the ID depends on the key only, since the
// call's claim rejects the same key with other content. For other calls it
// depends on key and content, since nothing else tells them apart.
func (g *Gateway) requestIDFromKey(organisation, service string, call *backend.Call) string {
	parts := []string{organisation, service, call.Key}
	s := g.Config.Current().Config.Services[service]
	if s == nil || !dispatch.IsOnceCall(s, call.Method, call.Path) {
		parts = append(parts, call.Method, call.Path, call.Query, string(call.Body))
	}
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(sum[:16])
}

// servicePath returns the path after the service's name in canonical form.
// Other spellings of a path are refused: a backend server might treat such a
// path as that of a call that runs at most once, while the router does not.
func servicePath(path, name string) (string, error) {
	rest := strings.TrimPrefix(path, "/v1/services/"+name)
	trimmed := strings.TrimSuffix(rest, "/")
	if trimmed != "" && pathpkg.Clean(trimmed) != trimmed {
		return "", outcome.Refuse(outcome.CodeBadRequest, 0, "the path %q holds empty or dot segments: send it without them", rest)
	}
	return (&url.URL{Path: rest}).EscapedPath(), nil
}
