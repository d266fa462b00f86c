//go:build review3

package harness3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	id, session, server, version string
	at                           time.Time
}

// runs collects the runs of all servers.
type runs struct {
	mu   sync.Mutex
	list []run // guarded by mu
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// server is a stand-in of a backend server. It answers GET and POST with a body, and requests
// with a prompt with a series of events.
type server struct {
	id, service, version, zone, address string
	slots                               int
	work                                time.Duration // of a plain request
	events                              int           // of a stream
	pause                               time.Duration // between events
	born                                int64
	store                               *store
	runs                                *runs
	onPoison                            func() // called when a request with the body poison has run for crashAfter
	active                              atomic.Int32
	poisoned                            sync.Once
	http                                *http.Server
}

func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	s.report("ready")
	return nil
}

// report writes the server's entry and returns when the store acknowledged it.
func (s *server) report(state string) time.Time {
	return s.store.write("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": state,
		"warmupLeftMs": 0, "sequence": 1, "born": s.born,
	})
}

// exit ends the server as the end of its process does.
func (s *server) exit() {
	_ = s.http.Close()
	s.store.remove("servers", s.id)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Cowslipfall-Attempt-Id")
	h.Set("X-Cowslipfall-Instance-Id", s.id)
	h.Set("X-Cowslipfall-Attempt-Id", id)
	if r.Header.Get("X-Cowslipfall-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n := s.active.Add(1)
	defer s.active.Add(-1)
	h.Set("X-Cowslipfall-Instance-Load", strconv.Itoa(int(n))+",0,"+strconv.Itoa(s.slots))
	h.Set("X-Cowslipfall-Response-Seal", "seal."+s.id+"."+id)
	s.runs.add(run{id: id, session: r.Header.Get("Session"), server: s.id, version: s.version, at: time.Now()})
	if s.onPoison != nil && string(body) == poison {
		time.Sleep(crashAfter)
		s.poisoned.Do(func() { go s.onPoison() })
		<-r.Context().Done()
		return
	}
	if r.Header.Get("X-Cowslipfall-Token-Counts") != "" {
		s.stream(w, r)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %d", s.id, id, r.URL.Path, len(body))
}

// stream sends the events that the caller does not have yet.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first + 1; i <= s.events; i++ {
		select {
		case <-time.After(s.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i, i, r.Header.Get("X-Cowslipfall-Attempt-Id")); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
