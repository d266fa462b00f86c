//go:build review

package harness

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"
)

// rootConfig adds a route with the shortest prefix to the configuration.
func rootConfig(version int) map[string]any {
	c := config(version)
	routes := c["routes"].([]any)
	c["routes"] = append(routes, map[string]any{
		"name": "r-root", "hostname": "booking.example", "prefix": "/", "routeType": "idempotent", "service": "lookup", "timeoutMs": 5000,
		"targetLatencyMs": 2500, "priority": 1, "maxAttempts": 2, "anonymous": false,
	})
	return c
}

// paths that consumers ask for.
var askedPaths = []string{"/lookup/trips%20today", "//sheets/a%20b", "//sheets/50%25", "/plain", "//sheets/a%2Fb?q=%20x"}

// changedPath asks for paths, some of which begin with two slashes, before and after a
// configuration adds a route for all paths of the host.
func changedPath(b *bench) int {
	deploy(b, 2, 1, 2, 15*time.Millisecond)
	if b.trouble {
		b.store.put("op", "config", rootConfig(9))
		b.record.add("config   version 9 adds a route with the prefix /")
	} else {
		b.store.put("op", "config", config(9))
	}
	time.Sleep(3 * time.Second)
	changed, run := 0, 0
	for _, path := range askedPaths {
		for _, n := range b.nodes {
			id := newID()
			conn, err := net.DialTimeout("tcp", n.callers, time.Second)
			check(err)
			b.record.add("sent     %s GET %s to %s", id, path, n.name)
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: booking.example\r\n%s: %s\r\n%s: 5000\r\n%s: %s\r\nConnection: close\r\n\r\n", path, headerID, id, headerDeadline, headerKey, consumerKey)
			_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			check(err)
			b.record.add("answered %s %d", id, resp.StatusCode)
			_ = conn.Close()
			seen := b.record.uris(id)
			run += len(seen)
			if slices.ContainsFunc(seen, func(uri string) bool { return uri != path }) {
				changed++
				b.record.note("request %s for %s was run as %s", id, path, seen[0])
			}
		}
	}
	b.record.note("requests run: %d, with a changed path: %d", run, changed)
	if run == 0 {
		return exitCannot
	}
	if changed > 0 {
		b.record.note("UNASKED is broken")
		return exitBroken
	}
	return exitHeld
}
