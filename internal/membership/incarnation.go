package membership

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Incarnation returns the own start number. It rises once peers or the table
// turn out to know a higher one of the same name.
func (t *Table) Incarnation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation
}

// Raise takes a higher start number than one that is known of this name.
func (t *Table) Raise(now time.Time, above uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if above >= t.incarnation {
		t.raise(now, above)
	}
}

// raise begins a new log under a higher start number, as peers ignore news of
// a lower one. The caller holds mu.
func (t *Table) raise(now time.Time, above uint64) {
	self := *t.nodes[t.id]
	self.state.Incarnation = above + 1
	t.incarnation = above + 1
	t.accepted = false
	t.addNode(&self)
	t.refresh(now)
	t.alarm()
}

// outranked tells whether a message names a higher incarnation of the own
// node. The caller holds mu.
func (t *Table) outranked(news wire.News) bool {
	for _, n := range news.Nodes {
		if n.State.ID == t.id && n.State.Incarnation > t.incarnation {
			return true
		}
	}
	return false
}

// supersede takes a higher incarnation than a predecessor of the own name,
// whose clock was ahead. Where peers have accepted this process already, it
// gives way to a higher one that lives: it was replaced, or shares its name.
// The caller holds mu.
func (t *Table) supersede(now time.Time, news wire.NodeNews) {
	if news.State.Incarnation > t.incarnation && (news.Down || !t.accepted) {
		t.raise(now, news.State.Incarnation)
	}
}
