//go:build review

package harness

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	streamPath   = "/drafts/letter"
	streamEvents = 12
	streamPause  = 400 * time.Millisecond
	// queueFullFor is how long the server's queue of new connections is full.
	queueFullFor = 120 * time.Millisecond
	relayRounds  = 5
)

func streamConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-drafts", "hostname": "booking.example", "prefix": "/drafts/", "routeType": "streaming", "service": "drafts", "timeoutMs": 25000,
			"targetLatencyMs": 2000, "itlTargetMs": 2000, "priority": 1, "maxAttempts": 3, "anonymous": false, "streamResume": true,
		}},
		"services": []any{map[string]any{"name": "drafts", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{consumerKey}, "priority": 1}},
	}
}

// streamResult is what a consumer got of a stream.
type streamResult struct {
	status     int
	body       string
	isComplete bool // the answer ended as its framing says
}

// openStream sends a stream's request and returns its result once it has ended.
func openStream(b *bench, address, id string) (<-chan streamResult, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	body := `{"prompt":"confirm the trip"}`
	b.record.add("sent     %s POST %s to %s", id, streamPath, address)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: booking.example\r\n%s: %s\r\n%s: 20000\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		streamPath, headerID, id, headerDeadline, headerKey, consumerKey, len(body), body)
	out := make(chan streamResult, 1)
	go func() {
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(22 * time.Second))
		var r streamResult
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			r.status = resp.StatusCode
			var text strings.Builder
			_, err = bufio.NewReader(resp.Body).WriteTo(&text)
			r.body, r.isComplete = text.String(), err == nil
		}
		b.record.add("answered %s %d, complete %v, %d events", id, r.status, r.isComplete, strings.Count(r.body, "\n\n"))
		out <- r
	}()
	return out, nil
}

// relayKill ends the carrying node by SIGKILL, relayStop by SIGTERM, as planned work does.
func relayKill(b *bench) int { return relayEnds(b, relayRounds, streamEvents, (*node).kill) }

func relayStop(b *bench) int { return relayEnds(b, 3, 3*streamEvents, (*node).terminate) }

// relayEnds ends the node that carries another node's connection to a server, while a stream
// comes through it. The server's queue of new connections is full for a moment when the
// request comes, so that the node asks the other one to connect.
func relayEnds(b *bench, rounds, events int, end func(*node)) int {
	b.store = startStore()
	b.store.put("op", "config", streamConfig())
	b.nodes = newNodes(2, b.dir, b.store.address)
	taker, carrier := b.nodes[0], b.nodes[1]
	broken, relayed := 0, 0
	for round := range rounds {
		s := newStreamServer(b.record, fmt.Sprintf("i-drafts-%d", round+1), events, streamPause)
		b.store.put("servers", s.id, map[string]any{
			"service": "drafts", "address": s.address, "zone": "lahti-1", "version": "v1", "slots": 6, "state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		if !awaitReady(b.nodes, 15*time.Second) {
			panic("the nodes are not ready in time")
		}
		time.Sleep(4 * time.Second) // the nodes have found each other and follow the store
		// Another caller's connection fills the queue.
		filler, err := net.Dial("tcp", s.address)
		check(err)
		id := newID()
		result, err := openStream(b, taker.callers, id)
		check(err)
		time.Sleep(queueFullFor)
		go s.accept()
		_ = filler.Close()
		time.Sleep(1500 * time.Millisecond)
		isRelayed := len(taker.logLines(`"cut":true`)) > relayed
		if isRelayed {
			relayed = len(taker.logLines(`"cut":true`))
		}
		b.record.add("round %d: the connection leads through %s: %v", round+1, carrier.name, isRelayed)
		if b.trouble {
			b.record.add("fault    %s is ended", carrier.name)
			end(carrier)
		}
		r := <-result
		whole := ""
		for i := 1; i <= events; i++ {
			whole += s.event(id, i)
		}
		if r.status == http.StatusOK && r.isComplete && r.body != whole {
			broken++
			b.record.note("round %d: stream %s ended as complete with %d of %d events", round+1, id, strings.Count(r.body, "\n\n"), events)
		}
		_ = s.listener.Close()
		b.store.remove("servers", s.id)
		if b.trouble {
			carrier.start()
		}
	}
	b.record.note("rounds: %d, relayed: %d, streams that ended as complete before their last event: %d", rounds, relayed, broken)
	switch {
	case relayed == 0:
		return exitCannot
	case broken > 0:
		b.record.note("ORDER and MIXED are broken")
		return exitBroken
	}
	return exitHeld
}
