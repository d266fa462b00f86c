package backend

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/probe"
	"github.com/cowslipfall/cowslipfall/internal/tcp"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Paths of the engines' HTTP interface.
const (
	PathGenerate    = "/v1/generate"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
	PathKV          = "/v1/kv/"
)

// Headers of calls to plain services and of their refusals.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderFencing        = "X-Fencing-Number"
	HeaderErrorKind      = "X-Error-Kind"
	HeaderLimit          = "X-Request-Limit"
	// HeaderAttempt identifies a call. Servers that echo it are called on kept
	// connections.
	HeaderAttempt = "X-Attempt-ID"
)

const (
	connectTimeout = 500 * time.Millisecond
	maxReplyBytes  = 16 << 20
	maxFrameBytes  = 1 << 20
	maxHeaderBytes = 64 << 10
	// maxNonFrameBytes bounds the bytes that a stream may send between two frames,
	// such as keep-alive comments.
	maxNonFrameBytes = 64 << 10
	maxIdlePerHost   = 64
)

var dialer = tcp.Dialer{Timeout: connectTimeout}

// HTTPDialer implements Dialer with HTTP clients that share one connection pool.
// Calls that must not be repeated, and calls to servers that do not identify their
// answers, each use a new connection instead. It is safe for concurrent use.
type HTTPDialer struct {
	http    *http.Client
	oneShot *http.Client
	mu      sync.Mutex
	clients map[string]*httpClient // guarded by mu
}

// NewHTTPDialer returns a dialer without open connections.
func NewHTTPDialer() *HTTPDialer {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.Dial(ctx, network, address)
			if err != nil {
				return nil, &Error{Kind: KindConnect, Ran: outcome.RanNo, Message: err.Error()}
			}
			return conn, nil
		},
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	oneShot := transport.Clone()
	oneShot.DisableKeepAlives = true
	return &HTTPDialer{http: newClient(transport), oneShot: newClient(oneShot), clients: map[string]*httpClient{}}
}

// newClient returns a client that returns redirects to the caller. Following a
// redirect would send the request a second time.
func newClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Engine implements Dialer.
func (d *HTTPDialer) Engine(address string) Engine { return d.client(address) }

// Service implements Dialer.
func (d *HTTPDialer) Service(address string) Service { return d.client(address) }

// client returns the client of an address, new if there was none.
func (d *HTTPDialer) client(address string) *httpClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.clients[address]
	if c == nil {
		c = &httpClient{base: "http://" + address, http: d.http, oneShot: d.oneShot}
		d.clients[address] = c
	}
	return c
}

// httpClient implements Engine and Service for one backend server.
type httpClient struct {
	base    string
	http    *http.Client
	oneShot *http.Client
	// identifies is set while the server's answers echo the ID of their call.
	identifies atomic.Bool
}

// call sends one request and checks that the answer belongs to it. On a kept
// connection an answer without the ID may be a late copy of an earlier one.
func (c *httpClient) call(ctx context.Context, id, method, path string, body []byte, header http.Header, isOnceCall bool) (*http.Response, error) {
	header.Set(HeaderAttempt, id)
	client := c.oneShot
	if c.identifies.Load() && !isOnceCall {
		client = c.http
	}
	resp, err := send(ctx, client, method, c.base+path, body, header)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < http.StatusOK {
		_ = resp.Body.Close()
		return nil, &Error{Kind: KindBroken, Ran: outcome.RanMaybe, Message: "the server sent " + resp.Status + " in place of a final answer"}
	}
	echo := resp.Header.Get(HeaderAttempt)
	c.identifies.Store(echo == id)
	if echo == id || echo == "" && client == c.oneShot {
		return resp, nil
	}
	_ = resp.Body.Close()
	return nil, &Error{Kind: KindBroken, Ran: outcome.RanMaybe, Message: "the answer belongs to call " + strconv.Quote(echo)}
}

// send sends one request. The transport never sends it a second time, because a
// request with a body reader and no GetBody cannot be replayed.
func send(ctx context.Context, client *http.Client, method, url string, body []byte, header http.Header) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, &Error{Kind: KindRejected, Ran: outcome.RanNo, Message: err.Error()}
	}
	req.ContentLength = int64(len(body))
	for k, v := range header {
		req.Header[k] = v
	}
	if parent := telemetry.TraceParent(ctx); parent != "" {
		req.Header.Set(telemetry.HeaderTraceParent, parent)
	}
	resp, err := client.Do(req)
	if err != nil && !connected.Load() {
		return nil, &Error{Kind: KindConnect, Ran: outcome.RanNo, Message: err.Error()}
	}
	if err != nil {
		return nil, asError(err)
	}
	return resp, nil
}

// readBody reads a complete reply body. It returns an error for a body above
// maxReplyBytes instead of truncating it, and for one without a length whose server has ended
// with its connection.
func (c *httpClient) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "the answer broke off")
	}
	if len(body) > maxReplyBytes {
		return nil, errors.Errorf("the answer is larger than %d bytes", maxReplyBytes)
	}
	if !probe.IsFramed(resp) && !probe.StillServes(ctx, strings.TrimPrefix(c.base, "http://"), dialer.Dial) {
		return nil, errors.New("the server ended with its connection, so that its answer may be cut")
	}
	return body, nil
}

// asError returns the *Error that err wraps. Any other error happened after the
// request may have been sent, so it becomes KindBroken.
func asError(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Kind: KindBroken, Ran: outcome.RanMaybe, Message: err.Error()}
}

