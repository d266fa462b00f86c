package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/membership"
)

// sees tells whether the node named by takes the one named id for live.
func (w *world) sees(by, id string) bool {
	for _, n := range w.nodes[by].node.Status().Nodes {
		if n.State.ID == id {
			return n.IsLive
		}
	}
	return false
}

// spread is the time that news may take from the first node that has it to
// the last.
const spread = 3 * time.Second

// A node that dies without a word is found dead in its data centre and
// elsewhere in time; meanwhile requests find their way around it.
func TestDeadNodeIsFoundOut(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{nodes: 6, engines: 6})
		defer w.close()
		w.kill("entry-6")
		for _, id := range w.ids() {
			chat := w.post(id, org, chatPath, chatBody("who is there?", 5), nil)
			f.check(chat.status == http.StatusOK, "chat at %s after the death: %+v", id, chat)
		}
		w.sleep(membership.HeartbeatTimeout + spread)
		f.check(!w.sees("entry-3", "entry-6"), "the data centre still takes the dead node for live")
		w.sleep(membership.DataCentreTimeout - membership.HeartbeatTimeout)
		for _, id := range w.ids() {
			f.check(!w.sees(id, "entry-6"), "%s still takes the dead node for live", id)
			for _, r := range w.nodes[id].node.Status().Replicas {
				f.check(r.Usable && r.Owner != "entry-6", "%s sees replica %s of owner %s, usable: %t", id, r.ID, r.Owner, r.Usable)
			}
		}
	})
}

// Two nodes that cannot reach each other stay live for all while others reach
// both, and each still serves callers.
func TestHalfReachableNodeStaysLive(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{nodes: 6, engines: 6})
		defer w.close()
		w.net.cut("entry-1", "entry-4", true)
		w.net.cut("entry-1", "entry-2", true)
		for range 20 {
			w.sleep(time.Second)
			for _, by := range w.ids() {
				for _, id := range w.ids() {
					f.check(w.sees(by, id), "%s takes %s for dead", by, id)
				}
			}
		}
		for _, id := range w.ids() {
			chat := w.post(id, org, chatPath, chatBody("half there?", 5), nil)
			f.check(chat.status == http.StatusOK, "chat at %s: %+v", id, chat)
		}
	})
}

// A node that starts while the store is down learns all from one peer named
// in its settings, and serves.
func TestNodeStartsWhileStoreIsDown(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{nodes: 4})
		defer w.close()
		newest := w.apply("before the outage", func(*config.Revision) {})
		w.sleep(10 * time.Second)
		for _, id := range w.ids() {
			w.nodes[id].platform.setAway(true)
		}
		w.addNodeWith("late", w.shape.DataCentres[0], func(m *member) {
			m.platform.setAway(true)
			m.settings.Peers = []string{"entry-2:inner"}
		})
		w.sleep(5 * time.Second)
		s := w.nodes["late"].node.Status()
		f.check(s.Revision.Number == newest.Number, "the late node has revision %d, not %d", s.Revision.Number, newest.Number)
		for _, id := range w.ids() {
			f.check(w.sees("late", id) && w.sees(id, "late"), "the late node and %s do not see each other", id)
		}
		chat := w.post("late", org, chatPath, chatBody("new here?", 5), nil)
		f.check(chat.status == http.StatusOK, "chat at the late node: %+v", chat)
	})
}

// Two parts of a fleet that lose each other for an hour serve on, and find
// each other again without the store.
func TestPartsFindEachOtherAgain(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{nodes: 6, engines: 6})
		defer w.close()
		for _, id := range w.ids() {
			w.nodes[id].platform.setAway(true)
		}
		left, right := []string{"entry-1", "entry-4"}, []string{"entry-2", "entry-3", "entry-5", "entry-6"}
		apart := func(apart bool) {
			for _, a := range left {
				for _, b := range right {
					w.net.cut(a, b, apart)
				}
			}
		}
		apart(true)
		w.sleep(time.Hour)
		f.check(!w.sees("entry-1", "entry-2") && !w.sees("entry-2", "entry-1"), "the parts still see each other")
		f.check(w.sees("entry-1", "entry-4") && w.sees("entry-2", "entry-6"), "a part lost its own nodes")
		for _, id := range w.ids() {
			chat := w.post(id, org, chatPath, chatBody("alone?", 5), nil)
			f.check(chat.status == http.StatusOK, "chat at %s: %+v", id, chat)
		}
		apart(false)
		w.sleep(15 * time.Second)
		for _, by := range w.ids() {
			for _, id := range w.ids() {
				f.check(w.sees(by, id), "%s takes %s for dead after the cut", by, id)
			}
		}
	})
}
