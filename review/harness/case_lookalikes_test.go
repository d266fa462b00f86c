//go:build review

package harness

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	lookupReplicas  = 12
	crashedReplicas = 3 // a quarter of them
	// Requests a second of both kinds, over all nodes.
	lookupsPerS = 40.0
	sheetsPerS  = 60.0
)

// traffic sends calls at a rate to random nodes until a time.
func traffic(b *bench, out *results, perS float64, until time.Time, next func() call) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for time.Now().Before(until) {
		n := b.nodes[rand.IntN(len(b.nodes))]
		calls.Go(func() { send(b.record, out, n.callers, next()) })
		time.Sleep(time.Duration(float64(time.Second) / perS))
	}
}

// lookalikes lets a quarter of the replicas of a service crash at the same moment, once. They
// are back after some seconds, as new incarnations.
func lookalikes(b *bench) int {
	servers := deploy(b, 3, 3, lookupReplicas, 1200*time.Millisecond)["lookup"]
	var out results
	began := time.Now()
	until := began.Add(70 * time.Second)
	var flows sync.WaitGroup
	flows.Go(func() {
		traffic(b, &out, lookupsPerS, until, func() call {
			return call{method: "GET", path: lookupPath, key: consumerKey, budget: 5 * time.Second}
		})
	})
	flows.Go(func() {
		traffic(b, &out, sheetsPerS, until, func() call {
			return call{method: "POST", path: archivePath, key: consumerKey, body: []byte(newID()), budget: 5 * time.Second}
		})
	})
	time.Sleep(7 * time.Second)
	if b.trouble {
		var ends sync.WaitGroup
		for _, s := range servers[:crashedReplicas] {
			b.record.add("crash    %s with %d requests", s.id, s.running.Load())
			ends.Go(s.crash)
		}
		ends.Wait()
		time.Sleep(4500 * time.Millisecond)
		for i, s := range servers[:crashedReplicas] {
			b.store.remove("servers", s.id)
			next := startServer(b.record, fmt.Sprintf("i-lookup-again-%d", i+1), s.service, s.address, s.work)
			b.store.put("servers", next.id, next.row("ready", time.Now().UnixMilli()))
		}
	}
	flows.Wait()
	return judgeLookups(b, out.between(began, until))
}

// judgeLookups compares how often the lookups and all requests were served.
func judgeLookups(b *bench, all []answered) int {
	var lookups []answered
	for _, a := range all {
		if a.path == lookupPath {
			lookups = append(lookups, a)
		}
	}
	_, share := servedShare(all)
	served, kindShare := servedShare(lookups)
	quarantined := 0
	for _, n := range b.nodes {
		quarantined += len(n.logLines("request quarantined"))
	}
	b.record.note("lookups: %d sent, %d served, %.1f%%; all requests: %d sent, %.1f%% served; nodes that quarantined the lookup: %d",
		len(lookups), served, 100*kindShare, len(all), 100*share, quarantined)
	if kindShare < share/4 {
		b.record.note("Starved: a kind of request is served less than a quarter as often as all requests")
		return exitBroken
	}
	b.record.note("held: the kind of request is served as the others")
	return exitHeld
}
