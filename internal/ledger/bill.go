package ledger

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Limits and intervals for storing bills.
const (
	// billBatch is the maximum number of bills in one transaction.
	billBatch = 100
	// flushInterval is the minimum time between transactions unless a batch is
	// full. backupInterval is the approximate interval at which backups are
	// refreshed.
	flushInterval  = 10 * time.Second
	backupInterval = 2 * time.Second
	// backupTimeout bounds how long an answer waits for the backup of its bill.
	backupTimeout = 100 * time.Millisecond
	// maxPending bounds the bills that wait for the table. The same bound holds for
	// the backups kept for other nodes.
	maxPending = 200_000
	billPrefix = "bill/"
)

// BillKey returns the table key of a request's bill.
func BillKey(request string) string { return billPrefix + request }

// BackupPeers sends backups of unstored bills to other nodes.
type BackupPeers interface {
	// Backup sends backups. It returns the process that has accepted them, or the
	// zero value if none has before ctx ended.
	Backup(ctx context.Context, args wire.HoldBillsArgs) wire.Process
	// ReportStored sends a process the number below which all bills are stored, and
	// reports whether the process received it.
	ReportStored(ctx context.Context, to wire.Process, args wire.HoldBillsArgs) bool
	// IsLive reports whether a process still runs, as far as this node can tell.
	IsLive(p wire.Process) bool
}

// pendingBill is a bill that is not stored yet.
type pendingBill struct {
	bill wire.Bill
	// copy is the process that keeps a backup, if any.
	copy wire.Process
}

// Bills stores one bill for each request. It buffers bills, has a second node
// keep a backup of each until it is stored, and keeps such backups for other
// nodes. Pins are stored in the same transactions. It is safe for concurrent
// use. No lock is held during a call to the table or to another node.
type Bills struct {
	table infra.Table
	peers BackupPeers
	pins  *Pins
	wake  chan struct{}

	flushing chan struct{} // holds a token while a flush is in progress

	mu          sync.Mutex
	pending     []pendingBill                  // guarded by mu; numbered from first without gaps
	first       uint64                         // guarded by mu; number of pending[0], or of the next bill
	holders     map[wire.Process]*backupHolder // guarded by mu; processes that keep backups for this one
	backups     map[wire.Process]*keptBackups  // guarded by mu; backups kept for others
	backupCount int                            // guarded by mu; number of bills in backups
	lastFlush   time.Time                      // guarded by mu; time of the last successful flush
}

// NewBills returns an empty buffer of bills that also stores the given pins.
// peers and pins may be nil.
func NewBills(table infra.Table, peers BackupPeers, pins *Pins) *Bills {
	if pins == nil {
		pins = NewPins(table, nil)
	}
	return &Bills{
		table: table, peers: peers, pins: pins, wake: make(chan struct{}, 1), flushing: make(chan struct{}, 1), first: 1,
		holders: map[wire.Process]*backupHolder{}, backups: map[wire.Process]*keptBackups{},
	}
}

// Add buffers a bill to be stored with the next batch. It returns once a second
// node has a backup, after backupTimeout at the latest.
func (b *Bills) Add(ctx context.Context, bill wire.Bill) {
	number := b.enqueue(bill)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), backupTimeout)
	defer cancel()
	b.sendBackups(ctx, number, []wire.Bill{bill})
}

// enqueue appends bills and returns the number of the first one.
func (b *Bills) enqueue(bills ...wire.Bill) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	number := b.first + uint64(len(b.pending))
	for _, bill := range bills {
		b.pending = append(b.pending, pendingBill{bill: bill})
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return number
}

// Pending returns the number of bills that are not stored yet.
func (b *Bills) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// HasRoom reports whether another request may be served. Without room its bill
// could be lost, which must never happen.
func (b *Bills) HasRoom() bool { return b.Pending() < maxPending }

// Run stores bills and pins and refreshes the backups of bills until ctx ends.
func (b *Bills) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-b.pins.wake:
		}
		for b.hasWork() && ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(backupInterval/2 + rand.N(backupInterval)):
			}
			if b.isFlushDue(time.Now()) {
				_ = b.Flush(ctx)
			}
			b.refreshBackups(ctx)
		}
	}
}

