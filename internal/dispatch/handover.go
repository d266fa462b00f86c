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
	// places with its view.
	HandoverInterval = 100 * time.Millisecond
	// handoverRetry is the time between two tries to tell an owner.
	handoverRetry = 500 * time.Millisecond
	// maxOwners bounds the owners that are told of one place's release.
	maxOwners = 3
	// maxTold bounds the places in one message.
	maxTold = 256
)

// Adopter tells an owner of places that this node holds.
type Adopter func(ctx context.Context, owner string, args wire.AdoptArgs) (wire.AdoptReply, error)

// Handover tells the new owners of replicas which places this node holds
// there, where the view shows another owner than the one that counts them.
func (d *Dispatcher) Handover(ctx context.Context, tell Adopter) {
	var wg sync.WaitGroup
	for owner, list := range d.moved(time.Now(), d.View()) {
		wg.Go(func() {
			for part := range slices.Chunk(list, maxTold) {
				d.tell(ctx, owner, part, tell)
			}
		})
	}
	wg.Wait()
}

// moved returns the places to tell of, by owner. From now on their release
// goes to that owner too, as it may overtake the news.
func (d *Dispatcher) moved(now time.Time, view *membership.Snapshot) map[string][]wire.HeldPlace {
	incarnation := d.Incarnation()
	d.mu.Lock()
	defer d.mu.Unlock()
	if view == d.handed && now.Before(d.handAgain) {
		return nil
	}
	d.handed = view
	out := map[string][]wire.HeldPlace{}
	for _, p := range d.places {
		r, ok := view.Replica(p.replica.ID)
		if !ok || r.Owner == "" {
			continue
		}
		p.ownedBy(r.Owner)
		if p.request.Incarnation != incarnation {
			p.request.Incarnation = incarnation
			p.counted = false
		}
		if !p.counted {
			out[r.Owner] = append(out[r.Owner], wire.HeldPlace{Request: p.request, Held: now.Sub(p.since)})
		}
	}
	d.handAgain = now.Add(handoverRetry)
	return out
}

// ownedBy makes a node the owner that counts the place, once it has been told.
func (p *place) ownedBy(owner string) {
	if p.owners[len(p.owners)-1] == owner {
		return
	}
	p.owners = slices.DeleteFunc(p.owners, func(o string) bool { return o == owner })
	p.owners = append(p.owners, owner)
	p.owners = p.owners[max(len(p.owners)-maxOwners, 0):]
	p.counted = false
}

// tell hands a list to one owner. An owner that does not know the message is
// not asked again.
func (d *Dispatcher) tell(ctx context.Context, owner string, list []wire.HeldPlace, tell Adopter) {
	reply, err := tell(ctx, owner, wire.AdoptArgs{Places: list})
	if err != nil && !errors.Is(err, wire.ErrUnsupported) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range list {
		p := d.places[h.Request.Grant]
		if p != nil && p.owners[len(p.owners)-1] == owner {
			p.counted = !slices.Contains(reply.NotOwner, h.Request.Grant)
		}
	}
}

// take notes a granted place.
func (d *Dispatcher) take(p *place) {
	p.since = time.Now()
	p.counted = true
	p.request.Trace = ""
	d.mu.Lock()
	defer d.mu.Unlock()
	d.places[p.request.Grant] = p
}

// owner returns the owner that counts the place.
func (d *Dispatcher) owner(p *place) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.owners[len(p.owners)-1]
}

// give ends a place and returns the owners that may count it.
func (d *Dispatcher) give(p *place) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.places, p.request.Grant)
	delete(d.pauses, p.request.Grant)
	return p.owners
}
