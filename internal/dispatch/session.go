package dispatch

import (
	"context"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// pin puts a new session on its version, or moves one whose version was
// withdrawn.
func (d *Dispatcher) pin(ctx context.Context, a *answer, old config.Target, targets []config.Target) ([]config.Target, error) {
	if old != (config.Target{}) {
		d.Record.Add(a.req.ID, "session moved from %s to %s", old, targets[0])
		if err := d.Pins.Move(ctx, a.req.Organisation, a.req.Session, targets[0]); err != nil {
			d.Record.Add(a.req.ID, "the session's move could not be stored: %s", err)
		}
		return targets[:1], nil
	}
	got, err := d.Pins.Set(ctx, a.req.Organisation, a.req.Session, targets[0])
	if err != nil {
		d.Record.Add(a.req.ID, "the session's version could not be stored: %s", err)
	}
	return []config.Target{got}, nil
}
