package node

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	settleTimeout = time.Second
	// copyTries is how many nodes are asked to keep a copy.
	copyTries = 2
)

// copies hands copies of bills to other nodes, in another data centre if
// there is one.
type copies struct {
	n *Node
}

var _ ledger.BackupPeers = copies{}

// Backup implements ledger.BackupPeers.
func (c copies) Backup(ctx context.Context, args wire.HoldBillsArgs) wire.Process {
	args.From = c.n.process()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(settleTimeout)
	}
	share := time.Until(deadline) / copyTries
	order := c.n.copyHolders()
	for _, id := range order[:min(len(order), copyTries)] {
		if holder := c.holdAt(ctx, id, args, share); holder != (wire.Process{}) {
			return holder
		}
	}
	return wire.Process{}
}

// holdAt asks one node to keep copies.
func (c copies) holdAt(ctx context.Context, id string, args wire.HoldBillsArgs, wait time.Duration) wire.Process {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply := &wire.HoldBillsReply{}
	if c.n.call(ctx, id, "HoldBills", args, reply) != nil {
		return wire.Process{}
	}
	return reply.Holder
}

// ReportStored implements ledger.BackupPeers.
func (c copies) ReportStored(ctx context.Context, to wire.Process, args wire.HoldBillsArgs) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	args.From = c.n.process()
	return c.n.call(ctx, to.Node, "HoldBills", args, &wire.HoldBillsReply{}) == nil
}

// IsLive implements ledger.BackupPeers.
func (c copies) IsLive(p wire.Process) bool { return c.n.alive(p.Node, p.Incarnation) }

// process names the own process.
func (n *Node) process() wire.Process {
	return wire.Process{Node: n.options.Settings.ID, Incarnation: n.members.Incarnation()}
}

// copyHolders returns the nodes that may keep copies, the preferred first:
// those of other data centres before those of the own.
func (n *Node) copyHolders() []string {
	var far, near []string
	for _, m := range n.members.Snapshot().Nodes {
		switch {
		case !m.Live || m.State.Leaving || m.State.ID == n.options.Settings.ID:
		case m.State.DataCentre != n.options.Settings.DataCentre:
			far = append(far, m.State.ID)
		default:
			near = append(near, m.State.ID)
		}
	}
	key := "bills/" + n.options.Settings.ID
	return append(routing.Rendezvous(far, key), routing.Rendezvous(near, key)...)
}

const (
	// spreadTo is how many nodes get the bills of a node that stops without
	// the table, so that one of them may die before it has copied them on.
	spreadTo    = 2
	spreadBatch = 500
)

// spreadBills hands the bills that are not stored to several nodes.
func (n *Node) spreadBills(ctx context.Context) {
	first, bills := n.bills.Unstored()
	for len(bills) > 0 {
		batch := bills[:min(len(bills), spreadBatch)]
		args := wire.HoldBillsArgs{From: n.process(), First: first, Bills: batch, StoredBelow: first}
		took := 0
		for _, id := range n.copyHolders() {
			if took == spreadTo {
				break
			}
			if (copies{n}).holdAt(ctx, id, args, settleTimeout) != (wire.Process{}) {
				took++
			}
		}
		bills = bills[len(batch):]
		first += uint64(len(batch))
	}
}

// flushWait is how often a leaving node tries to store what it has.
const flushWait = 100 * time.Millisecond

// closeBooks stores outcomes and bills before the process ends, the copies
// kept for others included. Bills that the table does not take are left to
// the nodes that have copies.
func (n *Node) closeBooks(ctx context.Context) {
	for ctx.Err() == nil {
		n.bills.TakeOver(func(wire.Process) bool { return false })
		err := n.bills.Flush(ctx)
		if n.claims.Pending() == 0 && (n.bills.Pending() == 0 || (err != nil && n.bills.CountWithoutBackup() == 0)) {
			return
		}
		pause(ctx, flushWait)
	}
}

// lives are how long rows are kept.
func (n *Node) lives() ledger.Lifetimes {
	s := n.options.Settings
	return ledger.Lifetimes{Claims: s.ClaimLife.Std(), Bills: s.BillLife.Std(), Pins: s.PinLife.Std()}
}

// sweeps returns what tells whether this node removes the old rows of a part.
func (n *Node) sweeps() func(shard string) bool {
	var ids []string
	for _, m := range n.members.Snapshot().Nodes {
		if m.Live && !m.State.Leaving {
			ids = append(ids, m.State.ID)
		}
	}
	return func(shard string) bool { return routing.HighestScoring(ids, "sweep/"+shard) == n.options.Settings.ID }
}
