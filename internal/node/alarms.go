package node

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// alarmWait bounds how long a request waits until the others know of a crash.
const alarmWait = 300 * time.Millisecond

// inspectTimeout bounds an owner's question to a replica.
const inspectTimeout = 300 * time.Millisecond

// Alarm implements wire.Handler.
func (h *handler) Alarm(args wire.AlarmArgs, _ *wire.AlarmReply) error {
	h.n.suspects.Merge(time.Now(), args.Suspects)
	return nil
}

// Inspect implements wire.Handler.
func (h *handler) Inspect(args wire.InspectArgs, reply *wire.InspectReply) error {
	ctx, cancel := context.WithTimeout(h.n.life, inspectTimeout)
	defer cancel()
	reply.Alive, reply.Owned = h.n.owner.Inspect(ctx, h.n.options.Dialer, args.Replica)
	return nil
}

// alarms reaches the other nodes.
type alarms struct {
	n *Node
}

var _ dispatch.CrashReporter = alarms{}

// HasCrashed implements dispatch.CrashReporter. Where the owner does not answer, this node
// asks the replica itself.
func (a alarms) HasCrashed(ctx context.Context, owner, replica, address string) bool {
	if owner != a.n.options.Settings.ID {
		reply := &wire.InspectReply{}
		if a.n.call(ctx, owner, "Inspect", wire.InspectArgs{Replica: replica}, reply) == nil && reply.Owned {
			return !reply.Alive
		}
	}
	_, err := a.n.options.Dialer.Engine(address).Load(ctx)
	return err != nil && ctx.Err() == nil
}

// Publish implements dispatch.CrashReporter.
func (a alarms) Publish(ctx context.Context, list []wire.Suspect) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), alarmWait)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range a.n.members.Snapshot().Nodes {
		if !m.Live || m.State.ID == a.n.options.Settings.ID {
			continue
		}
		wg.Go(func() {
			_ = a.n.call(ctx, m.State.ID, "Alarm", wire.AlarmArgs{Suspects: list}, &wire.AlarmReply{})
		})
	}
	wg.Wait()
}

// shareSuspects publishes what this node knows and takes what others do, so
// that the record outlives the nodes that saw the crash.
func (n *Node) shareSuspects(now time.Time) {
	for _, m := range n.members.Snapshot().Nodes {
		n.suspects.Merge(now, m.State.Suspects)
	}
	if list, changed := n.suspects.SnapshotIfChanged(now); changed {
		n.members.Update(now, func(s *wire.NodeState) { s.Suspects = list })
	}
}
