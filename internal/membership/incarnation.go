package membership

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Incarnation returns the incarnation of the local node. It rises when peers or the
// platform's table have a higher one under the same name.
func (t *Table) Incarnation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation
}

// RaiseAbove raises the incarnation of the local node above the given one, unless it is
// higher already.
func (t *Table) RaiseAbove(now time.Time, above uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if above >= t.incarnation {
		t.raiseIncarnation(now, above)
	}
}

// raiseIncarnation starts a new log under a higher incarnation, since peers ignore
// updates of a lower one. The caller holds mu.
func (t *Table) raiseIncarnation(now time.Time, above uint64) {
	self := *t.nodes[t.id]
	self.state.Incarnation = above + 1
	t.incarnation = above + 1
	t.isAccepted = false
	t.addNode(&self)
	t.refresh(now)
	t.onUrgent()
}

// hasHigherIncarnation reports whether a message contains a higher incarnation of the
// local node. The caller holds mu.
func (t *Table) hasHigherIncarnation(update wire.News) bool {
	for _, n := range update.Nodes {
		if n.State.ID == t.id && n.State.Incarnation > t.incarnation {
			return true
		}
	}
	return false
}

// supersede raises the incarnation above that of a predecessor of the same name whose
// clock was ahead. If peers have accepted this process already, it yields to a higher
// incarnation that is live: it was replaced, or another node has its name. The caller
// holds mu.
func (t *Table) supersede(now time.Time, update wire.NodeNews) {
	if update.State.Incarnation > t.incarnation && (update.Down || !t.isAccepted) {
		t.raiseIncarnation(now, update.State.Incarnation)
	}
}
