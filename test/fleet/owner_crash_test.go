package fleet

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// A node has crashed and its heartbeat has not timed out yet. The other nodes serve
// with the replicas whose owner is live, also under load, and refuse no request.
func TestOwnerCrashCausesNoRefusals(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engines: 6, edit: func(c *config.Config) { c.Pools["mallipalvelin"].Slots = 2 }})
		defer sim.close()
		sim.kill("entry-3")
		var load sync.WaitGroup
		for i := range 100 {
			for j := range 6 {
				id := []string{"entry-1", "entry-2"}[j%2]
				load.Go(func() {
					chat := sim.post(id, org, chatPath, chatBody(fmt.Sprintf("after the death %d %d", i, j), 10), nil)
					f.check(chat.status == http.StatusOK, "chat %d at %s: %+v", i, id, chat)
				})
			}
			sim.sleep(100 * time.Millisecond)
		}
		load.Wait()
	})
}
