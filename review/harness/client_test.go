//go:build review

package harness

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// call is one request of a consumer.
type call struct {
	method, path, key string
	body              []byte
	// uploadTime is how long the consumer's line takes to carry the body.
	uploadTime time.Duration
	budget     time.Duration
}

// answered is a call with its result.
type answered struct {
	call
	id     string
	at     string
	sent   time.Time
	status int // 0 if the connection failed
}

func (a answered) isServed() bool { return a.status == http.StatusOK }

// log collects the results of all calls.
type results struct {
	mu   sync.Mutex
	list []answered
}

func (r *results) add(a answered) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, a)
}

// between returns the calls that were sent within a time.
func (r *results) between(from, to time.Time) []answered {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []answered
	for _, a := range r.list {
		if !a.sent.Before(from) && a.sent.Before(to) {
			out = append(out, a)
		}
	}
	return out
}

// slowBody delivers a body in pieces over a time, as a slow line does.
type slowBody struct {
	rest    []byte
	piece   int
	perByte time.Duration
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), b.piece)], b.rest)
	time.Sleep(time.Duration(n) * b.perByte)
	b.rest = b.rest[n:]
	return n, nil
}

func newID() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// uploadPieces is the number of pieces of a slow body.
const uploadPieces = 30

// send sends a call on a new connection and waits for the answer.
func send(rec *record, out *results, address string, c call) answered {
	a := answered{call: c, id: newID(), at: address, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.budget)
	defer cancel()
	var body io.Reader
	if len(c.body) > 0 {
		body = &slowBody{rest: c.body, piece: (len(c.body) + uploadPieces - 1) / uploadPieces, perByte: c.uploadTime / time.Duration(len(c.body))}
	}
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, body)
	check(err)
	r.Host, r.ContentLength = "booking.example", int64(len(c.body))
	r.Header.Set(headerID, a.id)
	r.Header.Set(headerDeadline, strconv.FormatInt(c.budget.Milliseconds(), 10))
	r.Header.Set(headerKey, c.key)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	rec.add("sent     %s %s %s to %s, %d bytes over %v", a.id, c.method, c.path, address, len(c.body), c.uploadTime)
	resp, err := transport.RoundTrip(r)
	cause := ""
	if err == nil {
		text, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status = resp.StatusCode
		if cause = string(text); readErr != nil || a.status == http.StatusOK && resp.Header.Get(headerSeal) == "" {
			a.status = 0
		}
	} else {
		cause = err.Error()
	}
	rec.add("answered %s %d after %d ms: %.70q", a.id, a.status, time.Since(a.sent).Milliseconds(), cause)
	out.add(a)
	return a
}
