package dispatch

import (
	"context"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// pinID returns the ID of the pin of a request's session. It returns false if
// the request has no session or names its version.
func pinID(req *ChatRequest) (ledger.PinID, bool) {
	return ledger.PinID{Organisation: req.Organisation, Session: req.Session, RequestedModel: req.Asked.Model}, req.Session != "" && req.Asked.Version == ""
}

// pinSession pins a new session to the preferred version, or moves a session
// whose version is no longer allowed. The home node of the session decides. If
// the pin table is not available, the decision is the first version of the
// configured order, which is the same on all nodes.
func (d *Dispatcher) pinSession(ctx context.Context, a *answer, id ledger.PinID, old, configured config.Target, targets []config.Target) []config.Target {
	rev := d.Config.Current()
	for range maxPinMoves {
		decided := d.Pins.Decide(ctx, id, old, targets[0], configured)
		if decided == targets[0] || decided == configured || routing.IsAllowed(rev, a.req.Organisation, decided) {
			if old != (config.Target{}) {
				d.Record.Add(a.req.ID, "session moved from %s, which is no longer allowed, to %s", old, decided)
			} else {
				d.Record.Add(a.req.ID, "session begins on %s", decided)
			}
			return []config.Target{decided}
		}
		old = decided
	}
	return targets[:1]
}

// maxPinMoves bounds how often one request proposes a version for its session.
const maxPinMoves = 3
