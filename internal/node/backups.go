package node

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	backupTimeout = time.Second
	// backupTries is how many nodes are asked, one after another, to store a
	// backup.
	backupTries = 2
)

// backups sends backups of bills to other nodes, in another data centre if there
// is one.
type backups struct {
	n *Node
}

var _ ledger.BackupPeers = backups{}

// Backup implements ledger.BackupPeers.
func (b backups) Backup(ctx context.Context, args wire.HoldBillsArgs) wire.Process {
	args.From = b.n.process()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(backupTimeout)
	}
	timeout := time.Until(deadline) / backupTries
	nodes := b.n.backupNodes()
	for _, id := range nodes[:min(len(nodes), backupTries)] {
		if holder := b.storeAt(ctx, id, args, timeout); holder != (wire.Process{}) {
			return holder
		}
	}
	return wire.Process{}
}

// storeAt asks one node to store backups. It returns the zero Process on
// failure.
func (b backups) storeAt(ctx context.Context, id string, args wire.HoldBillsArgs, wait time.Duration) wire.Process {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply := &wire.HoldBillsReply{}
	if b.n.call(ctx, id, "HoldBills", args, reply) != nil {
		return wire.Process{}
	}
	return reply.Holder
}

// ReportStored implements ledger.BackupPeers.
func (b backups) ReportStored(ctx context.Context, to wire.Process, args wire.HoldBillsArgs) bool {
	ctx, cancel := context.WithTimeout(ctx, backupTimeout)
	defer cancel()
	args.From = b.n.process()
	return b.n.call(ctx, to.Node, "HoldBills", args, &wire.HoldBillsReply{}) == nil
}

// IsLive implements ledger.BackupPeers.
func (b backups) IsLive(p wire.Process) bool { return b.n.isLive(p.Node, p.Incarnation) }

// process returns the identity of the local process.
func (n *Node) process() wire.Process {
	return wire.Process{Node: n.options.Settings.ID, Incarnation: n.members.Incarnation()}
}

// backupNodes returns the nodes that may store backups, in order of preference:
// those of other data centres before those of the local one.
func (n *Node) backupNodes() []string {
	var remote, local []string
	for _, m := range n.members.Snapshot().Nodes {
		switch {
		case !m.IsLive || m.State.Leaving || m.State.ID == n.options.Settings.ID:
		case m.State.DataCentre != n.options.Settings.DataCentre:
			remote = append(remote, m.State.ID)
		default:
			local = append(local, m.State.ID)
		}
	}
	key := "bills/" + n.options.Settings.ID
	return append(routing.Rendezvous(remote, key), routing.Rendezvous(local, key)...)
}

const (
	// handOffBackups is how many nodes receive the bills of a node that shuts
	// down while the table is unavailable. With two, one of them may fail
	// before it has backed the bills up in turn.
	handOffBackups = 2
	handOffBatch   = 500
)

// handOffBills sends the unstored bills to several nodes.
func (n *Node) handOffBills(ctx context.Context) {
	first, bills := n.bills.Unstored()
	for len(bills) > 0 {
		batch := bills[:min(len(bills), handOffBatch)]
		args := wire.HoldBillsArgs{From: n.process(), First: first, Bills: batch, StoredBelow: first}
		stored := 0
		for _, id := range n.backupNodes() {
			if stored == handOffBackups {
				break
			}
			if (backups{n}).storeAt(ctx, id, args, backupTimeout) != (wire.Process{}) {
				stored++
			}
		}
		bills = bills[len(batch):]
		first += uint64(len(batch))
	}
}

// flushRetryInterval is the time between two attempts of a node that shuts down
// to store its bills and outcomes.
const flushRetryInterval = 100 * time.Millisecond

// flushLedger stores outcomes and bills before the process ends, including
// backups kept for other nodes. Bills that the table does not accept are left
// to the nodes that have backups of them.
func (n *Node) flushLedger(ctx context.Context) {
	for ctx.Err() == nil {
		n.bills.TakeOver(func(wire.Process) bool { return false })
		err := n.bills.Flush(ctx)
		if n.claims.Pending() == 0 && (n.bills.Pending() == 0 || (err != nil && n.bills.CountWithoutBackup() == 0)) {
			return
		}
		sleep(ctx, flushRetryInterval)
	}
}

// rowLifetimes returns how long rows of each kind are kept.
func (n *Node) rowLifetimes() ledger.Lifetimes {
	s := n.options.Settings
	return ledger.Lifetimes{Claims: s.ClaimLifetime.Std(), Bills: s.BillLifetime.Std(), Pins: s.PinLifetime.Std()}
}

// sweepAssignment returns a function that reports whether this node removes the
// expired rows of a shard.
func (n *Node) sweepAssignment() func(shard string) bool {
	var ids []string
	for _, m := range n.members.Snapshot().Nodes {
		if m.IsLive && !m.State.Leaving {
			ids = append(ids, m.State.ID)
		}
	}
	return func(shard string) bool { return routing.HighestScoring(ids, "sweep/"+shard) == n.options.Settings.ID }
}
