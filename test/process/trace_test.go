package process

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// collector stores the bodies of all trace exports it receives.
type collector struct {
	mu       sync.Mutex
	received strings.Builder // guarded by mu
}

func (c *collector) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received.Write(raw)
}

// Guards against missing spans of a request's hops at the collector, and against a
// record that other nodes cannot find by the caller's X-Request-Id.
func TestSpansAndRecord(t *testing.T) {
	is := is.New(t)
	traces := &collector{}
	server := httptest.NewServer(traces)
	defer server.Close()
	t.Setenv("COWSLIPFALL_TRACE_EXPORTER", "otlp")
	t.Setenv("COWSLIPFALL_TRACE_ENDPOINT", server.URL+"/v1/traces")
	t.Setenv("COWSLIPFALL_TRACE_RATIO", "1")
	f := startFleet(t, 2, 1, 1)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.nodes[0].addresses["callers"]+"/v1/chat/completions",
		strings.NewReader(`{"model":"auto","max_tokens":5,"messages":[{"role":"user","content":"x"}]}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer demo-key-"+organisation)
	req.Header.Set("X-Request-Id", "trip-17")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	explanation, err := f.runCommand("explain", "trip-17", "--node", f.nodes[1].addresses["operators"], "--key", operatorKey)
	is.NoErr(err)
	for _, part := range []string{"taken from organisation", "versions in order: kuski@v1", "granted a slot", "answered by kuski@v1"} {
		if !strings.Contains(explanation, part) {
			t.Errorf("the explanation lacks %q:\n%s", part, explanation)
		}
	}
	for _, n := range f.nodes {
		n.signal(t, syscall.SIGTERM)
	}
	for _, n := range f.nodes {
		select {
		case err := <-n.exited:
			is.NoErr(err) // a graceful shutdown exits with 0
		case <-time.After(eventTimeout):
			t.Fatal("a node did not exit in time")
		}
	}
	traces.mu.Lock()
	defer traces.mu.Unlock()
	// The name of a span is field 5 of the OTLP message: tag 0x2a, length, text.
	for _, span := range []string{"chat", "place", "queue", "answer", "store"} {
		if !strings.Contains(traces.received.String(), "\x2a"+string(rune(len(span)))+span) {
			t.Errorf("no span %q was received", span)
		}
	}
}

// runCommand runs the program and returns its output.
func (f *fleet) runCommand(args ...string) (string, error) {
	out, err := exec.Command(binary, args...).CombinedOutput()
	return string(out), err
}
