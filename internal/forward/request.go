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

// Request is a completely read request of a caller with its matched route.
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
	// Arrived is when the request was read. Deadline is when its caller or its
	// route gives up, whichever is first.
	Arrived  time.Time
	Deadline time.Time
	// CallerDeadline is when the caller gives up.
	CallerDeadline time.Time
	// PromptTokens and OutputTokens are 0 for plain requests.
	PromptTokens float64
	OutputTokens float64
	// ExpectedTokens is the caller's estimate of the output tokens.
	ExpectedTokens float64
	// Subject is the ID of the last prompt part that other requests share.
	Subject string
	// sharedTokens is the number of tokens in the shared parts.
	sharedTokens float64
	// sharedParts lists the shared parts from the start of the prompt.
	sharedParts []promptPart
	// sharedPartIDs lists the IDs of sharedParts.
	sharedPartIDs []string
	// Session is empty for requests without a session.
	Session string
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// Fingerprint is equal for requests with the same caller, path and content.
	Fingerprint uint64
	// TableVersion is the version of the configuration that matched the
	// request.
	TableVersion int64
}

// defaultTimeLeft applies if the caller sends no time. A minute is longer than
// any route's timeout.
const defaultTimeLeft = time.Minute

// maxTimeLeftMS bounds the time in milliseconds that a caller may name, and maxTokens the
// number of tokens: what is worked out from them stays within range.
const (
	maxTimeLeftMS = 24 * 3600 * 1000
	maxTokens     = 1e9
)

// parseTokens returns a number of tokens, 0 if the text is none.
func parseTokens(text string) float64 {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(n > 0) {
		return 0
	}
	return min(n, maxTokens)
}

// parse reads a request and its headers.
func (n *Headers) parse(r *http.Request, rt *route.Route, org *route.Organisation, body []byte, now time.Time) *Request {
	q := &Request{
		ID: r.Header.Get(n.RequestID), Route: rt, Organisation: org, Method: r.Method, URI: requestURI(r), Host: r.Host,
		Header: r.Header, Body: body, Arrived: now, Rank: rt.Rank,
	}
	if org != nil && org.Rank != nil {
		q.Rank = *org.Rank
	}
	timeLeft := defaultTimeLeft
	if ms, err := strconv.ParseFloat(r.Header.Get(n.TimeLeft), 64); err == nil && ms > 0 {
		timeLeft = time.Duration(min(ms, maxTimeLeftMS) * float64(time.Millisecond))
	}
	q.CallerDeadline = now.Add(timeLeft)
	q.Deadline = q.CallerDeadline
	if rt.Timeout > 0 && rt.Timeout < timeLeft {
		q.Deadline = now.Add(rt.Timeout)
	}
	promptTokens, outputTokens, _ := strings.Cut(r.Header.Get(n.Tokens), ",")
	q.PromptTokens, q.OutputTokens = parseTokens(promptTokens), parseTokens(outputTokens)
	q.ExpectedTokens = q.OutputTokens
	if hint := parseTokens(r.Header.Get(n.LengthHint)); hint > 0 {
		q.ExpectedTokens = min(hint, q.OutputTokens)
	}
	q.Subject, q.sharedParts = promptParts(r.Header.Get(n.Prompt))
	for _, part := range q.sharedParts {
		q.sharedTokens += part.tokens
		q.sharedPartIDs = append(q.sharedPartIDs, part.id)
	}
	q.Session = r.Header.Get(n.Session)
	q.Fingerprint = fingerprint(q)
	return q
}

// promptPart is a prompt part that other requests share.
type promptPart struct {
	id     string
	tokens float64
}

// promptParts returns the ID of the last shared part of a prompt and all shared
// parts. The last part of the list belongs to this request only.
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
		shared = append(shared, promptPart{id, parseTokens(count)})
		subject = id
	}
	return subject, shared
}

// minSharedPartTokens is the size below which a part is not looked up in the
// index. Reading it takes a few milliseconds.
const minSharedPartTokens = 200

// sharedPartHashes returns the hashes of the prompt's shared parts for a model,
// up to the first part that is too small.
func (q *Request) sharedPartHashes(model string) []prefix.Part {
	var hashes []prefix.Part
	for _, part := range q.sharedParts {
		if part.tokens < minSharedPartTokens {
			break
		}
		hashes = append(hashes, prefix.HashPart(model, part.id))
	}
	return hashes
}

// uncachedTokens returns the number of tokens to read if the first n shared
// parts are cached.
func (q *Request) uncachedTokens(n int) float64 {
	tokens := q.PromptTokens
	for _, part := range q.sharedParts[:n] {
		tokens -= part.tokens
	}
	return max(tokens, 0)
}

// unsharedTokens returns the number of prompt tokens that no other request
// shares.
func (q *Request) unsharedTokens() float64 { return max(q.PromptTokens-q.sharedTokens, 0) }

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

// requestURI returns path and query as the caller wrote them. It removes scheme
// and host if the caller sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	if _, rest, ok := strings.Cut(r.RequestURI, "://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 && !strings.Contains(rest[:i], "?") {
			return rest[i:]
		}
	}
	return r.URL.RequestURI()
}

const (
	// tokensPerKB is the number of cached tokens that one kilobyte of transfer
	// between data centres is weighed against. The platforms' prices are 120 to
	// 390 tokens, and the engine's read time comes on top.
	tokensPerKB = 150
	// answerBytesPerToken is the size of a streamed token with its framing.
	answerBytesPerToken = 30
)

// transferKB returns the expected size of the request and its answer in
// kilobytes.
func (q *Request) transferKB() float64 {
	return (float64(len(q.Body)) + q.ExpectedTokens*answerBytesPerToken) / 1024
}

// sessionKey identifies the requests that stay at one version: the session, or
// the request itself if there is none.
func (q *Request) sessionKey() string {
	if q.Session != "" {
		return q.Session
	}
	return q.ID
}

// singleUseBody is a request body that the transport cannot send again.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// newRequest returns the request to send to a server.
func (n *Headers) newRequest(q *Request, address, instance string, now time.Time) *http.Request {
	out := &http.Request{Method: q.Method, Host: q.Host, Header: n.serverHeaders(q.Header), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	out.URL = requestURL(q.URI, address)
	// Without GetBody the transport cannot repeat the request by itself.
	out.Body, out.ContentLength = singleUseBody{bytes.NewReader(q.Body)}, int64(len(q.Body))
	out.Header.Set(n.TimeLeft, strconv.FormatInt(max(q.Deadline.Sub(now).Milliseconds(), 1), 10))
	out.Header.Set(n.Instance, instance)
	if q.Organisation != nil {
		out.Header.Set(n.Organisation, q.Organisation.Name)
	}
	return out
}
