package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowServer takes a fixed time for each request and records which ones reached it.
type slowServer struct {
	work    time.Duration
	mu      sync.Mutex
	reached map[string]bool // guarded by mu
}

// ServeHTTP implements http.Handler.
func (s *slowServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("T-Id")
	s.mu.Lock()
	s.reached[id] = true
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set("T-Id", id)
	_, _ = io.WriteString(w, "done "+id)
}

func (s *slowServer) hasReached(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached[id]
}

// rawAnswer is all that a caller read from its connection after one request.
type rawAnswer struct {
	status int
	body   string
	err    error
}

// sendOn sends a request on an open connection and reads the answer.
func sendOn(c net.Conn, id string) rawAnswer {
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /once/1 HTTP/1.1\r\nHost: h\r\nT-Id: %s\r\nT-Left: 9000\r\nContent-Length: 1\r\n\r\nx", id); err != nil {
		return rawAnswer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return rawAnswer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return rawAnswer{resp.StatusCode, string(body), err}
}

// Guards against requests that come late in a planned stop, are passed on, and are cut
// without an answer when it ends: one that cannot end in time is refused as not run, and one
// that is still running at the end is told so. None of these may be repeated.
func TestLateRequestsOfAPlannedStopAreAnswered(t *testing.T) {
	is := is.New(t)
	backend := &slowServer{work: 1500 * time.Millisecond, reached: map[string]bool{}}
	server := httptest.NewServer(backend)
	defer server.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	const stopTime = 2 * time.Second
	address, stopped := loadedNode(t, strings.TrimPrefix(server.URL, "http://"), ctx, stopTime)
	connect := func() net.Conn {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	kept := connect()
	is.Equal(sendOn(kept, "warm"), rawAnswer{http.StatusOK, "done warm", nil})
	silent := connect() // opened before the stop, used after connections are accepted
	var senders sync.WaitGroup
	answers := map[string]rawAnswer{}
	var mu sync.Mutex
	send := func(after time.Duration, id string, c net.Conn) {
		senders.Go(func() {
			time.Sleep(after)
			if c == nil {
				c = connect()
			}
			a := sendOn(c, id)
			mu.Lock()
			answers[id] = a
			mu.Unlock()
		})
	}
	stop()
	send(50*time.Millisecond, "early", nil)            // ends at 1.55 s of 1.86
	send(600*time.Millisecond, "late-new", nil)        // would end at 2.1 s
	send(700*time.Millisecond, "late-kept", kept)      // so would this one
	send(1000*time.Millisecond, "late-silent", silent) // and this one, after connections are accepted
	began := time.Now()
	stopped()
	is.True(time.Since(began) < stopTime)
	senders.Wait()
	is.Equal(answers["early"], rawAnswer{http.StatusOK, "done early", nil})
	for _, id := range []string{"late-new", "late-kept", "late-silent"} {
		a := answers[id]
		t.Logf("%s: %+v, reached a server: %v", id, a, backend.hasReached(id))
		if backend.hasReached(id) {
			t.Errorf("%s was passed on", id)
		}
		if a.err == nil && a.status != http.StatusServiceUnavailable {
			t.Errorf("%s was answered %d", id, a.status)
		}
	}
}

// A request that is still running when the process has to end gets an answer that promises
// nothing, not a closed connection.
func TestRequestsCutByTheEndOfAStopAreAnswered(t *testing.T) {
	is := is.New(t)
	backend := &slowServer{work: 3 * time.Second, reached: map[string]bool{}}
	server := httptest.NewServer(backend)
	defer server.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	const stopTime = time.Second
	address, stopped := loadedNode(t, strings.TrimPrefix(server.URL, "http://"), ctx, stopTime)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	answered := make(chan rawAnswer)
	go func() { answered <- sendOn(c, "running") }()
	for !backend.hasReached("running") {
		time.Sleep(5 * time.Millisecond)
	}
	began := time.Now()
	stop()
	a := <-answered
	stopped()
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusBadGateway)
	is.True(time.Since(began) < stopTime)
}
