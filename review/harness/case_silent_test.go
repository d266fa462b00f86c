//go:build review

package harness

import (
	"fmt"
	"sync"
	"time"
)

const (
	drain   = 2 * time.Second // drainMs of the settings
	contact = 3 * time.Second // contactMs
	// probesFail is when the node's own keep-alive probes end a silent connection: its user
	// timeout is 5 s.
	probesFail = 5 * time.Second
	// silentLookups are sent at once, to all nodes in turn.
	silentLookups = 12
)

// silentWatch lets the channel on which the list of servers is watched go silent. A replica
// reports that it drains meanwhile; requests come once the machines are in touch again.
func silentWatch(b *bench) int {
	b.store = startStore()
	p := startProxy(b.record, b.store.address)
	b.store.put("op", "config", config(7))
	var servers []*server
	for i := range 3 {
		s := startServer(b.record, fmt.Sprintf("i-lookup-%d", i+1), "lookup", "127.0.0.1:0", 15*time.Millisecond)
		b.store.put("servers", s.id, s.row("ready", time.Now().UnixMilli()))
		servers = append(servers, s)
	}
	b.nodes = newNodes(3, b.dir, p.address)
	if !awaitReady(b.nodes, 15*time.Second) {
		panic("the nodes are not ready in time")
	}
	var out results
	burst := func(count int) {
		var calls sync.WaitGroup
		for i := range count {
			calls.Go(func() {
				send(b.record, &out, b.nodes[i%len(b.nodes)].callers, call{method: "GET", path: lookupPath, key: consumerKey, budget: 5 * time.Second})
			})
		}
		calls.Wait()
	}
	// The machines start together. Once the watches of the start are over, one node reads the
	// store for all.
	for range 15 {
		burst(3)
		time.Sleep(time.Second)
	}
	silenced := time.Now()
	if b.trouble {
		count := p.silence("servers", probesFail)
		b.record.add("fault    %d open channels to the store go silent, those that wait for changes of the servers", count)
		if count == 0 {
			return exitCannot
		}
	}
	time.Sleep(time.Second)
	leaving := servers[0]
	leaving.leave()
	b.store.put("servers", leaving.id, leaving.row("draining", leaving.born))
	acked := time.Now()
	b.record.add("ack      %s is draining", leaving.id)
	time.Sleep(time.Until(latest(acked.Add(drain), silenced.Add(contact)).Add(300 * time.Millisecond)))
	from := time.Now()
	burst(silentLookups)
	late := leaving.runsSince(from)
	time.Sleep(probesFail)
	burst(silentLookups)
	served, _ := servedShare(out.between(from, time.Now()))
	b.record.note("requests sent later than drainMs after the ack, by machines in touch: %d, served %d; run by the draining replica: %d", 2*silentLookups, served, late)
	if late > 0 {
		b.record.note("DRAIN is broken")
		return exitBroken
	}
	b.record.note("DRAIN holds")
	return exitHeld
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
