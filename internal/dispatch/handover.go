package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// HandoverInterval is how often a node compares the owners that count its
	// slots with its view.
	HandoverInterval = 100 * time.Millisecond
	// handoverRetryInterval is the time between two reports of a slot to an
	// owner.
	handoverRetryInterval = 500 * time.Millisecond
	// maxOwners bounds the owners that are notified of one slot's release.
	maxOwners = 3
	// maxSlotsPerMessage bounds the slots in one message.
	maxSlotsPerMessage = 256
)

// HandoverFunc reports the slots that this node holds to an owner.
type HandoverFunc func(ctx context.Context, owner string, args wire.AdoptArgs) (wire.AdoptReply, error)

// Handover reports the slots that this node holds to the new owners of their
// replicas, wherever the view shows another owner than the one that counts
// them.
func (d *Dispatcher) Handover(ctx context.Context, send HandoverFunc) {
	var wg sync.WaitGroup
	for owner, list := range d.movedSlots(time.Now(), d.View()) {
		wg.Go(func() {
			for chunk := range slices.Chunk(list, maxSlotsPerMessage) {
				d.reportSlots(ctx, owner, chunk, send)
			}
		})
	}
	wg.Wait()
}

// movedSlots returns the slots to report, by owner. From now on their release
// is sent to that owner as well, because the release may arrive before the
// report.
func (d *Dispatcher) movedSlots(now time.Time, view *membership.Snapshot) map[string][]wire.HeldPlace {
	incarnation := d.Incarnation()
	d.mu.Lock()
	defer d.mu.Unlock()
	if view == d.comparedView && now.Before(d.reportAgainAt) {
		return nil
	}
	d.comparedView = view
	out := map[string][]wire.HeldPlace{}
	for _, sl := range d.slots {
		r, ok := view.Replica(sl.replica.ID)
		if !ok || r.Owner == "" {
			continue
		}
		sl.setOwner(r.Owner)
		if sl.request.Incarnation != incarnation {
			sl.request.Incarnation = incarnation
			sl.isCounted = false
		}
		if !sl.isCounted {
			out[r.Owner] = append(out[r.Owner], wire.HeldPlace{Request: sl.request, Held: now.Sub(sl.grantedAt)})
		}
	}
	d.reportAgainAt = now.Add(handoverRetryInterval)
	return out
}

// setOwner makes a node the owner that counts the slot. The slot is not counted
// until it was reported to that node.
func (sl *slot) setOwner(owner string) {
	if sl.owners[len(sl.owners)-1] == owner {
		return
	}
	sl.owners = slices.DeleteFunc(sl.owners, func(o string) bool { return o == owner })
	sl.owners = append(sl.owners, owner)
	sl.owners = sl.owners[max(len(sl.owners)-maxOwners, 0):]
	sl.isCounted = false
}

// reportSlots sends a list of slots to one owner. An owner that does not
// support the message is not asked again.
func (d *Dispatcher) reportSlots(ctx context.Context, owner string, list []wire.HeldPlace, send HandoverFunc) {
	reply, err := send(ctx, owner, wire.AdoptArgs{Places: list})
	if err != nil && !errors.Is(err, wire.ErrUnsupported) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range list {
		sl := d.slots[h.Request.Grant]
		if sl != nil && sl.owners[len(sl.owners)-1] == owner {
			sl.isCounted = !slices.Contains(reply.NotOwner, h.Request.Grant)
		}
	}
}

// addSlot records a granted slot.
func (d *Dispatcher) addSlot(sl *slot) {
	sl.grantedAt = time.Now()
	sl.isCounted = true
	sl.request.Trace = ""
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots[sl.request.Grant] = sl
}

// countingOwner returns the owner that counts the slot.
func (d *Dispatcher) countingOwner(sl *slot) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sl.owners[len(sl.owners)-1]
}

// removeSlot removes a slot and returns the owners that may count it.
func (d *Dispatcher) removeSlot(sl *slot) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.slots, sl.request.Grant)
	delete(d.pauseSignals, sl.request.Grant)
	return sl.owners
}
