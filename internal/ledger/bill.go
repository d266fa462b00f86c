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

// Sizes and times of the storing of bills.
const (
	// billBatch is the number of bills of one transaction.
	billBatch = 100
	// flushInterval is the least time between transactions, unless a batch is
	// full; copyInterval is about how often copies are looked after.
	flushInterval = 10 * time.Second
	copyInterval  = 2 * time.Second
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
// keep a copy until they are stored, and keeps such copies for others. Pins
// are stored in the same transactions. It is safe for concurrent use. No lock
// is held during a call.
type Bills struct {
	table  infra.Table
	copies Copies
	pins   *Pins
	wake   chan struct{}

	flushing chan struct{} // holds a token while a flush is under way

	mu      sync.Mutex
	pending []pendingBill                // guarded by mu; numbered from first without gaps
	first   uint64                       // guarded by mu; number of pending[0], or of the next bill
	holders map[wire.Process]*copyHolder // guarded by mu; who has copies
	held    map[wire.Process]*heldBills  // guarded by mu; copies for others
	kept    int                          // guarded by mu; copies in held
	flushed time.Time                    // guarded by mu; when something was last stored
}

// NewBills returns an empty buffer of bills that stores the given pins too;
// copies and pins may be nil.
func NewBills(table infra.Table, copies Copies, pins *Pins) *Bills {
	if pins == nil {
		pins = NewPins(table, nil)
	}
	return &Bills{
		table: table, copies: copies, pins: pins, wake: make(chan struct{}, 1), flushing: make(chan struct{}, 1), first: 1,
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

// Run stores bills and pins, and keeps the copies of bills up to date, until
// ctx ends.
func (b *Bills) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-b.pins.wake:
		}
		for b.busy() && ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(copyInterval/2 + rand.N(copyInterval)):
			}
			if b.due(time.Now()) {
				_ = b.Flush(ctx)
			}
			b.refreshCopies(ctx)
		}
	}
}

// busy tells whether bills or pins wait for the table, or copies for their
// end.
func (b *Bills) busy() bool {
	b.mu.Lock()
	waits := len(b.pending) > 0 || len(b.holders) > 0
	b.mu.Unlock()
	return waits || b.pins.Waiting() > 0
}

// due tells whether it is time to store what waits.
func (b *Bills) due(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) >= billBatch || now.Sub(b.flushed) >= flushInterval
}

// Flush stores the bills and pins that wait now, batch after batch.
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
			pins = b.pins.batch(ctx)
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

// flushBatch stores the oldest bills, and the pins, and returns how many bills
// it stored. One flush runs at a time. It returns ErrConflict if the pins were
// not stored.
func (b *Bills) flushBatch(ctx context.Context, pins []unstoredPin) (int, error) {
	b.mu.Lock()
	batch := make([]wire.Bill, min(len(b.pending), billBatch-len(pins)))
	for i := range batch {
		batch[i] = b.pending[i].bill
	}
	b.mu.Unlock()
	refused, err := b.storeAll(ctx, batch, pins)
	if err != nil {
		return 0, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first += uint64(len(batch))
	b.pending = append([]pendingBill(nil), b.pending[len(batch):]...)
	b.flushed = time.Now()
	return len(batch), refused
}

// storeAll stores bills and pins in one transaction. If it conflicts, the
// bills are stored alone, and refused is set.
func (b *Bills) storeAll(ctx context.Context, batch []wire.Bill, pins []unstoredPin) (refused, err error) {
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
	b.pins.wrote(pins, versions, err)
	if errors.Is(err, infra.ErrConflict) {
		return err, b.store(ctx, batch)
	}
	return nil, err
}

// store inserts a batch in one transaction. If a bill of it is there already,
// the halves are tried, down to that bill, which is done with.
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

// billOps inserts bills.
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

// billOp inserts a bill.
func billOp(bill wire.Bill) (infra.Op, error) {
	value, err := json.Marshal(bill)
	return infra.Op{Key: BillKey(bill.Request), Value: value}, errors.Wrap(err, "encode bill")
}