// readRefusal reads a backend server's refusal and returns it as an error. Only a kind that
// the server states promises that the request did not run; a status alone does not.
func readRefusal(resp *http.Response) *Error {
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxFrameBytes))
	message := string(text)
	if err != nil {
		message += " (broke off: " + err.Error() + ")"
	}
	kind := Kind(resp.Header.Get(HeaderErrorKind))
	switch {
	case kind == KindBusy || kind == KindDraining || kind == KindNotLoaded || kind == KindFenced:
		return &Error{Kind: kind, Ran: outcome.RanNo, Message: message}
	case resp.StatusCode >= http.StatusInternalServerError:
		return &Error{Kind: KindBroken, Ran: outcome.RanMaybe, Message: resp.Status + ": " + message}
	case kind == KindRejected:
		return &Error{Kind: kind, Ran: outcome.RanNo, Message: resp.Status + ": " + message}
	default:
		return &Error{Kind: KindRejected, Ran: outcome.RanMaybe, Message: resp.Status + ": " + message}
	}
}

// Generate implements Engine.
func (c *httpClient) Generate(ctx context.Context, req GenerateRequest) (Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, &Error{Kind: KindRejected, Ran: outcome.RanNo, Message: err.Error()}
	}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.call(ctx, req.Attempt, http.MethodPost, PathGenerate, body, http.Header{"Content-Type": {"application/json"}}, false)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		cancel()
		return nil, readRefusal(resp)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxFrameBytes)
	return &httpStream{body: resp.Body, scanner: scanner, cancel: cancel}, nil
}

// httpStream reads frames from server-sent events, one frame per event.
type httpStream struct {
	body    io.Closer
	scanner *bufio.Scanner
	cancel  context.CancelFunc
}

// Next implements Stream.
func (s *httpStream) Next() (Frame, error) {
	skipped := 0
	for s.scanner.Scan() {
		data, ok := strings.CutPrefix(s.scanner.Text(), "data: ")
		if !ok {
			if skipped += len(s.scanner.Bytes()) + 1; skipped > maxNonFrameBytes {
				return Frame{}, &Error{Kind: KindBroken, Ran: outcome.RanYes, Message: "the stream sends bytes that are not frames"}
			}
			continue
		}
		var f Frame
		if err := json.Unmarshal([]byte(data), &f); err != nil {
			return Frame{}, &Error{Kind: KindBroken, Ran: outcome.RanYes, Message: "unreadable frame: " + err.Error()}
		}
		return f, nil
	}
	err := s.scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Frame{}, &Error{Kind: KindBroken, Ran: outcome.RanYes, Message: err.Error()}
}

// Close implements Stream.
func (s *httpStream) Close() error {
	s.cancel()
	return s.body.Close()
}

// exchange sends a small request and returns the complete reply body. The call
// is bounded by ProbeTimeout.
func (c *httpClient) exchange(ctx context.Context, method, path string, body []byte) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	resp, err := send(ctx, c.http, method, c.base+path, body, nil)
	if err != nil {
		return nil, nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil, readRefusal(resp)
	}
	defer resp.Body.Close()
	raw, err := c.readBody(ctx, resp)
	if err != nil {
		return nil, nil, asError(err)
	}
	return raw, resp.Header, nil
}

// Load implements Engine and Service.
func (c *httpClient) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	raw, header, err := c.exchange(ctx, http.MethodGet, PathLoad, nil)
	if err != nil {
		return report, err
	}
	limit, err := permit.ParseLimit(header.Values(HeaderLimit))
	report.LimitError = err
	if limit != permit.NoLimit {
		report.Limit = &limit
	}
	return report, errors.Wrap(json.Unmarshal(raw, &report), "decode load report")
}

// CacheEvents implements Engine.
func (c *httpClient) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	raw, _, err := c.exchange(ctx, http.MethodGet, PathCacheEvents+"?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return nil, err
	}
	var events []CacheEvent
	return events, errors.Wrap(json.Unmarshal(raw, &events), "decode cache events")
}

// Order implements Engine.
func (c *httpClient) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	_, _, err = c.exchange(ctx, http.MethodPost, PathOrders, body)
	return err
}

// ExportKV implements Engine.
func (c *httpClient) ExportKV(ctx context.Context, attempt string) ([]byte, error) {
	kv, _, err := c.exchange(ctx, http.MethodGet, PathKV+url.PathEscape(attempt), nil)
	return kv, err
}

// ImportKV implements Engine.
func (c *httpClient) ImportKV(ctx context.Context, attempt string, kv []byte) error {
	_, _, err := c.exchange(ctx, http.MethodPut, PathKV+url.PathEscape(attempt), kv)
	return err
}

// Do implements Service.
func (c *httpClient) Do(ctx context.Context, call Call) (Reply, error) {
	header := http.Header{}
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		header.Set(HeaderIdempotencyKey, call.Key)
		header.Set(HeaderFencing, strconv.FormatUint(call.Fencing, 10))
	}
	path := call.Path
	if call.Query != "" {
		path += "?" + call.Query
	}
	resp, err := c.call(ctx, rand.Text(), call.Method, path, call.Body, header, call.IsOnceCall)
	if err != nil {
		return Reply{}, err
	}
	if resp.Header.Get(HeaderErrorKind) != "" {
		return Reply{}, readRefusal(resp)
	}
	defer resp.Body.Close()
	body, err := c.readBody(ctx, resp)
	if err != nil {
		return Reply{}, &Error{Kind: KindBroken, Ran: outcome.RanYes, Message: err.Error()}
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
