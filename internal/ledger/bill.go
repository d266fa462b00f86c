package ledger

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/platform"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Sizes and times of the storing of bills.
const (
	// billBatch is the number of bills of one transaction.
	billBatch = 100
	// billInterval is the least time between transactions, unless a batch is
	// full.
	billInterval = 2 * time.Second
	// copyWait bounds how long an answer waits for its bill's copy.
	copyWait = 100 * time.Millisecond
	// maxPending bounds the bills that wait for the table, and the copies
	// kept for other nodes.
	maxPending = 200_000
	billPrefix = "bill/"
)

// BillKey returns the table key of a request's bill.
func BillKey(request string) string { return billPrefix + request }

// Copies hands copies of unstored bills to other nodes.
type Copies interface {
	// Hold hands copies over. It returns the process that has taken them, or
	// the zero value if none has before ctx ended.
	Hold(ctx context.Context, args wire.HoldBillsArgs) wire.Process
	// Settle tells a process which bills are stored, and whether it has heard.
	Settle(ctx context.Context, to wire.Process, args wire.HoldBillsArgs) bool
	// Live tells whether a process still runs, as far as is known.
	Live(p wire.Process) bool
}

// pendingBill is a bill that is not stored yet.
type pendingBill struct {
	bill wire.Bill
	// copy is the process that keeps a copy, if any.
	copy wire.Process
}

// Bills stores one bill for each request: it buffers them, has a second node
// keep a copy until they are stored, and keeps such copies for others. It is
// safe for concurrent use. Lock order: flushing before mu; no lock is held
// while a copy is handed over.
type Bills struct {
	table  platform.Table
	copies Copies
	wake   chan struct{}

	flushing sync.Mutex

	mu      sync.Mutex
	pending []pendingBill                // guarded by mu; numbered from first without gaps
	first   uint64                       // guarded by mu; number of pending[0], or of the next bill
	holders map[wire.Process]*copyHolder // guarded by mu; who has copies
	held    map[wire.Process]*heldBills  // guarded by mu; copies for others
	kept    int                          // guarded by mu; copies in held
}

// NewBills returns an empty buffer of bills.
func NewBills(table platform.Table, copies Copies) *Bills {
	return &Bills{
		table: table, copies: copies, wake: make(chan struct{}, 1), first: 1,
		holders: map[wire.Process]*copyHolder{}, held: map[wire.Process]*heldBills{},
	}
}

// Add takes a bill. It returns once a second node has a copy, or after a
// short wait; the bill itself is stored soon.
func (b *Bills) Add(ctx context.Context, bill wire.Bill) {
	number := b.push(bill)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyWait)
	defer cancel()
	b.copyOut(ctx, number, []wire.Bill{bill})
}

// push appends bills and returns the number of the first.
func (b *Bills) push(bills ...wire.Bill) uint64 {
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

// Pending returns how many bills are not yet stored.
func (b *Bills) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// Room tells whether another request may be served: a bill must never be
// lost for lack of room.
func (b *Bills) Room() bool { return b.Pending() < maxPending }

// Run stores bills, and keeps their copies up to date, until ctx ends.
func (b *Bills) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for b.busy() && ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(billInterval/2 + rand.N(billInterval)):
			}
			_ = b.Flush(ctx)
			b.refreshCopies(ctx)
		}
	}
}

// busy tells whether bills wait for the table, or copies for their end.
func (b *Bills) busy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) > 0 || len(b.holders) > 0
}

// Flush stores the bills that wait now, batch after batch.
func (b *Bills) Flush(ctx context.Context) error {
	b.flushing.Lock()
	defer b.flushing.Unlock()
	for left := b.Pending(); left > 0; left -= billBatch {
		if err := b.flushBatch(ctx); err != nil {
			return err
		}
	}
	return nil
}

// flushBatch stores the oldest bills. The caller holds flushing.
func (b *Bills) flushBatch(ctx context.Context) error {
	b.mu.Lock()
	batch := make([]wire.Bill, min(len(b.pending), billBatch))
	for i := range batch {
		batch[i] = b.pending[i].bill
	}
	b.mu.Unlock()
	if err := b.store(ctx, batch); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first += uint64(len(batch))
	b.pending = append([]pendingBill(nil), b.pending[len(batch):]...)
	return nil
}

// store inserts a batch in one transaction. If a bill of it is there already,
// the halves are tried, down to that bill, which is done with.
func (b *Bills) store(ctx context.Context, batch []wire.Bill) error {
	ops := make([]platform.Op, len(batch))
	for i, bill := range batch {
		op, err := billOp(bill)
		if err != nil {
			return err
		}
		ops[i] = op
	}
	_, err := b.table.Commit(ctx, ops...)
	if !errors.Is(err, platform.ErrConflict) {
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

// billOp inserts a bill.
func billOp(bill wire.Bill) (platform.Op, error) {
	value, err := json.Marshal(bill)
	return platform.Op{Key: BillKey(bill.Request), Value: value}, errors.Wrap(err, "encode bill")
}
