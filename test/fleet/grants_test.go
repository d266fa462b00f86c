package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// The release of a slot is lost in a short network cut. The slot does not stay taken:
// its holder sends the release again.
func TestLostReleaseFreesTheSlot(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engines: 1, engine: standin.EngineOptions{BaseInterval: 20 * time.Millisecond}})
		defer sim.close()
		owner := sim.nodes["entry-1"].node.Status().Replicas[0].Owner
		for _, id := range sim.nodeIDs() {
			if id == owner {
				continue
			}
			done := make(chan answer, 1)
			go func() { done <- sim.post(id, org, chatPath, chatBody("a long answer", 200), nil) }()
			sim.sleep(1500 * time.Millisecond)
			f.check(sim.runningStreams() == 1, "the owner counts %d streams, want 1", sim.runningStreams())
			sim.net.setCut(id, owner, true)
			chat := <-done
			f.check(chat.status == http.StatusOK, "chat during the cut: %+v", chat)
			sim.net.setCut(id, owner, false)
			sim.sleep(time.Minute)
			f.check(sim.runningStreams() == 0, "a minute after the answer the owner counts %d streams", sim.runningStreams())
		}
	})
}

// In a long network cut the holder of a slot gives up sending its release. The slot
// becomes free when the owner asks the holder which grants it still holds.
func TestSlotIsReclaimedAfterLongPartition(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engines: 1, engine: standin.EngineOptions{BaseInterval: 20 * time.Millisecond}})
		defer sim.close()
		owner := sim.nodes["entry-1"].node.Status().Replicas[0].Owner
		id := "entry-1"
		if owner == id {
			id = "entry-2"
		}
		done := make(chan answer, 1)
		go func() { done <- sim.post(id, org, chatPath, chatBody("a long answer", 200), nil) }()
		sim.sleep(1500 * time.Millisecond)
		sim.net.setCut(id, owner, true)
		<-done
		sim.sleep(50 * time.Second)
		f.check(sim.runningStreams() == 1, "during the cut the owner counts %d streams", sim.runningStreams())
		sim.net.setCut(id, owner, false)
		sim.sleep(2 * time.Minute)
		f.check(sim.runningStreams() == 0, "two minutes after the cut the owner counts %d streams", sim.runningStreams())
	})
}
