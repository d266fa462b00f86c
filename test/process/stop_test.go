package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/ledger"
)

// caller sends requests as callers do: it looks up addresses, caches them for
// their TTL, and keeps its connections open.
type caller struct {
	client    http.Client
	session   string
	addresses []string
	expiresAt time.Time
	seeds     func() []string
}

// addressesAnswer is the body of an answer of /v1/addresses.
type addressesAnswer struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTLSeconds int `json:"ttl_seconds"`
}

func (c *caller) do(method, address, path, body string, headers map[string]string) answer {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer demo-key-"+organisation)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

// address returns the address for the next request; it is empty if no seed answers.
func (c *caller) address() string {
	if time.Now().Before(c.expiresAt) {
		return c.addresses[0]
	}
	for _, seed := range append(c.addresses, c.seeds()...) {
		got := c.do(http.MethodGet, seed, "/v1/addresses?session="+c.session, "", nil)
		var reply addressesAnswer
		if got.err != nil || got.status != http.StatusOK || json.Unmarshal([]byte(got.body), &reply) != nil || len(reply.Addresses) == 0 {
			continue
		}
		c.addresses = nil
		for _, entry := range reply.Addresses {
			c.addresses = append(c.addresses, entry.Address)
		}
		c.expiresAt = time.Now().Add(time.Duration(reply.TTLSeconds) * time.Second)
		return c.addresses[0]
	}
	return ""
}

// load runs callers and records their failures and requests.
type load struct {
	mu       sync.Mutex
	seeds    []string // guarded by mu
	failures []string // guarded by mu
	chats    int      // guarded by mu
	keys     []string // guarded by mu
}

func (l *load) setSeeds(nodes []*process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = nil
	for _, p := range nodes {
		l.seeds = append(l.seeds, p.addresses["callers"])
	}
}

func (l *load) getSeeds() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.seeds...)
}

func (l *load) addFailuref(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

// run sends chats and confirmations until ctx ends.
func (l *load) run(ctx context.Context, callers int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := &caller{session: fmt.Sprintf("session-%d", i), seeds: l.getSeeds, client: http.Client{Transport: &http.Transport{}}}
			for n := 0; ctx.Err() == nil; n++ {
				if (i+n)%4 == 0 {
					l.confirm(c, fmt.Sprintf("seat-%d-%d", i, n))
				} else {
					l.chat(c)
				}
			}
		})
	}
	return &wg
}

func (l *load) chat(c *caller) {
	address := c.address()
	got := c.do(http.MethodPost, address, chatPath, chatBody, map[string]string{"X-Session": c.session})
	if got.err != nil || got.status != http.StatusOK || !strings.HasSuffix(got.body, "data: [DONE]\n\n") {
		l.addFailuref("chat at %s: status %d, error %v, body %q", address, got.status, got.err, got.body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chats++
}

func (l *load) confirm(c *caller, key string) {
	address := c.address()
	got := c.do(http.MethodPost, address, confirmPath, `{"seat":1}`, map[string]string{"Idempotency-Key": key})
	if got.err != nil || got.status != http.StatusOK {
		l.addFailuref("confirmation at %s: status %d, error %v, body %q", address, got.status, got.err, got.body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys = append(l.keys, key)
}

// billCount returns the number of bills in the platform's store.
func (f *fleet) billCount(t *testing.T) int {
	t.Helper()
	client := infra.NewClient(f.platformURL(), eventTimeout)
	rows, err := client.List(context.Background(), ledger.BillKey(""), "", 1_000_000)
	is.New(t).NoErr(err)
	return len(rows)
}

// shutdownTimeout bounds one graceful shutdown: the notice period, and the requests
// still in progress.
const shutdownTimeout = 40 * time.Second

// waitExit waits until the process has exited and returns its error.
func (p *process) waitExit(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(shutdownTimeout):
		t.Fatalf("a node did not exit within %s", shutdownTimeout)
		return nil
	}
}

// Guards against losses while all nodes are replaced one by one under load: no
// request is cut off or refused, each confirmation runs once, and every request is
// billed once.
func TestRollingReplacementLosesNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 3, 2)
	l := &load{}
	l.setSeeds(f.nodes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := l.run(ctx, 12)
	for i, oldNode := range f.nodes {
		f.nodes[i] = f.startNode(t, fmt.Sprintf("entry-new-%d", i), dataCentres[i])
		f.waitReady(t, 5)
		l.setSeeds(f.nodes)
		oldNode.signal(t, syscall.SIGTERM)
		is.NoErr(oldNode.waitExit(t)) // a graceful shutdown exits with 0
	}
	cancel()
	callers.Wait()
	for _, failure := range l.failures {
		t.Error(failure)
	}
	calls := f.executionCounts(t)
	for _, key := range l.keys {
		if calls[key] != 1 {
			t.Errorf("confirmation %s ran %d times", key, calls[key])
		}
	}
	expectedBills := l.chats + len(l.keys)
	eventually(t, "every request is billed", func() bool { return f.billCount(t) >= expectedBills })
	is.Equal(f.billCount(t), expectedBills) // each request is billed once
	t.Logf("%d chats, %d confirmations", l.chats, len(l.keys))
}

// Guards against bills that are lost when a second signal shortens the shutdown.
func TestSecondSignalLosesNoBill(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 2, 1)
	const requests = 20
	for range requests {
		a := send(f.nodes[0], chatPath, chatBody, nil)
		is.Equal(a.status, http.StatusOK)
	}
	f.nodes[0].signal(t, syscall.SIGTERM)
	f.nodes[0].signal(t, syscall.SIGTERM)
	is.NoErr(f.nodes[0].waitExit(t))
	is.Equal(f.billCount(t), requests)
}
