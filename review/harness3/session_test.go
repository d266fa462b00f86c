//go:build review3

package harness3

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	chatSessions = 150
	// sessionLife is sessionS of the settings.
	sessionLife = 5 * time.Second
	// rolloutTime is the time budget of the roll-out; its first half is judged.
	rolloutTime = 24 * time.Second
)

// use is one request of a session that was answered in full.
type use struct {
	session, id string
	node        string
	sent, ended time.Time
}

// sessionCase plays chats whose answers take longer than sessionS, and a roll-out of a good
// version.
func sessionCase(f *fleet, withTrouble bool) (int, error) {
	observed := &runs{}
	service := func(id, version, zone string, host int) *server {
		return &server{id: id, service: "mallipalvelin", version: version, zone: zone, address: f.address(host) + ":8080", slots: 64, events: 60, pause: 100 * time.Millisecond, store: f.store, runs: observed}
	}
	list := []*server{service("i-old1", "v1", "lahti-1", 100), service("i-old2", "v1", "kouvola-1", 101), service("i-old3", "v1", "lahti-1", 102), service("i-old4", "v1", "kouvola-1", 103)}
	f.store.write("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-chat", "hostname": "chat.example", "prefix": "/chat/", "routeType": "streaming", "timeoutMs": 25000, "targetLatencyMs": 2000, "priority": 1,
			"service": "mallipalvelin", "maxAttempts": 3, "anonymous": true, "sessionAffinity": true, "streamResume": true, "itlTargetMs": 2000,
		}},
		"services": []any{map[string]any{"name": "mallipalvelin", "healthPath": "/healthz", "maxConnections": 370, "runtime": map[string]any{"slots": 64, "kvCapacity": 338144, "models": []any{map[string]any{"name": "m0", "cost": 0.02}}}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for _, s := range list {
		if err := s.start(); err != nil {
			return notRun, err
		}
	}
	if err := f.start(4); err != nil {
		return notRun, err
	}
	note("4 nodes are ready")
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var uses []use
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range chatSessions {
		callers.Go(func() {
			chat(ctx, f, fmt.Sprintf("s-%016x", rand.Uint64()), i, func(u use) {
				mu.Lock()
				defer mu.Unlock()
				uses = append(uses, u)
			})
		})
	}
	time.Sleep(20 * time.Second)
	ordered := time.Now()
	if withTrouble {
		for i, zone := range []string{"lahti-1", "kouvola-1", "lahti-1", "kouvola-1"} {
			if err := service(fmt.Sprintf("i-new%d", i+1), "v2", zone, 110+i).start(); err != nil {
				cancel()
				return notRun, err
			}
		}
		f.store.write("op", "rollout/mallipalvelin", map[string]any{"service": "mallipalvelin", "to": "v2", "durationS": rolloutTime.Seconds()})
		ordered = time.Now()
		note("operator orders the roll-out of v2 within %s", rolloutTime)
	}
	time.Sleep(rolloutTime/2 - time.Second)
	note("status of the roll-out: %s", f.store.read("status", "rollout/mallipalvelin"))
	cancel()
	callers.Wait()
	return judgeSessions(observed.all(), uses, ordered), nil
}

// chat sends the requests of one session, one after the other, to any node.
func chat(ctx context.Context, f *fleet, session string, index int, done func(use)) {
	client := newChannels()
	pause(ctx, time.Duration(index)*7*time.Second/chatSessions)
	for n := 0; ctx.Err() == nil; n++ {
		node := f.nodes[rand.IntN(len(f.nodes))]
		u := use{session: session, id: fmt.Sprintf("%s-%d", session[2:], n), node: node.name, sent: time.Now()}
		req, err := http.NewRequest(http.MethodPost, "http://"+node.front()+"/chat/turn", strings.NewReader("a question"))
		if err != nil {
			panic(err)
		}
		req.Host = "chat.example"
		for name, value := range map[string]string{
			"X-Cowslipfall-Attempt-Id": u.id, "X-Cowslipfall-Deadline-Ms": "25000", "X-Cowslipfall-Model-Id": "m0", "X-Cowslipfall-Token-Counts": "543,240",
			"X-Cowslipfall-Prompt-Prefix": fmt.Sprintf("5c1e07a2:103,91bd3f06:69,%s:371", session[2:10]), "Session": session,
		} {
			req.Header.Set(name, value)
		}
		if events := readEvents(client, req); events == 60 {
			u.ended = time.Now()
			done(u)
		} else {
			note("request %s of session %s ended after %d events", u.id, session, events)
		}
		pause(ctx, time.Second)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// readEvents sends a request and returns the number of events of its answer.
func readEvents(client *http.Client, req *http.Request) int {
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get("X-Cowslipfall-Response-Seal") == "" {
		return 0
	}
	events := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
		}
	}
	return events
}

// judgeSessions counts the requests that ran on the new version in the first half of the
// roll-out though the one before in their session, which ended less than sessionS before, had
// run on the old one.
func judgeSessions(all []run, uses []use, ordered time.Time) int {
	versions := map[string]string{}
	for _, r := range all {
		versions[r.id] = r.version
	}
	before := map[string]use{}
	judged, moved := 0, 0
	for _, u := range uses { // in the order of their ends, so those of a session are in order
		p, ok := before[u.session]
		before[u.session] = u
		if !ok || u.sent.Before(ordered) || u.sent.After(ordered.Add(rolloutTime/2)) || u.sent.Sub(p.ended) >= sessionLife {
			continue
		}
		judged++
		if versions[p.id] == "v1" && versions[u.id] == "v2" {
			moved++
			note("session %s: %s ran on v1 and ended %.1f s before %s was sent to %s, %.1f s after the order, which ran on v2", u.session, p.id, u.sent.Sub(p.ended).Seconds(), u.id, u.node, u.sent.Sub(ordered).Seconds())
		}
	}
	note("%d requests answered, %d judged in the first half of the roll-out, %d ran on v2 after v1 (bound 3)", len(uses), judged, moved)
	fmt.Printf("%d judged, %d ran on v2 after v1 (bound 3)\n", judged, moved)
	switch {
	case judged < 50:
		note("too few requests to judge")
		return notRun
	case moved > 3:
		return broken
	}
	return held
}
