package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Limits on requests.
const (
	maxBodyBytes   = 4 << 20
	maxHeaderValue = 256
	maxHeaders     = 64
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
)

// Retry-after times of refusals for which a retry may succeed.
const (
	shutdownRetry = time.Second
	noConfigRetry = time.Second
	bodyRetry     = time.Second
)

// singleHeaders lists the headers that a request may contain only once.
var singleHeaders = []string{HeaderRank, HeaderSession, HeaderCaller, HeaderKind, HeaderDeadline, HeaderRequestID, backend.HeaderIdempotencyKey}

// parseRequest reads from the headers what all kinds of requests have in
// common. It also returns the name of the rank.
func (g *Gateway) parseRequest(r *http.Request) (*dispatch.Request, string, error) {
	name, org, err := g.authenticate(r)
	if err != nil {
		return nil, "", err
	}
	if g.IsRefusing() {
		return nil, "", outcome.Refuse(outcome.CodeShuttingDown, shutdownRetry, "this node is leaving: use another address of /v1/addresses")
	}
	if err := checkHeaders(r.Header); err != nil {
		return nil, "", err
	}
	rank, rankConfig, err := g.rank(r, org)
	if err != nil {
		return nil, "", err
	}
	wait, err := parseDeadline(r, rankConfig.Deadline.Std())
	if err != nil {
		return nil, "", err
	}
	req := &dispatch.Request{
		ID: requestID(r.Context()), Organisation: name, Caller: r.Header.Get(HeaderCaller), Session: r.Header.Get(HeaderSession),
		Rank: rankConfig.Order, Deadline: time.Now().Add(wait),
	}
	g.recordArrival(r, req, rank, wait)
	return req, rank, nil
}

// recordArrival writes the first step of a request's record.
func (g *Gateway) recordArrival(r *http.Request, req *dispatch.Request, rank string, wait time.Duration) {
	if clientID := r.Header.Get(HeaderRequestID); clientIDPattern.MatchString(clientID) {
		g.Dispatcher.Record.Alias(clientID, req.ID)
	}
	g.Dispatcher.Record.Add(req.ID, "taken from organisation %s, rank %s, session %q, deadline %s, revision %d",
		req.Organisation, rank, req.Session, wait, g.Config.Current().Number)
}

// checkHeaders limits the number and the size of the headers.
func checkHeaders(h http.Header) error {
	if len(h) > maxHeaders {
		return outcome.Refuse(outcome.CodeBadRequest, 0, "the request has %d headers: send at most %d", len(h), maxHeaders)
	}
	for _, name := range singleHeaders {
		values := h.Values(name)
		if len(values) > 1 {
			return outcome.Refuse(outcome.CodeBadRequest, 0, "header %s stands %d times: send it once", name, len(values))
		}
		if len(values) == 1 && len(values[0]) > maxHeaderValue {
			return outcome.Refuse(outcome.CodeBadRequest, 0, "header %s is longer than %d bytes: shorten it", name, maxHeaderValue)
		}
	}
	return nil
}

// rank returns the rank that the caller named, or the default rank of its
// organisation.
func (g *Gateway) rank(r *http.Request, org *config.Organisation) (string, *config.Rank, error) {
	name := r.Header.Get(HeaderRank)
	if name == "" {
		name = org.DefaultRank
	}
	rankConfig := g.Config.Current().Config.Ranks[name]
	if rankConfig == nil {
		return "", nil, outcome.Refuse(outcome.CodeBadRequest, 0, "there is no rank %q: correct header %s", name, HeaderRank)
	}
	return name, rankConfig, nil
}

func parseDeadline(r *http.Request, defaultDeadline time.Duration) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	wait := time.Duration(ms) * time.Millisecond
	if err != nil || wait <= 0 || wait > config.MaxDeadline {
		return 0, outcome.Refuse(outcome.CodeBadRequest, 0, "header %s is %q: write milliseconds from 1 to %d", HeaderDeadline, text, config.MaxDeadline.Milliseconds())
	}
	return wait, nil
}

// readBody reads the body of a request within limits of size and time.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	// Connections without support for read deadlines are served without one.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, outcome.Refuse(outcome.CodeTooLarge, 0, "the body is larger than %d bytes: shorten it", maxBodyBytes)
	case err != nil:
		return nil, outcome.Refuse(outcome.CodeBadRequest, bodyRetry, "the body broke off or took longer than %s: send the request again", bodyTimeout)
	}
	_ = control.SetReadDeadline(time.Time{})
	return b, nil
}

// startSpan starts the span of a request, as a child of the caller's span if
// the caller sent one.
func (g *Gateway) startSpan(r *http.Request, name string, req *dispatch.Request) (context.Context, telemetry.Span) {
	ctx, span := g.Tracer.Start(telemetry.WithRemoteParent(r.Context(), r.Header.Get(telemetry.HeaderTraceParent)), name)
	span.SetString("request", req.ID)
	span.SetString("organisation", req.Organisation)
	span.SetInt("rank", req.Rank)
	return ctx, span
}

// Fingerprint returns a hash of the organisation and the content of a request.
func Fingerprint(organisation, content string) uint64 {
	return xxhash.Sum64String(organisation + "\x00" + content)
}
