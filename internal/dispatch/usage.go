package dispatch

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// promotionText returns the part of a record step that says that the work was
// promoted above its rank, or "".
func promotionText(reply wire.AcquireReply) string {
	if !reply.Promoted {
		return ""
	}
	return ", before its rank as its organisation used little of its share"
}

// recentUsage returns the tokens that an organisation used through this node
// over the last minute.
func (d *Dispatcher) recentUsage(organisation string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usage.Tokens(time.Now(), organisation)
}

// recordUsage counts the tokens of a released slot.
func (d *Dispatcher) recordUsage(sl *slot, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.usage.Add(time.Now(), sl.request.Organisation, tokens)
}
