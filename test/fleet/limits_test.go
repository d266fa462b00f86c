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
