//go:build review

package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Names of headers on the wire.
const (
	headerID       = "X-Cowslipfall-Attempt-Id"
	headerDeadline = "X-Cowslipfall-Deadline-Ms"
	headerKey      = "X-Cowslipfall-Credential"
	headerInstance = "X-Cowslipfall-Expect-Instance"
	headerOwnID    = "X-Cowslipfall-Instance-Id"
	headerSeal     = "X-Cowslipfall-Response-Seal"
	headerNotRun   = "X-Cowslipfall-Not-Executed"
	headerLoad     = "X-Cowslipfall-Instance-Load"
	headerLeaving  = "Server-Leaving"
)

// serverSlots is the number of requests that a backend server runs at once.
const serverSlots = 12

// server is a stand-in of a sound backend server that answers after some work.
type server struct {
	id, service, address string
	work                 time.Duration
	record               *record
	running              atomic.Int32
	http                 *http.Server
	// born is the server's start in Unix milliseconds.
	born      int64
	isLeaving atomic.Bool
	mu        sync.Mutex
	conns     map[net.Conn]bool // guarded by mu
	runs      []time.Time       // guarded by mu
}

// startServer starts a backend server on an address, "127.0.0.1:0" for any free port.
func startServer(rec *record, id, service, address string, work time.Duration) *server {
	l, err := net.Listen("tcp", address)
	check(err)
	s := &server{id: id, service: service, address: l.Addr().String(), work: work, record: rec, conns: map[net.Conn]bool{}, born: time.Now().UnixMilli()}
	s.http = &http.Server{Handler: s, ConnState: s.trackConn}
	go func() { _ = s.http.Serve(l) }()
	return s
}

func (s *server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
	} else {
		s.conns[c] = true
	}
}

// crash ends the server at once: its port refuses, its connections are reset.
func (s *server) crash() {
	s.mu.Lock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	_ = s.http.Close()
}

// leave lets the server say in its answers that it leaves.
func (s *server) leave() { s.isLeaving.Store(true) }

// runsSince returns how many requests the server has run since a time.
func (s *server) runsSince(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.runs {
		if !at.Before(from) {
			count++
		}
	}
	return count
}

// row is the server's entry in the store.
func (s *server) row(state string, born int64) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": "lahti-1", "version": "v1", "slots": serverSlots,
		"state": state, "warmupLeftMs": 0, "sequence": 1, "born": born,
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	w.Header().Set(headerOwnID, s.id)
	if s.isLeaving.Load() {
		w.Header().Set(headerLeaving, "1")
	}
	switch expected := r.Header.Get(headerInstance); {
	case r.URL.Path == "/healthz":
		return
	case expected != "" && expected != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case int(s.running.Add(1)) > serverSlots:
		s.running.Add(-1)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	s.record.addRun(id, r.RequestURI, "run      %s %s %s at %s", id, r.Method, r.RequestURI, s.id)
	s.mu.Lock()
	s.runs = append(s.runs, time.Now())
	s.mu.Unlock()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	body := fmt.Sprintf("answer to %s by %s\n", id, s.id)
	sum := sha256.Sum256([]byte(body))
	w.Header().Set(headerSeal, hex.EncodeToString(sum[:8]))
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", s.running.Load(), serverSlots))
	_, _ = io.WriteString(w, body)
}
