package dispatch

import (
	"context"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// pinID identifies the pin of a request's session. A request without a
// session, or that names its version, has none.
func pinID(req *ChatRequest) (ledger.PinID, bool) {
	return ledger.PinID{Organisation: req.Organisation, Session: req.Session, RequestedModel: req.Asked.Model}, req.Session != "" && req.Asked.Version == ""
}

// pin puts a new session on the preferred version, or moves one that may not
// keep its own; the session's home decides. Without the table it is the first
// of the configured order, which is the same at all nodes.
func (d *Dispatcher) pin(ctx context.Context, a *answer, id ledger.PinID, old, configured config.Target, targets []config.Target) []config.Target {
	rev := d.Config.Current()
	for range maxPinMoves {
		got := d.Pins.Decide(ctx, id, old, targets[0], configured)
		if got == targets[0] || got == configured || routing.Allowed(rev, a.req.Organisation, got) {
			if old != (config.Target{}) {
				d.Record.Add(a.req.ID, "session moved from %s, which is no longer allowed, to %s", old, got)
			} else {
				d.Record.Add(a.req.ID, "session begins on %s", got)
			}
			return []config.Target{got}
		}
		old = got
	}
	return targets[:1]
}

// maxPinMoves bounds how often a request proposes a version for its session.
const maxPinMoves = 3
