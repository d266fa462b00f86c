//go:build review3

package harness3

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// contactTime and drainTime are contactMs and drainMs of the settings.
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// silence is for how long the store answers no call that arrives.
	silence = 200 * time.Millisecond
	// linger is how long a server serves after drainTime before it exits.
	linger = 1500 * time.Millisecond
)

// outage is for how long the store is down in lapseCase.
const outage = 4500 * time.Millisecond

// drainCase lets the store answer nothing for a moment, and a server drain once the store is
// stable again.
func drainCase(f *fleet, withTrouble bool) (int, error) {
	return playDrain(f, func(list []*server) (time.Time, error) {
		if err := beginSilence(f.store, list[0], withTrouble); err != nil {
			return time.Time{}, err
		}
		time.Sleep(contactTime + 100*time.Millisecond)
		acked := list[1].report("draining")
		note("server %s drains: acked by the store", list[1].id)
		return acked, nil
	})
}

// lapseCase takes the store down for some seconds, and removes the entry of a server, which has
// not drained, once the store is stable again.
func lapseCase(f *fleet, withTrouble bool) (int, error) {
	return playDrain(f, func(list []*server) (time.Time, error) {
		f.store.setSilent(withTrouble)
		note("the store is down: %t", withTrouble)
		time.Sleep(outage)
		f.store.setSilent(false)
		note("the store answers again")
		time.Sleep(contactTime + 10*time.Millisecond)
		f.store.remove("servers", list[1].id)
		note("the entry of server %s is removed: acked by the store", list[1].id)
		return time.Now(), nil
	})
}

// playDrain starts a deployment with a plain service and callers, lets begin bring about the
// leaving of the second server, and counts what reaches it too late.
func playDrain(f *fleet, begin func(list []*server) (time.Time, error)) (int, error) {
	observed := &runs{}
	f.store.write("op", "config", map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "r-book", "hostname": "book.example", "prefix": "/book/", "routeType": "non_idempotent", "timeoutMs": 600, "targetLatencyMs": 120, "priority": 2, "service": "kirjauspalvelu", "maxAttempts": 1, "anonymous": true},
			map[string]any{"name": "r-find", "hostname": "book.example", "prefix": "/find/", "routeType": "idempotent", "timeoutMs": 600, "targetLatencyMs": 120, "priority": 2, "service": "kirjauspalvelu", "maxAttempts": 2, "anonymous": true},
		},
		"services": []any{map[string]any{"name": "kirjauspalvelu", "healthPath": "/healthz", "maxConnections": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var list []*server
	for i, zone := range []string{"lahti-1", "kouvola-1", "lahti-1", "kouvola-1", "lahti-1"} {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "kirjauspalvelu", version: "v1", zone: zone, address: f.address(100+i) + ":8080", slots: 6, work: 60 * time.Millisecond, store: f.store, runs: observed}
		if err := s.start(); err != nil {
			return notRun, err
		}
		list = append(list, s)
	}
	if err := f.start(4); err != nil {
		return notRun, err
	}
	note("4 nodes are ready")
	time.Sleep(8 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	var failed idSet
	for i := range 16 {
		callers.Go(func() { book(ctx, f, i, failed.add) })
	}
	time.Sleep(2 * time.Second)
	acked, err := begin(list)
	if err != nil {
		cancel()
		return notRun, err
	}
	time.Sleep(drainTime + linger)
	list[1].exit()
	note("server %s has left", list[1].id)
	time.Sleep(6 * time.Second)
	cancel()
	callers.Wait()
	late, lost := 0, 0
	for _, r := range observed.all() {
		if r.server == list[1].id && r.at.After(acked.Add(drainTime)) {
			late++
			note("request %s reached %s %.3f s after the ack", r.id, r.server, r.at.Sub(acked).Seconds())
			if failed.has(r.id) {
				lost++
				note("request %s began to run there and had no answer of a server", r.id)
			}
		}
	}
	note("%d requests ran in all, %d reached %s more than %s after it drained, %d of them ended without an answer of a server", len(observed.all()), late, list[1].id, drainTime, lost)
	fmt.Printf("%d requests ran, %d reached the draining server late\n", len(observed.all()), late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// idSet is a set of request IDs.
type idSet struct {
	mu  sync.Mutex
	ids map[string]bool // guarded by mu
}

func (s *idSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil {
		s.ids = map[string]bool{}
	}
	s.ids[id] = true
}

func (s *idSet) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// beginSilence lets a server drain, and the store answer nothing for a moment while the list
// of servers is asked for again. The moment lies between two watches of the configuration.
func beginSilence(s *store, leaving *server, withTrouble bool) error {
	watched := make(chan time.Time, 1)
	s.setOnFeed(func(table string) {
		if table == "op" {
			select {
			case watched <- time.Now():
			default:
			}
		}
	})
	var at time.Time
	select {
	case at = <-watched:
	case <-time.After(5 * time.Second):
		return fmt.Errorf("the configuration is not watched")
	}
	s.setOnFeed(nil)
	time.Sleep(time.Until(at.Add(130 * time.Millisecond)))
	leaving.report("draining")
	note("server %s drains", leaving.id)
	go func() {
		time.Sleep(drainTime + linger)
		leaving.exit()
		note("server %s has left", leaving.id)
	}()
	time.Sleep(time.Until(at.Add(450 * time.Millisecond)))
	if withTrouble {
		s.setSilent(true)
		note("the store answers no new call for %s", silence)
	}
	time.Sleep(silence)
	s.setSilent(false)
	note("the store answers again")
	return nil
}

// book sends requests to any node, one after the other.
func book(ctx context.Context, f *fleet, caller int, onFailure func(id string)) {
	client := newChannels()
	for n := 0; ctx.Err() == nil; n++ {
		node := f.nodes[rand.IntN(len(f.nodes))]
		method, path := http.MethodPost, "/book/seat"
		if n%3 == 0 {
			method, path = http.MethodGet, "/find/line"
		}
		id := fmt.Sprintf("%02x%014x", caller, n)
		req, err := http.NewRequest(method, "http://"+node.front()+path, strings.NewReader(strings.Repeat("x", 600)))
		if err != nil {
			panic(err)
		}
		if method == http.MethodGet {
			req.Body, req.ContentLength = nil, 0
		}
		req.Host = "book.example"
		req.Header.Set("X-Cowslipfall-Attempt-Id", id)
		req.Header.Set("X-Cowslipfall-Deadline-Ms", "600")
		began := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			note("request %s (%s) to %s: %v", id, path, node.name, err)
			onFailure(id)
		} else {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			note("request %s (%s) to %s: %d in %d ms", id, path, node.name, resp.StatusCode, time.Since(began).Milliseconds())
			if resp.StatusCode != http.StatusOK {
				onFailure(id)
			}
		}
		pause(ctx, 200*time.Millisecond)
	}
}
