package fleet

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// The store is unreachable for an hour and two nodes are cut off from each other. Chats
// are served; a confirmation is refused at once, with the statement that it did not run.
func TestStoreOutageAndPartition(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		for _, id := range sim.nodeIDs() {
			sim.nodes[id].platform.setUnreachable(true)
		}
		sim.net.setCut("entry-1", "entry-2", true)
		sim.sleep(time.Hour)
		for _, id := range sim.nodeIDs() {
			chat := sim.post(id, org, chatPath, chatBody("still there?", 20), nil)
			f.check(chat.status == http.StatusOK, "chat at %s: %+v", id, chat)
		}
		refused := sim.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "seat-2"})
		f.check(refused.status == http.StatusServiceUnavailable, "confirmation: %+v", refused)
		f.check(strings.Contains(refused.body, `"ran":"no"`), "the body of the refusal is %s", refused.body)
		f.check(sim.serviceCalls()["seat-2"] == 0, "the refused confirmation ran")
	})
}
