package fleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// The fleet stays within the store's rate limits in normal operation, while the store is
// down, and when it comes back with everything queued. Then all bills are stored and calls
// that may run at most once run again.
func TestFleetStaysWithinStoreRate(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 6, engines: 6})
		defer sim.close()
		chats := 0
		checkRate := func(phase string, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				reads, writes := sim.platform.Counts()
				start := time.Now()
				for range 5 {
					id := sim.nodeIDs()[chats%6]
					a := sim.post(id, org, chatPath, chatBody("on and on", 5), map[string]string{"X-Session": fmt.Sprint(chats)})
					f.check(a.status == http.StatusOK, "chat at %s: %+v", id, a)
					chats++
				}
				sim.sleep(time.Second)
				readsNow, writesNow := sim.platform.Counts()
				seconds := time.Since(start).Seconds()
				f.check(float64(readsNow-reads) <= seconds*infra.DefaultFleetLimits.Reads, "%s: %d reads in %g s", phase, readsNow-reads, seconds)
				f.check(float64(writesNow-writes) <= seconds*infra.DefaultFleetLimits.Writes, "%s: %d writes in %g s", phase, writesNow-writes, seconds)
			}
		}
		checkRate("normal operation", 20*time.Second)
		sim.platform.Faults.Set(standin.FaultState{Stopped: true})
		checkRate("store down", 5*time.Minute)
		sim.platform.Faults.Set(standin.FaultState{})
		checkRate("store back", time.Minute)
		f.check(len(sim.storedBills()) >= chats*9/10, "%d of %d bills are stored", len(sim.storedBills()), chats)
		sim.sleep(30 * time.Second)
		f.check(len(sim.storedBills()) == chats, "%d of %d bills are stored", len(sim.storedBills()), chats)
		a := sim.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "after"})
		f.check(a.status == http.StatusOK, "confirmation: %+v", a)
	})
}