// hasWork reports whether bills or pins wait for the table, or holders still keep
// backups of bills.
func (b *Bills) hasWork() bool {
	b.mu.Lock()
	isWaiting := len(b.pending) > 0 || len(b.holders) > 0
	b.mu.Unlock()
	return isWaiting || b.pins.UnstoredCount() > 0
}

// isFlushDue reports whether it is time to store what is buffered.
func (b *Bills) isFlushDue(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) >= billBatch || now.Sub(b.lastFlush) >= flushInterval
}

// Flush stores the bills and pins that are buffered now, in batches.
func (b *Bills) Flush(ctx context.Context) error {
	select {
	case b.flushing <- struct{}{}:
		defer func() { <-b.flushing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	conflicts := 0
	for left := b.Pending(); ; {
		var pins []unstoredPin
		if conflicts < maxPinTries {
			pins = b.pins.nextBatch(ctx)
		}
		if left <= 0 && len(pins) == 0 {
			return nil
		}
		n, err := b.flushBatch(ctx, pins)
		if err != nil && !errors.Is(err, infra.ErrConflict) {
			return err
		}
		if err != nil {
			conflicts++
		}
		left -= n
	}
}

// flushBatch stores the oldest bills and the given pins and returns the number
// of bills stored. Only one flush runs at a time. It returns ErrConflict if the
// pins were not stored.
func (b *Bills) flushBatch(ctx context.Context, pins []unstoredPin) (int, error) {
	b.mu.Lock()
	batch := make([]wire.Bill, min(len(b.pending), billBatch-len(pins)))
	for i := range batch {
		batch[i] = b.pending[i].bill
	}
	b.mu.Unlock()
	conflict, err := b.storeBillsAndPins(ctx, batch, pins)
	if err != nil {
		return 0, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first += uint64(len(batch))
	b.pending = append([]pendingBill(nil), b.pending[len(batch):]...)
	b.lastFlush = time.Now()
	return len(batch), conflict
}

// storeBillsAndPins stores bills and pins in one transaction. If it conflicts,
// the bills are stored without the pins and conflict is set.
func (b *Bills) storeBillsAndPins(ctx context.Context, batch []wire.Bill, pins []unstoredPin) (conflict, err error) {
	if len(pins) == 0 {
		return nil, b.store(ctx, batch)
	}
	ops, err := billOps(batch)
	if err != nil {
		return nil, err
	}
	for _, u := range pins {
		op, err := pinOp(u)
		if err != nil {
			return nil, err
		}
		ops = append(ops, op)
	}
	versions, err := b.table.Commit(ctx, ops...)
	if err == nil {
		versions = versions[len(batch):]
	}
	b.pins.recordWrite(pins, versions, err)
	if errors.Is(err, infra.ErrConflict) {
		return err, b.store(ctx, batch)
	}
	return nil, err
}

// store inserts a batch in one transaction. If one of its bills is already
// stored, the transaction conflicts. The batch is then halved down to that bill,
// which needs no write.
func (b *Bills) store(ctx context.Context, batch []wire.Bill) error {
	if len(batch) == 0 {
		return nil
	}
	ops, err := billOps(batch)
	if err != nil {
		return err
	}
	_, err = b.table.Commit(ctx, ops...)
	if !errors.Is(err, infra.ErrConflict) {
		return err
	}
	if len(batch) == 1 {
		return nil
	}
	half := len(batch) / 2
	if err := b.store(ctx, batch[:half]); err != nil {
		return err
	}
	return b.store(ctx, batch[half:])
}

// billOps returns the operations that insert bills.
func billOps(batch []wire.Bill) ([]infra.Op, error) {
	ops := make([]infra.Op, len(batch))
	for i, bill := range batch {
		op, err := billOp(bill)
		if err != nil {
			return nil, err
		}
		ops[i] = op
	}
	return ops, nil
}

// billOp returns the operation that inserts a bill.
func billOp(bill wire.Bill) (infra.Op, error) {
	value, err := json.Marshal(bill)
	return infra.Op{Key: BillKey(bill.Request), Value: value}, errors.Wrap(err, "encode bill")
}
