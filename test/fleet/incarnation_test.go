package fleet

import (
	"net/http"
	"testing"
	"time"
)

// ahead is how far the clock of a node's predecessor was ahead.
const ahead = time.Hour

// replaceWithOldClock starts a node whose clock is an hour ahead, and replaces
// it under the same name after before has been called.
func (w *world) replaceWithOldClock(before func(), edit func(m *member)) {
	centre := w.shape.DataCentres[0]
	w.addNodeWith("late", centre, func(m *member) { m.started = time.Now().Add(ahead) })
	w.sleep(5 * time.Second)
	for _, id := range w.ids() {
		w.faults.check(w.sees(id, "late"), "%s does not see the predecessor", id)
	}
	w.kill("late")
	before()
	w.addNodeWith("late", centre, edit)
}

// seenBy checks that the nodes see each other and that the replacement serves.
func (w *world) seenBy(ids ...string) {
	for _, id := range ids {
		w.faults.check(w.sees(id, "late") && w.sees("late", id), "%s and the replacement do not see each other", id)
		w.faults.check(w.incarnation(id, "late") == w.incarnation("late", "late"), "%s knows the replacement as another process", id)
	}
	chat := w.post("late", org, chatPath, chatBody("new here?", 5), nil)
	w.faults.check(chat.status == http.StatusOK, "chat at the replacement: %+v", chat)
}

// incarnation is that of a node as another knows it.
func (w *world) incarnation(by, id string) uint64 {
	for _, n := range w.nodes[by].node.Status().Nodes {
		if n.State.ID == id {
			return n.State.Incarnation
		}
	}
	return 0
}

// A VM replaced under the same name by one whose clock is an hour behind joins
// within seconds: its row names the predecessor's start.
func TestReplacementWithOldClockJoins(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		w.replaceWithOldClock(func() {}, func(*member) {})
		w.sleep(5 * time.Second)
		w.seenBy("entry-1", "entry-2", "entry-3")
	})
}

// The same with the store away: a peer names the predecessor's start.
func TestReplacementWithOldClockJoinsWithoutStore(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		w.replaceWithOldClock(func() {
			for _, id := range w.ids() {
				w.nodes[id].platform.setAway(true)
			}
		}, func(m *member) {
			m.platform.setAway(true)
			m.settings.Peers = []string{"entry-2:inner"}
		})
		w.sleep(5 * time.Second)
		w.seenBy("entry-1", "entry-2", "entry-3")
	})
}

// The same while the replacement reaches one peer only, that never heard of the
// predecessor, and meets those that did after the cut.
func TestReplacementWithOldClockJoinsAfterCut(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		others := []string{"entry-1", "entry-2", "entry-3"}
		w.replaceWithOldClock(func() {
			for _, id := range others {
				w.nodes[id].platform.setAway(true)
				w.net.cut(id, "late", true)
				w.net.cut(id, "fresh", true)
			}
			w.addNodeWith("fresh", w.shape.DataCentres[0], func(m *member) { m.platform.setAway(true) })
		}, func(m *member) {
			m.platform.setAway(true)
			m.settings.Peers = []string{"fresh:inner", "entry-2:inner"}
		})
		w.sleep(30 * time.Second)
		f.check(w.sees("late", "fresh") && w.sees("fresh", "late"), "the two cut off do not see each other")
		for _, id := range others {
			w.net.cut(id, "late", false)
			w.net.cut(id, "fresh", false)
		}
		w.sleep(20 * time.Second)
		w.seenBy("entry-1", "entry-2", "entry-3", "fresh")
	})
}

// Two live processes of one name do not raise their start numbers against each
// other without end.
func TestProcessesOfOneNameDoNotRace(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		first := w.addNode("late", w.shape.DataCentres[0])
		w.sleep(5 * time.Second)
		w.addNode("late", w.shape.DataCentres[0])
		w.sleep(10 * time.Second)
		before := w.incarnation("entry-1", "late")
		w.sleep(5 * time.Minute)
		f.check(w.incarnation("entry-1", "late") == before, "the start number rose from %d to %d", before, w.incarnation("entry-1", "late"))
		first.platform.setAway(true)
		first.node.Close()
	})
}

// A replacement that reaches the store and no peer takes the number that
// follows the one in its row.
func TestReplacementFollowsItsRow(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		before := uint64(0)
		w.replaceWithOldClock(func() {
			before = w.incarnation("entry-1", "late")
			for _, id := range w.ids() {
				w.net.cut(id, "late", true)
			}
		}, func(*member) {})
		w.sleep(time.Second)
		f.check(w.incarnation("late", "late") == before+1, "the replacement of %d starts as %d", before, w.incarnation("late", "late"))
	})
}
