//go:build review3

package harness3

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// crashAfter is how long a server runs the request that crashes it, and backAfter how long
	// after a crash it is back, as a new incarnation.
	crashAfter = 150 * time.Millisecond
	backAfter  = 3 * time.Second
	// rounds is how often the request comes, copies how many times each time, roundTime the
	// time between.
	rounds, copies = 5, 4
	roundTime      = 6 * time.Second
	// maxRetries is the bound of the rule.
	maxRetries = 3
	poison     = "a body that brings servers down"
)

// pool restarts the servers that crash.
type crashingPool struct {
	f        *fleet
	observed *runs
	mu       sync.Mutex
	starts   int         // guarded by mu
	crashes  []time.Time // guarded by mu
}

// start starts a server at an address.
func (p *crashingPool) start(host int) error {
	p.mu.Lock()
	p.starts++
	id := fmt.Sprintf("i-%d", p.starts)
	p.mu.Unlock()
	s := &server{id: id, service: "kirjauspalvelu", version: "v1", zone: []string{"lahti-1", "kouvola-1"}[host%2], address: p.f.address(host) + ":8080", slots: 6, work: 15 * time.Millisecond, store: p.f.store, runs: p.observed}
	s.onPoison = func() {
		p.mu.Lock()
		p.crashes = append(p.crashes, time.Now())
		p.mu.Unlock()
		note("server %s crashes", s.id)
		_ = s.http.Close()
		time.Sleep(backAfter)
		p.f.store.remove("servers", s.id)
		if err := p.start(host); err != nil {
			note("server at host %d does not come back: %v", host, err)
		}
	}
	return s.start()
}

// crashCase sends a request that crashes each server that runs it, several times at once and
// again some seconds later.
func crashCase(f *fleet, withTrouble bool) (int, error) {
	p := &crashingPool{f: f, observed: &runs{}}
	f.store.write("op", "config", map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "r-book", "hostname": "book.example", "prefix": "/book/", "routeType": "non_idempotent", "timeoutMs": 600, "targetLatencyMs": 120, "priority": 2, "service": "kirjauspalvelu", "maxAttempts": 1, "anonymous": true},
		},
		"services": []any{map[string]any{"name": "kirjauspalvelu", "healthPath": "/healthz", "maxConnections": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for i := range 9 {
		if err := p.start(100 + i); err != nil {
			return notRun, err
		}
	}
	if err := f.start(4); err != nil {
		return notRun, err
	}
	note("4 nodes are ready")
	time.Sleep(8 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 6 {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				send(f.nodes[rand.IntN(len(f.nodes))], fmt.Sprintf("%02x%014x", i, n), "a booking")
				pause(ctx, 200*time.Millisecond)
			}
		}()
	}
	body := "a booking like any other"
	if withTrouble {
		body = poison
	}
	gap := time.Duration(0)
	if os.Getenv("APART") != "" {
		gap = 800 * time.Millisecond // for comparison: the copies do not overlap
	}
	for round := range rounds {
		var sent sync.WaitGroup
		for i := range copies {
			sent.Go(func() {
				time.Sleep(time.Duration(i) * gap)
				id := fmt.Sprintf("ff%06x%08x", round, i)
				node := f.nodes[(round+i)%len(f.nodes)]
				note("round %d: request %s to %s: %s", round+1, id, node.name, send(node, id, body))
			})
		}
		sent.Wait()
		time.Sleep(roundTime)
	}
	return judgeCrashes(p), nil
}

// send sends a booking and returns how it ended.
func send(node *node, id, body string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+node.front()+"/book/seat", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "book.example"
	req.Header.Set("X-Cowslipfall-Attempt-Id", id)
	req.Header.Set("X-Cowslipfall-Deadline-Ms", "600")
	resp, err := newChannels().Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK && !strings.HasPrefix(id, "ff") {
		note("booking %s: %d %s", id, resp.StatusCode, text)
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, text)
}

// judgeCrashes counts the runs of the request later than contactMs after its third crash.
func judgeCrashes(p *crashingPool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, r := range p.observed.all() {
		if strings.HasPrefix(r.id, "ff") && len(p.crashes) >= 3 && r.at.After(p.crashes[2].Add(contactTime)) {
			late++
			note("request %s reached %s %.1f s after the third crash", r.id, r.server, r.at.Sub(p.crashes[2]).Seconds())
		}
	}
	note("%d servers crashed, %d times the request reached a server more than %s after the third crash (bound %d)", len(p.crashes), late, contactTime, maxRetries)
	fmt.Printf("%d servers crashed, %d late arrivals (bound %d)\n", len(p.crashes), late, maxRetries)
	if late > maxRetries {
		return broken
	}
	return held
}
