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

// Bounds of what callers send.
const (
	maxBodyBytes   = 4 << 20
	maxHeaderValue = 256
	maxHeaders     = 64
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
)

// Come-back times of refusals that another try can mend.
const (
	leavingRetry = time.Second
	startRetry   = time.Second
	bodyRetry    = time.Second
)

// singleHeaders are those that may stand once in a request.
var singleHeaders = []string{HeaderRank, HeaderSession, HeaderCaller, HeaderKind, HeaderDeadline, HeaderRequestID, backend.HeaderIdempotencyKey}

// request reads what is common to all requests from the headers.
func (g *Gateway) request(r *http.Request) (*dispatch.Request, string, error) {
	name, org, err := g.organisation(r)
	if err != nil {
		return nil, "", err
	}
	if g.Leaving() {
		return nil, "", outcome.Refuse(outcome.CodeLeaving, leavingRetry, "this node is leaving: use another address of /v1/addresses")
	}
	if err := checkHeaders(r.Header); err != nil {
		return nil, "", err
	}
	rank, ranked, err := g.rank(r, org)
	if err != nil {
		return nil, "", err
	}
	wait, err := deadline(r, ranked.Deadline.Std())
	if err != nil {
		return nil, "", err
	}
	req := &dispatch.Request{
		ID: requestID(r.Context()), Organisation: name, Caller: r.Header.Get(HeaderCaller), Session: r.Header.Get(HeaderSession),
		Rank: ranked.Order, Deadline: time.Now().Add(wait),
	}
	g.note(r, req, rank, wait)
	return req, rank, nil
}

// note begins the record of a request.
func (g *Gateway) note(r *http.Request, req *dispatch.Request, rank string, wait time.Duration) {
	if own := r.Header.Get(HeaderRequestID); clientIDPattern.MatchString(own) {
		g.Dispatcher.Record.Alias(own, req.ID)
	}
	g.Dispatcher.Record.Add(req.ID, "taken from organisation %s, rank %s, session %q, deadline %s, revision %d",
		req.Organisation, rank, req.Session, wait, g.Config.Current().Number)
}

// checkHeaders bounds the number and the size of the headers.
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

// rank returns the rank that the caller named, or its organisation's own.
func (g *Gateway) rank(r *http.Request, org *config.Organisation) (string, *config.Rank, error) {
	name := r.Header.Get(HeaderRank)
	if name == "" {
		name = org.DefaultRank
	}
	ranked := g.Config.Current().Config.Ranks[name]
	if ranked == nil {
		return "", nil, outcome.Refuse(outcome.CodeBadRequest, 0, "there is no rank %q: correct header %s", name, HeaderRank)
	}
	return name, ranked, nil
}

func deadline(r *http.Request, usual time.Duration) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return usual, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	wait := time.Duration(ms) * time.Millisecond
	if err != nil || wait <= 0 || wait > config.MaxDeadline {
		return 0, outcome.Refuse(outcome.CodeBadRequest, 0, "header %s is %q: write milliseconds from 1 to %d", HeaderDeadline, text, config.MaxDeadline.Milliseconds())
	}
	return wait, nil
}

// body reads a request's content within its bounds of size and time.
func body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	// A connection that cannot bound its reads is served without the bound.
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

// span begins the span of one request, under its caller's if it sent one.
func (g *Gateway) span(r *http.Request, name string, req *dispatch.Request) (context.Context, telemetry.Span) {
	ctx, span := g.Tracer.Start(telemetry.Remote(r.Context(), r.Header.Get(telemetry.HeaderTraceParent)), name)
	span.Text("request", req.ID)
	span.Text("organisation", req.Organisation)
	span.Number("rank", req.Rank)
	return ctx, span
}

// Fingerprint identifies organisation and content.
func Fingerprint(organisation, content string) uint64 {
	return xxhash.Sum64String(organisation + "\x00" + content)
}
