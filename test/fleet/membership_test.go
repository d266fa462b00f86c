package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/membership"
)

// seesLive reports whether node by considers node id live.
func (sim *simulation) seesLive(by, id string) bool {
	for _, n := range sim.nodes[by].node.Status().Nodes {
		if n.State.ID == id {
			return n.IsLive
		}
	}
	return false
}

// maxGossipDelay is the bound within which gossip reaches the last node from the first
// node that has it.
const maxGossipDelay = 3 * time.Second

// A node crashes without notice. Its data centre, and later the others, detect that in
// time; meanwhile requests are routed around it.
func TestCrashedNodeIsDetected(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 6, engines: 6})
		defer sim.close()
		sim.kill("entry-6")
		for _, id := range sim.nodeIDs() {
			chat := sim.post(id, org, chatPath, chatBody("who is there?", 5), nil)
			f.check(chat.status == http.StatusOK, "chat at %s after the crash: %+v", id, chat)
		}
		sim.sleep(membership.HeartbeatTimeout + maxGossipDelay)
		f.check(!sim.seesLive("entry-3", "entry-6"), "its data centre still considers the crashed node live")
		sim.sleep(membership.DataCentreTimeout - membership.HeartbeatTimeout)
		for _, id := range sim.nodeIDs() {
			f.check(!sim.seesLive(id, "entry-6"), "%s still considers the crashed node live", id)
			for _, r := range sim.nodes[id].node.Status().Replicas {
				f.check(r.Usable && r.Owner != "entry-6", "%s sees replica %s of owner %s, usable: %t", id, r.ID, r.Owner, r.Usable)
			}
		}
	})
}

// Two nodes that can't reach each other stay live for all nodes while others reach
// both, and each still serves callers.
func TestPartlyReachableNodeStaysLive(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 6, engines: 6})
		defer sim.close()
		sim.net.setCut("entry-1", "entry-4", true)
		sim.net.setCut("entry-1", "entry-2", true)
		for range 20 {
			sim.sleep(time.Second)
			for _, by := range sim.nodeIDs() {
				for _, id := range sim.nodeIDs() {
					f.check(sim.seesLive(by, id), "%s considers %s unreachable", by, id)
				}
			}
		}
		for _, id := range sim.nodeIDs() {
			chat := sim.post(id, org, chatPath, chatBody("half there?", 5), nil)
			f.check(chat.status == http.StatusOK, "chat at %s: %+v", id, chat)
		}
	})
}

// A node that starts while the store is down receives all state from one peer named in
// its settings, and serves.
func TestNodeStartsWhileStoreIsDown(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 4})
		defer sim.close()
		newest := sim.applyRevision("before the outage", func(*config.Revision) {})
		sim.sleep(10 * time.Second)
		for _, id := range sim.nodeIDs() {
			sim.nodes[id].platform.setUnreachable(true)
		}
		sim.addNodeWith("late", sim.deployment.DataCentres[0], func(m *member) {
			m.platform.setUnreachable(true)
			m.settings.Peers = []string{"entry-2:inner"}
		})
		sim.sleep(5 * time.Second)
		s := sim.nodes["late"].node.Status()
		f.check(s.Revision.Number == newest.Number, "the late node has revision %d, want %d", s.Revision.Number, newest.Number)
		for _, id := range sim.nodeIDs() {
			f.check(sim.seesLive("late", id) && sim.seesLive(id, "late"), "the late node and %s do not see each other", id)
		}
		chat := sim.post("late", org, chatPath, chatBody("new here?", 5), nil)
		f.check(chat.status == http.StatusOK, "chat at the late node: %+v", chat)
	})
}

// Two parts of a fleet are partitioned for an hour. Both continue to serve, and they
// rejoin without the store.
func TestPartitionedNodesRejoin(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 6, engines: 6})
		defer sim.close()
		for _, id := range sim.nodeIDs() {
			sim.nodes[id].platform.setUnreachable(true)
		}
		left, right := []string{"entry-1", "entry-4"}, []string{"entry-2", "entry-3", "entry-5", "entry-6"}
		setPartition := func(isCut bool) {
			for _, a := range left {
				for _, b := range right {
					sim.net.setCut(a, b, isCut)
				}
			}
		}
		setPartition(true)
		sim.sleep(time.Hour)
		f.check(!sim.seesLive("entry-1", "entry-2") && !sim.seesLive("entry-2", "entry-1"), "the parts still see each other")
		f.check(sim.seesLive("entry-1", "entry-4") && sim.seesLive("entry-2", "entry-6"), "a part no longer sees its own nodes")
		for _, id := range sim.nodeIDs() {
			chat := sim.post(id, org, chatPath, chatBody("alone?", 5), nil)
			f.check(chat.status == http.StatusOK, "chat at %s: %+v", id, chat)
		}
		setPartition(false)
		sim.sleep(15 * time.Second)
		for _, by := range sim.nodeIDs() {
			for _, id := range sim.nodeIDs() {
				f.check(sim.seesLive(by, id), "%s considers %s unreachable after the cut", by, id)
			}
		}
	})
}
