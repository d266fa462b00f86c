package node

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// reclaimInterval is how often an owner asks the holders of its slots
	// whether they still hold them. Only grants older than this are checked. It
	// is longer than nearly all streams, since each query may need a
	// connection.
	reclaimInterval = time.Minute
	grantsTimeout   = time.Second
	// maxReleaseTries bounds how often a release is sent to an owner that does
	// not answer, releaseRetryInterval is the time between two tries.
	maxReleaseTries      = 15
	releaseRetryInterval = 2 * time.Second
	releaseTimeout       = 2 * time.Second
	// maxReleaseRetries bounds the releases that are retried at the same time.
	maxReleaseRetries = 1024
)

// releaseWithRetry returns a slot to another node and retries while that node
// does not answer. Releases that are given up are found by the owner's queries
// to the holders.
func (n *Node) releaseWithRetry(owner string, args wire.ReleaseArgs) {
	if n.sendRelease(owner, args) == nil {
		return
	}
	defer n.releaseRetries.Add(-1)
	if n.releaseRetries.Add(1) > maxReleaseRetries {
		return
	}
	for range maxReleaseTries - 1 {
		sleep(n.processContext, releaseRetryInterval)
		if n.processContext.Err() != nil || n.sendRelease(owner, args) == nil {
			return
		}
	}
}

func (n *Node) sendRelease(owner string, args wire.ReleaseArgs) error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	return n.call(ctx, owner, "Release", args, &wire.ReleaseReply{})
}

// handover reports the slots that this node holds to the new owners of their
// replicas.
func (n *Node) handover(ctx context.Context) { n.dispatcher.Handover(ctx, n.sendGrants) }

// followOwnership takes over and gives up replicas as the membership view
// changes, and probes new ones at once.
func (n *Node) followOwnership(ctx context.Context) {
	if view := n.members.Snapshot(); view != n.ownershipView {
		n.ownershipView = view
		n.updateOwnedReplicas()
	}
	if n.owner.ProbeNew(ctx, n.options.Dialer, n.isService) {
		n.members.Publish(time.Now(), n.owner.ReplicaStates())
	}
}

// sendGrants reports to an owner the slots that this node holds on its
// replicas.
func (n *Node) sendGrants(ctx context.Context, owner string, args wire.AdoptArgs) (wire.AdoptReply, error) {
	if owner == n.options.Settings.ID {
		return n.takeOverGrants(args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, grantsTimeout)
	defer cancel()
	reply := wire.AdoptReply{}
	err := n.call(ctx, owner, "Adopt", args, &reply)
	return reply, err
}

// takeOverGrants records slots that previous owners granted. If the membership
// view already assigns the replicas to this node, it takes the replicas over
// first.
func (n *Node) takeOverGrants(args wire.AdoptArgs) wire.AdoptReply {
	notOwner := n.owner.TakeOver(args.Places)
	if len(notOwner) > 0 {
		n.updateOwnedReplicas()
		notOwner = n.owner.TakeOver(args.Places)
	}
	return wire.AdoptReply{NotOwner: notOwner}
}

// reclaimLostReleases frees slots whose release message was lost.
func (n *Node) reclaimLostReleases(ctx context.Context) {
	for holder, held := range n.owner.GrantedBefore(time.Now().Add(-reclaimInterval)) {
		unheld, err := n.unheldGrants(ctx, holder, held)
		if err != nil {
			continue
		}
		n.owner.Reclaim(unheld)
	}
}

// unheldGrants asks a holder which of the given slots it no longer holds.
func (n *Node) unheldGrants(ctx context.Context, holder string, held []dispatch.GrantedSlot) ([]dispatch.GrantedSlot, error) {
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
	isUnheld := map[string]bool{}
	for _, g := range reply.Ended {
		isUnheld[g] = true
	}
	var unheld []dispatch.GrantedSlot
	for _, h := range held {
		if isUnheld[h.Grant] {
			unheld = append(unheld, h)
		}
	}
	return unheld, nil
}
