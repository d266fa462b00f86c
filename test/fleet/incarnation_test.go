package fleet

import (
	"net/http"
	"testing"
	"time"
)

// clockAhead is how far the clock of a node's predecessor was ahead.
const clockAhead = time.Hour

// replaceWithEarlierClock starts a node whose clock is an hour ahead, stops it, calls
// before, and starts a replacement of the same name with the right clock.
func (sim *simulation) replaceWithEarlierClock(before func(), edit func(m *member)) {
	dataCentre := sim.deployment.DataCentres[0]
	sim.addNodeWith("late", dataCentre, func(m *member) { m.startTime = time.Now().Add(clockAhead) })
	sim.sleep(5 * time.Second)
	for _, id := range sim.nodeIDs() {
		sim.failures.check(sim.seesLive(id, "late"), "%s does not see the predecessor", id)
	}
	sim.kill("late")
	before()
	sim.addNodeWith("late", dataCentre, edit)
}

// checkReplacementSeenBy checks that the given nodes and the replacement see each
// other, and that the replacement serves.
func (sim *simulation) checkReplacementSeenBy(ids ...string) {
	for _, id := range ids {
		sim.failures.check(sim.seesLive(id, "late") && sim.seesLive("late", id), "%s and the replacement do not see each other", id)
		sim.failures.check(sim.incarnation(id, "late") == sim.incarnation("late", "late"), "%s has another incarnation of the replacement", id)
	}
	chat := sim.post("late", org, chatPath, chatBody("new here?", 5), nil)
	sim.failures.check(chat.status == http.StatusOK, "chat at the replacement: %+v", chat)
}

// incarnation returns the incarnation of node id that node by has received.
func (sim *simulation) incarnation(by, id string) uint64 {
	for _, n := range sim.nodes[by].node.Status().Nodes {
		if n.State.ID == id {
			return n.State.Incarnation
		}
	}
	return 0
}

// A VM is replaced under the same name by one whose clock is an hour behind. The
// replacement joins within seconds, because its row holds the predecessor's
// incarnation.
func TestReplacementWithEarlierClockJoins(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		sim.replaceWithEarlierClock(func() {}, func(*member) {})
		sim.sleep(5 * time.Second)
		sim.checkReplacementSeenBy("entry-1", "entry-2", "entry-3")
	})
}

// The same with the store unreachable: a peer sends the predecessor's incarnation.
func TestReplacementWithEarlierClockJoinsWithoutStore(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		sim.replaceWithEarlierClock(func() {
			for _, id := range sim.nodeIDs() {
				sim.nodes[id].platform.setUnreachable(true)
			}
		}, func(m *member) {
			m.platform.setUnreachable(true)
			m.settings.Peers = []string{"entry-2:inner"}
		})
		sim.sleep(5 * time.Second)
		sim.checkReplacementSeenBy("entry-1", "entry-2", "entry-3")
	})
}

// The same while the replacement reaches only one peer, which never received anything
// of the predecessor. It meets the nodes that did after the cut.
func TestReplacementWithEarlierClockJoinsAfterPartition(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		others := []string{"entry-1", "entry-2", "entry-3"}
		sim.replaceWithEarlierClock(func() {
			for _, id := range others {
				sim.nodes[id].platform.setUnreachable(true)
				sim.net.setCut(id, "late", true)
				sim.net.setCut(id, "fresh", true)
			}
			sim.addNodeWith("fresh", sim.deployment.DataCentres[0], func(m *member) { m.platform.setUnreachable(true) })
		}, func(m *member) {
			m.platform.setUnreachable(true)
			m.settings.Peers = []string{"fresh:inner", "entry-2:inner"}
		})
		sim.sleep(30 * time.Second)
		f.check(sim.seesLive("late", "fresh") && sim.seesLive("fresh", "late"), "the replacement and its peer do not see each other")
		for _, id := range others {
			sim.net.setCut(id, "late", false)
			sim.net.setCut(id, "fresh", false)
		}
		sim.sleep(20 * time.Second)
		sim.checkReplacementSeenBy("entry-1", "entry-2", "entry-3", "fresh")
	})
}

// Two live processes of one name do not keep raising their incarnations above each
// other.
func TestProcessesOfOneNameStopRaisingIncarnations(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		first := sim.addNode("late", sim.deployment.DataCentres[0])
		sim.sleep(5 * time.Second)
		sim.addNode("late", sim.deployment.DataCentres[0])
		sim.sleep(10 * time.Second)
		before := sim.incarnation("entry-1", "late")
		sim.sleep(5 * time.Minute)
		f.check(sim.incarnation("entry-1", "late") == before, "the incarnation rose from %d to %d", before, sim.incarnation("entry-1", "late"))
		first.platform.setUnreachable(true)
		first.node.Close()
	})
}

// A replacement reaches the store and no peer. It takes the incarnation that follows
// the one in its row.
func TestReplacementContinuesStoredIncarnation(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		before := uint64(0)
		sim.replaceWithEarlierClock(func() {
			before = sim.incarnation("entry-1", "late")
			for _, id := range sim.nodeIDs() {
				sim.net.setCut(id, "late", true)
			}
		}, func(*member) {})
		sim.sleep(time.Second)
		f.check(sim.incarnation("late", "late") == before+1, "the replacement of incarnation %d starts with %d", before, sim.incarnation("late", "late"))
	})
}
