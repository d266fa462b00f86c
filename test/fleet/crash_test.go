package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/gateway"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

const crashMarker = "POISON"

// crashedEngines returns the number of engines that are down.
func (sim *simulation) crashedEngines() int {
	n := 0
	for _, e := range sim.dialer.engines {
		if e.IsDown() {
			n++
		}
	}
	return n
}

// isComplete reports whether an answer is byte-equal to the undisturbed one.
func (sim *simulation) isComplete(a answer, text string, tokens int) bool {
	if a.err != nil || a.status != http.StatusOK {
		return false
	}
	prompt := "user: " + text + "\n"
	t := config.ParseTarget(a.header.Get(gateway.HeaderVersion))
	v := sim.config.Models[t.Model].Versions[t.Version]
	expected := standin.Answer(t, v.Quality, prompt, gateway.Fingerprint(org, prompt), tokens)
	return strings.Contains(a.body, fmt.Sprintf("%q", expected))
}

// sendUnrelatedChats sends n long chats, spread over all nodes, and checks that each
// is answered completely. The caller waits on the returned group.
func (sim *simulation) sendUnrelatedChats(n int) *sync.WaitGroup {
	var wg sync.WaitGroup
	ids := sim.nodeIDs()
	for i := range n {
		wg.Go(func() {
			text := fmt.Sprintf("innocent %d", i)
			a := sim.post(ids[i%len(ids)], org, chatPath, chatBody(text, 60), nil)
			sim.failures.check(sim.isComplete(a, text, 60), "unrelated chat %d: %+v", i, a)
		})
	}
	return &wg
}

// A request crashes each engine that runs it, and is sent to each node repeatedly,
// also after all nodes were replaced. Exactly two engines crash, the request is
// refused with the reason, and requests that ran beside it are answered completely.
func TestCrashingRequestIsRefused(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engines: 8, engine: standin.EngineOptions{CrashMark: crashMarker, BaseInterval: 30 * time.Millisecond}})
		defer sim.close()
		sim.configurePeers = true
		running := sim.sendUnrelatedChats(24)
		sim.sleep(300 * time.Millisecond)
		for round := range 3 {
			for _, id := range sim.nodeIDs() {
				a := sim.post(id, org, chatPath, chatBody(crashMarker, 20), nil)
				f.check(strings.Contains(a.body, `"code":"crash_suspect"`), "round %d at %s: %+v", round, id, a)
			}
		}
		running.Wait()
		for i, id := range sim.nodeIDs() {
			sim.kill(id)
			sim.addNode(fmt.Sprintf("entry-%d", i+4), sim.deployment.DataCentres[i%3])
			sim.sleep(15 * time.Second)
		}
		for _, id := range sim.nodeIDs() {
			a := sim.post(id, org, chatPath, chatBody(crashMarker, 20), nil)
			f.check(strings.Contains(a.body, `"code":"crash_suspect"`), "after the nodes were replaced, at %s: %+v", id, a)
		}
		f.check(sim.crashedEngines() == 2, "%d engines crashed", sim.crashedEngines())
		sim.sendUnrelatedChats(12).Wait()
	})
}

// The entry node crashes together with the first engine, and the caller goes on at
// other nodes.
func TestCrashingRequestWithNodeCrash(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engines: 6, engine: standin.EngineOptions{CrashMark: crashMarker}})
		defer sim.close()
		go sim.post("entry-1", org, chatPath, chatBody(crashMarker, 20), nil)
		sim.sleep(time.Millisecond)
		sim.kill("entry-1")
		for range 3 {
			for _, id := range sim.nodeIDs() {
				sim.post(id, org, chatPath, chatBody(crashMarker, 20), nil)
			}
		}
		f.check(sim.crashedEngines() <= 3, "%d engines crashed", sim.crashedEngines())
		sim.sendUnrelatedChats(12).Wait()
	})
}

// An engine crashes by itself with many requests on it. All are answered completely;
// none is refused as a suspect.
func TestUnrelatedRequestsKeepTheirRetry(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engines: 8, engine: standin.EngineOptions{BaseInterval: 30 * time.Millisecond}})
		defer sim.close()
		running := sim.sendUnrelatedChats(40)
		sim.sleep(300 * time.Millisecond)
		busiest := sim.busiestEngine()
		busiest.Crash()
		running.Wait()
	})
}

// Streams break several times on live engines, as when a network link fails. No
// request is quarantined as the cause of a crash.
func TestBrokenStreamsQuarantineNobody(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engines: 8, engine: standin.EngineOptions{BaseInterval: 30 * time.Millisecond}})
		defer sim.close()
		running := sim.sendUnrelatedChats(1)
		broken := map[*standin.Engine]bool{}
		for range 3 {
			sim.sleep(300 * time.Millisecond)
			for _, e := range sim.dialer.engines {
				if len(e.Runs()) > 0 && !broken[e] {
					e.BreakStreams()
					broken[e] = true
				}
			}
		}
		running.Wait()
		f.check(len(broken) == 3, "the streams of %d engines were broken, want 3", len(broken))
	})
}

// busiestEngine returns the engine with the most runs.
func (sim *simulation) busiestEngine() *standin.Engine {
	var busiest *standin.Engine
	for _, e := range sim.dialer.engines {
		if busiest == nil || len(e.Runs()) > len(busiest.Runs()) {
			busiest = e
		}
	}
	return busiest
}
