package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// brittleServer takes some requests at once, says how many it may turn away in a second, and
// falls over for a while if it has to turn away more.
type brittleServer struct {
	slots, mostRefusals int
	from                time.Time // it does not fall before
	mu                  sync.Mutex
	running             int         // guarded by mu
	refusals            []time.Time // guarded by mu; of the last second
	downUntil           time.Time   // guarded by mu
	falls               int         // guarded by mu
}

// ServeHTTP implements http.Handler.
func (s *brittleServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if !s.begin(time.Now()) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Brittle", strconv.Itoa(s.mostRefusals))
	s.mu.Lock()
	isFull := s.running >= s.slots
	w.Header().Set("T-Load", strconv.Itoa(s.running)+",0,"+strconv.Itoa(s.slots))
	if isFull {
		s.refuse(time.Now())
	} else {
		s.running++
	}
	s.mu.Unlock()
	if isFull {
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(40 * time.Millisecond)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	_, _ = io.WriteString(w, "done")
}

// begin reports whether the server is up.
func (s *brittleServer) begin(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.After(s.downUntil)
}

// refuse counts a refusal. The caller holds mu.
func (s *brittleServer) refuse(now time.Time) {
	for len(s.refusals) > 0 && now.Sub(s.refusals[0]) >= time.Second {
		s.refusals = s.refusals[1:]
	}
	s.refusals = append(s.refusals, now)
	if len(s.refusals) > s.mostRefusals && now.After(s.from) {
		s.falls++
		s.downUntil, s.refusals = now.Add(2*time.Second), nil
	}
}

// brittleGrace is the time after a service has first said that it is brittle.
const brittleGrace = 3 * time.Second

// Guards against servers without room that fall over because all nodes together turn to them
// more often than they can refuse.
func TestBrittleServersAreNotOverrun(t *testing.T) {
	is := is.New(t)
	const servers, allowedFalls = 6, 2 + 0.1*6
	var list []*brittleServer
	var addresses []string
	for range servers {
		s := &brittleServer{slots: 4, mostRefusals: 5, from: time.Now().Add(time.Minute)}
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		list, addresses = append(list, s), append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	_, callers := startFleet(t, 6, addresses, func(_ int, o *Options) {
		o.Headers.Load, o.Headers.NotRun, o.Headers.Brittle = "T-Load", "T-Not-Run", "T-Brittle"
	})
	for _, s := range list {
		s.mu.Lock()
		s.from = time.Now().Add(brittleGrace)
		s.mu.Unlock()
	}
	// 6 servers with 4 slots of 40 ms take 600 requests a second; these are 800.
	statuses := sendSteadily(t, callers, brittleGrace+5*time.Second, 1250*time.Microsecond)
	falls := 0
	for _, s := range list {
		s.mu.Lock()
		falls += s.falls
		s.mu.Unlock()
	}
	t.Logf("%d falls, answers by status: %v", falls, statuses)
	is.True(float64(falls) <= allowedFalls)
}
