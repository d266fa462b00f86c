package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Request is a caller's request, read whole and matched to its route.
type Request struct {
	ID           string
	Route        *route.Route
	Service      string
	Organisation *route.Organisation
	Method       string
	URI          string
	Host         string
	Header       http.Header
	Body         []byte
	// Arrived is when it was read, Deadline when its caller or its route gives
	// up on it.
	Arrived  time.Time
	Deadline time.Time
	// CallerDeadline is when the caller gives up.
	CallerDeadline time.Time
	// PromptTokens and OutputTokens are zero for plain requests.
	PromptTokens float64
	OutputTokens float64
	// ExpectedTokens is the caller's estimate of the output.
	ExpectedTokens float64
	// Subject is the last part of the prompt that other requests share.
	Subject string
	// sharedTokens are those of the parts that other requests share.
	sharedTokens float64
	// heads are these parts, from the beginning of the prompt.
	heads []promptPart
	// Session is empty for requests without one.
	Session string
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// Fingerprint identifies requests of the same caller, path and content.
	Fingerprint uint64
	// TableVersion is the configuration that matched it.
	TableVersion int64
}

// defaultTimeLeft stands for a caller that names no time; a minute is longer
// than any route's own.
const defaultTimeLeft = time.Minute

// parse reads what the headers tell.
func (n *Headers) parse(r *http.Request, rt *route.Route, org *route.Organisation, body []byte, now time.Time) *Request {
	q := &Request{
		ID: r.Header.Get(n.RequestID), Route: rt, Organisation: org, Method: r.Method, URI: requestURI(r), Host: r.Host,
		Header: r.Header, Body: body, Arrived: now, Rank: rt.Rank,
	}
	if org != nil && org.Rank != nil {
		q.Rank = *org.Rank
	}
	left := defaultTimeLeft
	if ms, err := strconv.ParseFloat(r.Header.Get(n.TimeLeft), 64); err == nil && ms > 0 {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	q.CallerDeadline = now.Add(left)
	q.Deadline = q.CallerDeadline
	if rt.Timeout > 0 && rt.Timeout < left {
		q.Deadline = now.Add(rt.Timeout)
	}
	in, out, _ := strings.Cut(r.Header.Get(n.Tokens), ",")
	q.PromptTokens, _ = strconv.ParseFloat(strings.TrimSpace(in), 64)
	q.OutputTokens, _ = strconv.ParseFloat(strings.TrimSpace(out), 64)
	q.ExpectedTokens = q.OutputTokens
	if hint, err := strconv.ParseFloat(r.Header.Get(n.LengthHint), 64); err == nil && hint > 0 {
		q.ExpectedTokens = min(hint, q.OutputTokens)
	}
	q.Subject, q.heads = promptParts(r.Header.Get(n.Prompt))
	for _, h := range q.heads {
		q.sharedTokens += h.tokens
	}
	q.Session = r.Header.Get(n.Session)
	q.Fingerprint = fingerprint(q)
	return q
}

// promptPart is a part of a prompt that other requests share.
type promptPart struct {
	id     string
	tokens float64
}

// promptParts returns the identity of the last part of a prompt that other
// requests share, and all such parts. The last part is the request's own.
func promptParts(list string) (subject string, shared []promptPart) {
	parts := strings.Split(list, ",")
	for i, part := range parts {
		id, count, _ := strings.Cut(strings.TrimSpace(part), ":")
		if i == 0 {
			subject = id
		}
		if i == len(parts)-1 {
			break
		}
		tokens, err := strconv.ParseFloat(count, 64)
		if err != nil || tokens < 0 {
			tokens = 0
		}
		shared = append(shared, promptPart{id, tokens})
		subject = id
	}
	return subject, shared
}

// leastPart is the size in tokens below which a part is not worth finding in a
// cache: reading it takes a few milliseconds.
const leastPart = 200

// keys returns the identities of the prompt's shared parts for a model, down to
// the first that is too small.
func (q *Request) keys(model string) []prefix.Part {
	var out []prefix.Part
	for _, h := range q.heads {
		if h.tokens < leastPart {
			break
		}
		out = append(out, prefix.PartOf(model, h.id))
	}
	return out
}

// uncached returns the tokens to read where the first n parts are cached.
func (q *Request) uncached(n int) float64 {
	tokens := q.PromptTokens
	for _, h := range q.heads[:n] {
		tokens -= h.tokens
	}
	return max(tokens, 0)
}

// ownTokens returns the tokens of the prompt that no other request shares.
func (q *Request) ownTokens() float64 { return max(q.PromptTokens-q.sharedTokens, 0) }

func fingerprint(q *Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{q.Method, q.Host, q.URI, organisationName(q.Organisation)} {
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

func organisationName(o *route.Organisation) string {
	if o == nil {
		return ""
	}
	return o.Name
}

// requestURI returns path and query as the caller wrote them, without scheme
// and host where the caller sent those too.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

const (
	// tokensPerKB is how many cached tokens a kilobyte between data centres is
	// weighed against: the platforms' prices are 120 to 390, and the engine's
	// time for reading comes on top.
	tokensPerKB = 150
	// answerBytesPerToken is the size of a streamed token with its framing.
	answerBytesPerToken = 30
)

// kilobytes is the expected size of the request and its answer.
func (q *Request) kilobytes() float64 {
	return (float64(len(q.Body)) + q.ExpectedTokens*answerBytesPerToken) / 1024
}

// sessionKey identifies what keeps its version: the session, or the request
// itself.
func (q *Request) sessionKey() string {
	if q.Session != "" {
		return q.Session
	}
	return q.ID
}

// onceReader is a body that the transport cannot send a second time by itself.
type onceReader struct{ io.Reader }

// Close implements io.Closer.
func (onceReader) Close() error { return nil }

// outgoing makes the request for a server.
func (n *Headers) request(q *Request, address, instance string, now time.Time) *http.Request {
	out := &http.Request{Method: q.Method, Host: q.Host, Header: n.outgoing(q.Header), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	out.URL = requestURL(q.URI, address)
	// A body without GetBody keeps the transport from repeating the request.
	out.Body, out.ContentLength = onceReader{bytes.NewReader(q.Body)}, int64(len(q.Body))
	out.Header.Set(n.TimeLeft, strconv.FormatInt(max(q.Deadline.Sub(now).Milliseconds(), 1), 10))
	out.Header.Set(n.Instance, instance)
	if q.Organisation != nil {
		out.Header.Set(n.Organisation, q.Organisation.Name)
	}
	return out
}
