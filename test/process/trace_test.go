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

// collector takes the spans that nodes send.
type collector struct {
	mu  sync.Mutex
	raw strings.Builder // guarded by mu
}

func (c *collector) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raw.Write(raw)
}

// Each hop of a request sends its span to the collector, and the answer's
// record is found at another node by the caller's own identity.
func TestSpansAndRecord(t *testing.T) {
	is := is.New(t)
	c := &collector{}
	server := httptest.NewServer(c)
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
	text, err := f.command("explain", "trip-17", "--node", f.nodes[1].addresses["operators"], "--key", operatorKey)
	is.NoErr(err)
	for _, part := range []string{"taken from organisation", "versions in order: kuski@v1", "granted a slot", "answered by kuski@v1"} {
		if !strings.Contains(text, part) {
			t.Errorf("the explanation lacks %q:\n%s", part, text)
		}
	}
	for _, n := range f.nodes {
		n.signal(t, syscall.SIGTERM)
	}
	for _, n := range f.nodes {
		select {
		case err := <-n.done:
			is.NoErr(err) // a planned stop exits with 0
		case <-time.After(eventTimeout):
			t.Fatal("a node does not stop")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, span := range []string{"chat", "place", "queue", "answer", "store"} {
		if !strings.Contains(c.raw.String(), "\x2a"+string(rune(len(span)))+span) {
			t.Errorf("no span %q came", span)
		}
	}
}

// command runs the program and returns what it printed.
func (f *fleet) command(args ...string) (string, error) {
	out, err := exec.Command(binary, args...).CombinedOutput()
	return string(out), err
}
