package dispatch

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// promotion tells of work that was treated as more urgent than its rank.
func promotion(reply wire.AcquireReply) string {
	if !reply.Promoted {
		return ""
	}
	return ", before its rank as its organisation used little of its share"
}

// usedBy returns the tokens that an organisation used through this node over
// the last minute.
func (d *Dispatcher) usedBy(organisation string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used.Tokens(time.Now(), organisation)
}

// use counts the tokens of a place that is given back.
func (d *Dispatcher) use(p *place, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used.Add(time.Now(), p.request.Organisation, tokens)
}
