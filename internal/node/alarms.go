package node

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// alarmTimeout bounds how long a request waits for the other nodes to receive a
// crash report.
const alarmTimeout = 300 * time.Millisecond

// inspectTimeout bounds the load query that an owner sends to a replica.
const inspectTimeout = 300 * time.Millisecond

// Alarm implements wire.Handler.
func (h *handler) Alarm(args wire.AlarmArgs, _ *wire.AlarmReply) error {
	h.n.suspects.Merge(time.Now(), args.Suspects)
	return nil
}

// Inspect implements wire.Handler.
func (h *handler) Inspect(args wire.InspectArgs, reply *wire.InspectReply) error {
	ctx, cancel := context.WithTimeout(h.n.processContext, inspectTimeout)
	defer cancel()
	reply.Alive, reply.Owned = h.n.owner.Inspect(ctx, h.n.options.Dialer, args.Replica)
	return nil
}

// crashReporter confirms crashes with owners and sends crash reports to the
// other nodes.
type crashReporter struct {
	n *Node
}

var _ dispatch.CrashReporter = crashReporter{}

// HasCrashed implements dispatch.CrashReporter. If the owner does not answer, this node
// queries the replica itself.
func (c crashReporter) HasCrashed(ctx context.Context, owner, replica, address string) bool {
	if owner != c.n.options.Settings.ID {
		reply := &wire.InspectReply{}
		if c.n.call(ctx, owner, "Inspect", wire.InspectArgs{Replica: replica}, reply) == nil && reply.Owned {
			return !reply.Alive
		}
	}
	_, err := c.n.options.Dialer.Engine(address).Load(ctx)
	return err != nil && ctx.Err() == nil
}

// Publish implements dispatch.CrashReporter.
func (c crashReporter) Publish(ctx context.Context, list []wire.Suspect) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), alarmTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range c.n.members.Snapshot().Nodes {
		if !m.IsLive || m.State.ID == c.n.options.Settings.ID {
			continue
		}
		wg.Go(func() {
			_ = c.n.call(ctx, m.State.ID, "Alarm", wire.AlarmArgs{Suspects: list}, &wire.AlarmReply{})
		})
	}
	wg.Wait()
}

// exchangeSuspects publishes the suspects recorded by this node and merges
// those of other nodes, so that the records outlive the nodes that saw the
// crash.
func (n *Node) exchangeSuspects(now time.Time) {
	for _, m := range n.members.Snapshot().Nodes {
		n.suspects.Merge(now, m.State.Suspects)
	}
	// The state of this node has all records, verdicts among them.
	n.suspects.TakeVerdicts()
	if list, changed := n.suspects.SnapshotIfChanged(now); changed {
		n.members.Update(now, func(s *wire.NodeState) { s.Suspects = list })
	}
}
