package node

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// grantsInterval is how often an owner asks the holders of its places
	// whether they still hold them, once they have for as long: longer than
	// nearly all streams last, as each question may need a connection.
	grantsInterval = time.Minute
	grantsTimeout  = time.Second
	// releaseTries bounds how often a release is sent whose owner does not
	// answer, releaseRetry is the time between.
	releaseTries   = 15
	releaseRetry   = 2 * time.Second
	releaseTimeout = 2 * time.Second
	// maxReleases bounds the releases that are sent again.
	maxReleases = 1024
)

// release gives a place back to another node, again while that does not
// answer. What it gives up on, the owner's question to the holders finds.
func (n *Node) release(owner string, args wire.ReleaseArgs) {
	if n.sendRelease(owner, args) == nil {
		return
	}
	defer n.releases.Add(-1)
	if n.releases.Add(1) > maxReleases {
		return
	}
	for range releaseTries - 1 {
		pause(n.life, releaseRetry)
		if n.life.Err() != nil || n.sendRelease(owner, args) == nil {
			return
		}
	}
}

func (n *Node) sendRelease(owner string, args wire.ReleaseArgs) error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	return n.call(ctx, owner, "Release", args, &wire.ReleaseReply{})
}

// handover tells new owners of the places that this node holds.
func (n *Node) handover(ctx context.Context) { n.dispatcher.Handover(ctx, n.tellOwner) }

// followOwners takes on and gives up replicas as the view changes, and asks
// the new ones for their load at once.
func (n *Node) followOwners(ctx context.Context) {
	if view := n.members.Snapshot(); view != n.owned {
		n.owned = view
		n.own()
	}
	if n.owner.ProbeNew(ctx, n.options.Dialer, n.isService) {
		n.members.Publish(time.Now(), n.owner.ReplicaStates())
	}
}

// tellOwner tells an owner of places that this node holds on its replicas.
func (n *Node) tellOwner(ctx context.Context, owner string, args wire.AdoptArgs) (wire.AdoptReply, error) {
	if owner == n.options.Settings.ID {
		return n.adopt(args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, grantsTimeout)
	defer cancel()
	reply := wire.AdoptReply{}
	err := n.call(ctx, owner, "Adopt", args, &reply)
	return reply, err
}

// adopt counts places that other owners granted. Where the own view shows the
// replicas as this node's, it takes them on first.
func (n *Node) adopt(args wire.AdoptArgs) wire.AdoptReply {
	notOwner := n.owner.TakeOver(args.Places)
	if len(notOwner) > 0 {
		n.own()
		notOwner = n.owner.TakeOver(args.Places)
	}
	return wire.AdoptReply{NotOwner: notOwner}
}

// reclaim frees places whose release was lost on the way.
func (n *Node) reclaim(ctx context.Context) {
	for holder, held := range n.owner.GrantedBefore(time.Now().Add(-grantsInterval)) {
		ended, err := n.ended(ctx, holder, held)
		if err != nil {
			continue
		}
		n.owner.Reclaim(ended)
	}
}

// ended asks a holder which of the places it does not hold any more.
func (n *Node) ended(ctx context.Context, holder string, held []dispatch.GrantedSlot) ([]dispatch.GrantedSlot, error) {
	args := wire.GrantsArgs{}
	for _, h := range held {
		args.Grants = append(args.Grants, h.Grant)
	}
	reply := &wire.GrantsReply{}
	if holder == n.options.Settings.ID {
		reply.Ended = n.dispatcher.UnheldGrants(args.Grants)
	} else {
		ctx, cancel := context.WithTimeout(ctx, grantsTimeout)
		defer cancel()
		if err := n.call(ctx, holder, "Grants", args, reply); err != nil {
			return nil, err
		}
	}
	over := map[string]bool{}
	for _, g := range reply.Ended {
		over[g] = true
	}
	var out []dispatch.GrantedSlot
	for _, h := range held {
		if over[h.Grant] {
			out = append(out, h)
		}
	}
	return out, nil
}
