package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/platform"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Sizes and times of the storing of bills.
const (
	billBatch    = 50
	billInterval = 200 * time.Millisecond
	billBackoff  = 2 * time.Second
)

// BillKey returns the table key of a request's bill.
func BillKey(request string) string { return "bill/" + request }

// Bills stores one bill for each request. It is safe for concurrent use.
type Bills struct {
	table platform.Table
	// hold hands copies to a second node; nil holds none.
	hold func(ctx context.Context, args wire.HoldBillsArgs)

	mu      sync.Mutex
	pending []wire.Bill          // guarded by mu
	held    map[string]wire.Bill // guarded by mu; copies for other nodes
	wake    chan struct{}
}

// NewBills returns an empty buffer of bills.
func NewBills(table platform.Table, hold func(ctx context.Context, args wire.HoldBillsArgs)) *Bills {
	return &Bills{table: table, hold: hold, held: map[string]wire.Bill{}, wake: make(chan struct{}, 1)}
}

// Add takes a bill; it is stored soon, and a second node holds a copy until
// it is.
func (b *Bills) Add(ctx context.Context, bill wire.Bill) {
	b.mu.Lock()
	b.pending = append(b.pending, bill)
	b.mu.Unlock()
	if b.hold != nil {
		b.hold(ctx, wire.HoldBillsArgs{Hold: []wire.Bill{bill}})
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Pending returns how many bills are not yet stored.
func (b *Bills) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// Run stores bills until ctx ends.
func (b *Bills) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-time.After(billBackoff):
		}
		for b.Pending() > 0 && ctx.Err() == nil {
			wait := billInterval
			if b.Flush(ctx) != nil {
				wait = billBackoff
			}
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
	}
}

// Flush stores one batch of bills.
func (b *Bills) Flush(ctx context.Context) error {
	b.mu.Lock()
	batch := append([]wire.Bill(nil), b.pending[:min(len(b.pending), billBatch)]...)
	b.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	if err := b.store(ctx, batch); err != nil {
		return err
	}
	b.mu.Lock()
	b.pending = b.pending[len(batch):]
	b.mu.Unlock()
	if b.hold != nil {
		b.hold(ctx, wire.HoldBillsArgs{Stored: requests(batch)})
	}
	return nil
}

// billOp inserts a bill.
func billOp(bill wire.Bill) (platform.Op, error) {
	value, err := json.Marshal(bill)
	return platform.Op{Key: BillKey(bill.Request), Value: value}, errors.Wrap(err, "encode bill")
}

func requests(batch []wire.Bill) []string {
	ids := make([]string, len(batch))
	for i, bill := range batch {
		ids[i] = bill.Request
	}
	return ids
}

// store inserts a batch at once; if one of it is there already, each alone.
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
	for _, op := range ops {
		if _, err := b.table.Commit(ctx, op); err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return nil
}

// Hold keeps copies for another node, or lets them go.
func (b *Bills) Hold(args wire.HoldBillsArgs) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, bill := range args.Hold {
		b.held[bill.Request] = bill
	}
	for _, id := range args.Stored {
		delete(b.held, id)
	}
}

// Adopt stores the copies held for a node that is gone.
func (b *Bills) Adopt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, bill := range b.held {
		b.pending = append(b.pending, bill)
		delete(b.held, id)
	}
}
