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

// caller sends requests as callers do: it asks for addresses, keeps the answer
// for its time to live, and keeps its connections open.
type caller struct {
	http      http.Client
	session   string
	addresses []string
	until     time.Time
	seeds     func() []string
}

// directory is the answer of /v1/addresses.
type directory struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTLSeconds int `json:"ttl_seconds"`
}

func (c *caller) do(method, address, path, body string, header map[string]string) answer {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer demo-key-"+organisation)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

// address returns where to send now.
func (c *caller) address() string {
	if time.Now().Before(c.until) {
		return c.addresses[0]
	}
	for _, seed := range append(c.addresses, c.seeds()...) {
		a := c.do(http.MethodGet, seed, "/v1/addresses?session="+c.session, "", nil)
		var d directory
		if a.err != nil || a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &d) != nil || len(d.Addresses) == 0 {
			continue
		}
		c.addresses = nil
		for _, entry := range d.Addresses {
			c.addresses = append(c.addresses, entry.Address)
		}
		c.until = time.Now().Add(time.Duration(d.TTLSeconds) * time.Second)
		return c.addresses[0]
	}
	return ""
}

// load is a set of callers at work.
type load struct {
	mu     sync.Mutex
	seeds  []string // guarded by mu
	faults []string // guarded by mu
	chats  int      // guarded by mu
	keys   []string // guarded by mu
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

func (l *load) faultf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// run sends chats and confirmations until ctx ends.
func (l *load) run(ctx context.Context, callers int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := &caller{session: fmt.Sprintf("session-%d", i), seeds: l.getSeeds, http: http.Client{Transport: &http.Transport{}}}
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
	at := c.address()
	a := c.do(http.MethodPost, at, chatPath, chatBody, map[string]string{"X-Session": c.session})
	if a.err != nil || a.status != http.StatusOK || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		l.faultf("chat at %s: status %d, error %v, body %q", at, a.status, a.err, a.body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chats++
}

func (l *load) confirm(c *caller, key string) {
	at := c.address()
	a := c.do(http.MethodPost, at, confirmPath, `{"seat":1}`, map[string]string{"Idempotency-Key": key})
	if a.err != nil || a.status != http.StatusOK {
		l.faultf("confirmation at %s: status %d, error %v, body %q", at, a.status, a.err, a.body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys = append(l.keys, key)
}

// bills counts the bills that the platform holds.
func (f *fleet) bills(t *testing.T) int {
	t.Helper()
	client := infra.NewClient(f.base(), eventTimeout)
	rows, err := client.List(context.Background(), ledger.BillKey(""), "", 1_000_000)
	is.New(t).NoErr(err)
	return len(rows)
}

// stopWait bounds one graceful stop: the notice, and what still ran.
const stopWait = 40 * time.Second

// waitExit waits until the process has ended, and returns its error.
func (p *process) waitExit(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.done:
		return err
	case <-time.After(stopWait):
		t.Fatalf("a node did not stop within %s", stopWait)
		return nil
	}
}

// Under load, every node is replaced one after the other: no request is cut
// or refused, each confirmation runs once, and every request is billed once.
func TestRollingReplacementLosesNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 3, 2)
	l := &load{}
	l.setSeeds(f.nodes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wg := l.run(ctx, 12)
	for i, old := range f.nodes {
		f.nodes[i] = f.startNode(t, fmt.Sprintf("entry-new-%d", i), dataCentres[i])
		f.waitReady(t, 5)
		l.setSeeds(f.nodes)
		old.signal(t, syscall.SIGTERM)
		is.NoErr(old.waitExit(t)) // a graceful stop ends with success
	}
	cancel()
	wg.Wait()
	for _, fault := range l.faults {
		t.Error(fault)
	}
	calls := f.calls(t)
	for _, key := range l.keys {
		if calls[key] != 1 {
			t.Errorf("confirmation %s ran %d times", key, calls[key])
		}
	}
	want := l.chats + len(l.keys)
	eventually(t, "every request is billed", func() bool { return f.bills(t) >= want })
	is.Equal(f.bills(t), want) // each request is billed once
	t.Logf("%d chats, %d confirmations", l.chats, len(l.keys))
}

// A second signal shortens the stop and loses no bill.
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
	is.Equal(f.bills(t), requests)
}
