package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	preemptTimeout = 2 * time.Second
	claimTimeout   = time.Second
	// acquireGrace is how much longer than the requested wait an owner may take
	// to answer.
	acquireGrace = 500 * time.Millisecond
)

// handler serves the RPCs of other nodes.
type handler struct {
	n *Node
}

var _ wire.Handler = (*handler)(nil)

// Exchange implements wire.Handler.
func (h *handler) Exchange(args wire.ExchangeArgs, reply *wire.ExchangeReply) error {
	n := h.n
	*reply = n.members.Answer(time.Now(), args, n.config.Current().Number)
	if from, ok := n.members.Snapshot().Node(args.From); ok && args.Revision > n.config.Current().Number {
		n.startIfIdle("revision/"+args.From, func() {
			ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
			defer cancel()
			n.fetchRevision(ctx, from.State.Inner, args.Revision)
		})
	}
	return nil
}

// Revision implements wire.Handler.
func (h *handler) Revision(args wire.RevisionArgs, reply *wire.RevisionReply) error {
	rev := h.n.config.Current()
	if rev.Number < args.Number {
		return nil
	}
	var err error
	if reply.Revision, err = json.Marshal(rev); err != nil || rev.Hash == args.Hash {
		return err
	}
	body, _, err := rev.Config.Encode()
	if err != nil {
		return err
	}
	reply.Config, err = pack(body)
	return err
}

// Acquire implements wire.Handler.
func (h *handler) Acquire(args wire.AcquireArgs, reply *wire.AcquireReply) error {
	*reply = h.n.acquireAsOwner(args)
	return nil
}

// acquireAsOwner requests a slot from the local owner, within the trace of the
// requester.
func (n *Node) acquireAsOwner(args wire.AcquireArgs) wire.AcquireReply {
	_, span := n.tracer.Start(telemetry.WithRemoteParent(context.Background(), args.Trace), "queue")
	defer span.End(nil)
	span.SetString("replica", args.Replica)
	return n.owner.Acquire(args)
}

// Release implements wire.Handler.
func (h *handler) Release(args wire.ReleaseArgs, _ *wire.ReleaseReply) error {
	h.n.owner.Release(args)
	return nil
}

// Preempt implements wire.Handler.
func (h *handler) Preempt(args wire.PreemptArgs, _ *wire.PreemptReply) error {
	h.n.dispatcher.Pause(args.Grant)
	return nil
}

// Grants implements wire.Handler.
func (h *handler) Grants(args wire.GrantsArgs, reply *wire.GrantsReply) error {
	reply.Ended = h.n.dispatcher.UnheldGrants(args.Grants)
	return nil
}

// Adopt implements wire.Handler.
func (h *handler) Adopt(args wire.AdoptArgs, reply *wire.AdoptReply) error {
	*reply = h.n.takeOverGrants(args)
	return nil
}

// HoldBills implements wire.Handler.
func (h *handler) HoldBills(args wire.HoldBillsArgs, reply *wire.HoldBillsReply) error {
	reply.Holder = h.n.process()
	return h.n.bills.KeepBackups(args)
}

// Claim implements wire.Handler.
func (h *handler) Claim(args wire.ClaimArgs, reply *wire.ClaimReply) error {
	*reply = h.n.claims.AnswerClaimQuery(args)
	return nil
}

// Gather implements wire.Handler.
func (h *handler) Gather(args wire.EvidenceArgs, _ *wire.EvidenceReply) error {
	if h.n.rollouts.hasUndelivered() {
		return errUndelivered
	}
	return h.n.aggregate(args)
}

// Evidence implements wire.Handler.
func (h *handler) Evidence(args wire.EvidenceArgs, _ *wire.EvidenceReply) error {
	return h.n.receiveEvidence(args)
}

// Explain implements wire.Handler.
func (h *handler) Explain(args wire.ExplainArgs, reply *wire.ExplainReply) error {
	reply.Steps = h.n.record.Steps(args.Request)
	return nil
}

// call calls a live node by its name.
func (n *Node) call(ctx context.Context, id, method string, args, reply any) error {
	other, ok := n.members.Snapshot().Node(id)
	if !ok || !other.IsLive {
		return wire.ErrPeerUnreachable
	}
	return n.peers.Call(ctx, other.State.Inner, method, args, reply)
}

// ownerClient sends slot requests to the owners of replicas. Requests to the
// local owner need no RPC.
type ownerClient struct {
	n *Node
}

// Acquire implements dispatch.OwnerClient.
func (c ownerClient) Acquire(ctx context.Context, owner string, args wire.AcquireArgs) (wire.AcquireReply, error) {
	ctx, cancel := context.WithTimeout(ctx, args.Wait+acquireGrace)
	defer cancel()
	if owner == c.n.options.Settings.ID {
		return c.acquireLocal(ctx, args)
	}
	reply := &wire.AcquireReply{}
	if err := c.n.call(ctx, owner, "Acquire", args, reply); err != nil {
		return wire.AcquireReply{}, err
	}
	return *reply, nil
}

func (c ownerClient) acquireLocal(ctx context.Context, args wire.AcquireArgs) (wire.AcquireReply, error) {
	done := make(chan wire.AcquireReply, 1)
	go func() { done <- c.n.acquireAsOwner(args) }()
	select {
	case reply := <-done:
		return reply, nil
	case <-ctx.Done():
		return wire.AcquireReply{}, ctx.Err()
	}
}

// Release implements dispatch.OwnerClient.
func (c ownerClient) Release(owner string, args wire.ReleaseArgs) {
	if owner == c.n.options.Settings.ID {
		c.n.owner.Release(args)
		return
	}
	go c.n.releaseWithRetry(owner, args)
}

// pauseHolder asks the holder of a grant to pause its stream.
func (n *Node) pauseHolder(node, grant string) {
	n.metrics.Preemptions.Inc()
	if node == n.options.Settings.ID {
		n.dispatcher.Pause(grant)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), preemptTimeout)
		defer cancel()
		_ = n.call(ctx, node, "Preempt", wire.PreemptArgs{Grant: grant}, &wire.PreemptReply{})
	}()
}

// askSender queries the node that made a claim about the claim's state.
func (n *Node) askSender(ctx context.Context, id string, args wire.ClaimArgs) (wire.ClaimReply, error) {
	if id == n.options.Settings.ID {
		return n.claims.AnswerClaimQuery(args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply := &wire.ClaimReply{}
	if err := n.call(ctx, id, "Claim", args, reply); err != nil {
		return wire.ClaimReply{}, err
	}
	return *reply, nil
}
