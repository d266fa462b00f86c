//go:build review

package harness

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	archivePath = "/archive/sheets"
	lookupPath  = "/lookup/trips"
	consumerKey = "n2ctnfzs989anu6wsjnb"
	recovery    = 12 * time.Second // recoveryS of the settings
)

// config is the operator's configuration: long sheets are sent to one service, short
// lookups to another.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeoutMS, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "booking.example", "prefix": prefix, "routeType": kind, "service": service, "timeoutMs": timeoutMS,
			"targetLatencyMs": timeoutMS / 2, "priority": 1, "maxAttempts": attempts, "anonymous": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1"}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-archive", "/archive/", "non_idempotent", "archive", 10000, 1), route("r-lookup", "/lookup/", "idempotent", "lookup", 5000, 2),
		},
		"services": []any{service("archive"), service("lookup")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{consumerKey}, "priority": 1}},
	}
}

// deploy starts the store, the backend servers and the nodes.
func deploy(b *bench, nodes, archive, lookup int, lookupWork time.Duration) map[string][]*server {
	b.store = startStore()
	servers := map[string][]*server{}
	start := func(service string, count int, work time.Duration) {
		for i := range count {
			s := startServer(b.record, fmt.Sprintf("i-%s-%d", service, i+1), service, "127.0.0.1:0", work)
			b.store.put("servers", s.id, s.row("ready", time.Now().UnixMilli()))
			servers[service] = append(servers[service], s)
		}
	}
	start("archive", archive, 20*time.Millisecond)
	start("lookup", lookup, lookupWork)
	b.store.put("op", "config", config(7))
	b.nodes = newNodes(nodes, b.dir, b.store.address)
	if !awaitReady(b.nodes, 15*time.Second) {
		panic("the nodes are not ready in time")
	}
	return servers
}

// An office sends a sheet of 18 KB each 0.3 s and a lookup each two seconds to the node that
// the directory names, first a sheet.
const (
	sheetBytes   = 18000
	uploadTime   = 1500 * time.Millisecond
	officeCycle  = 2 * time.Second
	sheetsACycle = 6
)

// office is a consumer that works with one node while the directory lists it.
func office(b *bench, out *results, n *node, upload func() time.Duration, until time.Time) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for time.Now().Before(until) {
		if !slices.Contains(n.addresses(), n.callers) {
			b.record.add("office   waits for %s", n.name)
			time.Sleep(500 * time.Millisecond)
			continue
		}
		for i := range sheetsACycle {
			took := upload()
			calls.Go(func() {
				send(b.record, out, n.callers, call{method: "POST", path: fmt.Sprintf("%s/%d", archivePath, i), key: consumerKey, body: make([]byte, sheetBytes), uploadTime: took, budget: 10 * time.Second})
			})
			if i == sheetsACycle/2 {
				calls.Go(func() {
					send(b.record, out, n.callers, call{method: "GET", path: lookupPath, key: consumerKey, budget: 5 * time.Second})
				})
			}
			time.Sleep(officeCycle / sheetsACycle)
		}
	}
}

func servedShare(list []answered) (served int, share float64) {
	for _, a := range list {
		if a.isServed() {
			served++
		}
	}
	return served, float64(served) / float64(max(len(list), 1))
}

// slowUpload plays the final fault: a configuration is acknowledged and all processes are
// killed. Traffic goes on, and the machines are back after a second.
func slowUpload(b *bench) int {
	deploy(b, 3, 3, 3, 15*time.Millisecond)
	var out results
	began := time.Now()
	faultAt, until := began.Add(12*time.Second), began.Add(12*time.Second+time.Second+recovery+13*time.Second)
	// In the first four seconds the offices use a fast line.
	upload := func() time.Duration {
		if time.Since(began) < 4*time.Second {
			return 30 * time.Millisecond
		}
		return uploadTime
	}
	var offices sync.WaitGroup
	for _, n := range b.nodes {
		offices.Go(func() { office(b, &out, n, upload, until) })
	}
	time.Sleep(time.Until(faultAt))
	b.store.put("op", "config", config(9))
	if b.trouble {
		b.record.add("fault    all processes are killed")
		for _, n := range b.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range b.nodes {
			n.kill()
		}
		time.Sleep(time.Second)
		for _, n := range b.nodes {
			n.start()
		}
	} else {
		time.Sleep(time.Second)
	}
	back := time.Now()
	b.record.add("machines are back")
	offices.Wait()
	before, shareBefore := servedShare(out.between(began, faultAt.Add(-2*time.Second)))
	late := out.between(back.Add(recovery), until)
	after, shareAfter := servedShare(late)
	panics := 0
	for _, n := range b.nodes {
		panics += len(n.logLines("panic while serving a request"))
		b.record.add("%s is ready at the end: %v", n.name, n.isReady())
	}
	b.record.note("served before the fault: %d, %.0f%%; sent later than recoveryS after the machines were back: %d, served %d, %.0f%%; panics in the nodes' logs: %d",
		before, 100*shareBefore, len(late), after, 100*shareAfter, panics)
	switch {
	case shareBefore < 0.9 || len(late) < 20:
		return exitCannot
	case shareAfter < 0.25:
		b.record.note("RECOVER is broken: less than a quarter is served")
		return exitBroken
	}
	b.record.note("RECOVER holds")
	return exitHeld
}
