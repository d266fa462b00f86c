package fleet

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// The bound of a server's limit: from limitGrace after it was first named, the server
// receives in any limitWindow at most limitFactor times what the limit allows, plus
// limitSlack requests.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostInWindow returns the largest number of requests within a limitWindow after a time.
func mostInWindow(l *standin.Limit, after time.Time) int {
	most, first := 0, 0
	arrivals := l.Arrivals()
	for i, at := range arrivals {
		for arrivals[first].Before(after) || at.Sub(arrivals[first]) >= limitWindow {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

// The product's own interface must keep to the limits that engines and services name, over
// all nodes: chats with their cascades, calls, and the probes of owners. Guards against a
// limit that nobody reads, and against probes that take it all.
func TestOwnInterfaceKeepsToServerLimits(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engines: 3, services: 2})
		defer sim.close()
		limits := map[string]*standin.Limit{}
		for address, e := range sim.dialer.engines {
			if len(limits) < 2 {
				limits[address] = &e.Limit
			}
		}
		for address, s := range sim.dialer.services {
			limits[address] = &s.Limit
		}
		for _, l := range limits {
			l.Set(1.3)
		}
		named := time.Now()
		var mu sync.Mutex
		statuses := map[string]int{}
		var callers sync.WaitGroup
		for k := range 400 {
			callers.Go(func() {
				id := sim.nodeIDs()[k%3]
				path, body := confirmPath, "{}"
				if k%2 == 0 {
					path, body = chatPath, chatBody(fmt.Sprint("question ", k), 5)
				}
				a := sim.post(id, org, path, body, map[string]string{"Idempotency-Key": fmt.Sprint("call-", k)})
				mu.Lock()
				defer mu.Unlock()
				statuses[fmt.Sprint(path, " ", a.status)]++
				f.check(a.status < 500 || a.header.Get("Retry-After") != "", "refused with %d without a time to return: %s", a.status, a.body)
			})
			sim.sleep(75 * time.Millisecond)
		}
		callers.Wait()
		t.Log(statuses)
		for address, l := range limits {
			most := mostInWindow(l, named.Add(limitGrace))
			t.Logf("%s: %d requests, at most %d in %v", address, len(l.Arrivals()), most, limitWindow)
			f.check(float64(most) <= limitFactor*1.3*limitWindow.Seconds()+limitSlack, "%s received %d requests in %v", address, most, limitWindow)
		}
		served := statuses[confirmPath+" 200"]
		f.check(float64(served) >= 0.8*2*1.3*30, "only %d calls were served", served)
		for _, l := range limits {
			l.Clear()
		}
		sim.sleep(15 * time.Second) // until a probe finds that the limits ended
		for k := range 40 {
			a := sim.post(sim.nodeIDs()[k%3], org, confirmPath, "{}", map[string]string{"Idempotency-Key": fmt.Sprint("later-", k)})
			f.check(a.status == 200, "status %d after the limits ended", a.status)
		}
	})
}

// Partitions of a fleet must together keep to a server's limit, however
// long the cut lasts, and use it again afterwards. Guards against an owner of the replica
// in each partitionition that grants the whole limit.
func TestLimitHoldsInDividedFleet(t *testing.T) {
	for _, isStoreAway := range []bool{false, true} {
		t.Run(fmt.Sprint("store away ", isStoreAway), func(t *testing.T) {
			withVirtualClock(t, func(f *failures) { divideLimitedFleet(t, f, isStoreAway) })
		})
	}
}

func divideLimitedFleet(t *testing.T, f *failures, isStoreAway bool) {
	const limit = 12.0
	sim := newSimulation(f, simulationOptions{nodes: 6, services: 1})
	defer sim.close()
	var service *standin.Service
	for _, s := range sim.dialer.services {
		service = s
	}
	service.Limit.Set(limit)
	named := time.Now()
	var callers sync.WaitGroup
	sent := 0
	load := func(duration time.Duration) int {
		before := len(service.Calls())
		for end := time.Now().Add(duration); time.Now().Before(end); sim.sleep(15 * time.Millisecond) {
			sent++
			id, key := fmt.Sprint("entry-", 1+sent%6), fmt.Sprint("call-", sent)
			callers.Go(func() { sim.post(id, org, confirmPath, "{}", map[string]string{"Idempotency-Key": key}) })
		}
		callers.Wait()
		return len(service.Calls()) - before
	}
	load(10 * time.Second)
	cut := func(isCut bool) {
		for _, a := range []string{"entry-1", "entry-4"} {
			for _, b := range []string{"entry-2", "entry-3", "entry-5", "entry-6"} {
				sim.net.setCut(a, b, isCut)
			}
		}
		for _, id := range sim.nodeIDs() {
			sim.nodes[id].platform.setUnreachable(isCut && isStoreAway)
		}
	}
	cut(true)
	load(70 * time.Second)
	cut(false)
	sim.sleep(20 * time.Second)
	served := load(20 * time.Second)
	most := mostInWindow(&service.Limit, named.Add(limitGrace))
	t.Logf("at most %d in %v; %d in 20 s after the cut", most, limitWindow, served)
	f.check(float64(most) <= limitFactor*limit*limitWindow.Seconds()+limitSlack, "%d requests in %v", most, limitWindow)
	f.check(float64(served) >= 0.8*limit*20, "only %d calls in 20 s after the cut", served)
}
