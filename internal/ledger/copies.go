package ledger

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// copyBatch is the number of copies handed over in one message.
	copyBatch = 500
	// refreshWait bounds one refresh of the copies.
	refreshWait = 2 * time.Second
	// maxSettles is how often a holder that does not answer is told that its
	// copies may go.
	maxSettles = 300
)

// ErrFull means that no more copies of bills can be kept here.
var ErrFull = errors.New("too many bills wait for the table: hand the copies to another node")

// copyHolder is what a process knows of one that keeps copies for it.
type copyHolder struct {
	// last is the highest number copied.
	last uint64
	// tries counts messages that told it that all its copies may go.
	tries int
}

// heldBills are the copies kept for one process, by number.
type heldBills struct {
	bills map[uint64]wire.Bill
}

// copyOut hands copies of the bills from the given number on to a second
// node, and notes who has them.
func (b *Bills) copyOut(ctx context.Context, number uint64, bills []wire.Bill) {
	if b.copies == nil {
		return
	}
	b.mu.Lock()
	args := wire.HoldBillsArgs{First: number, Bills: bills, StoredBelow: b.first}
	b.mu.Unlock()
	holder := b.copies.Hold(ctx, args)
	if holder == (wire.Process{}) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	last := number + uint64(len(bills)) - 1
	h := b.holders[holder]
	if h == nil {
		h = &copyHolder{}
		b.holders[holder] = h
	}
	h.last = max(h.last, last)
	h.tries = 0
	for n := max(number, b.first); n <= last; n++ {
		b.pending[n-b.first].copy = holder
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// refreshCopies has bills copied anew whose holder is gone, and tells holders
// what is stored.
func (b *Bills) refreshCopies(ctx context.Context) {
	if b.copies == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshWait)
	defer cancel()
	for number, bills := b.uncopied(0); len(bills) > 0; {
		b.copyOut(ctx, number, bills)
		number, bills = b.uncopied(number + uint64(len(bills)))
	}
	b.mu.Lock()
	holders := slices.Collect(maps.Keys(b.holders))
	args := wire.HoldBillsArgs{StoredBelow: b.first}
	b.mu.Unlock()
	for _, holder := range holders {
		b.settled(holder, args.StoredBelow, b.copies.Settle(ctx, holder, args))
	}
}

// settled notes whether a holder has heard which bills are stored, and
// forgets it when nothing is expected of it any more.
func (b *Bills) settled(holder wire.Process, below uint64, heard bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holders[holder]
	if h == nil || h.last >= below {
		return
	}
	h.tries++
	if heard || h.tries >= maxSettles {
		delete(b.holders, holder)
	}
}

// uncopied returns the next run of bills, from the given number on, that no
// live process has a copy of.
func (b *Bills) uncopied(from uint64) (uint64, []wire.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	live := map[wire.Process]bool{{}: false}
	number := uint64(0)
	var out []wire.Bill
	for n := max(from, b.first); n < b.first+uint64(len(b.pending)) && len(out) < copyBatch; n++ {
		p := &b.pending[n-b.first]
		alive, known := live[p.copy]
		if !known {
			alive = b.copies.Live(p.copy)
			live[p.copy] = alive
		}
		switch {
		case !alive && len(out) == 0:
			number = n
			out = append(out, p.bill)
		case !alive:
			out = append(out, p.bill)
		case len(out) > 0:
			return number, out
		}
	}
	return number, out
}

// Unstored returns the bills that are not stored, and the number of the
// first.
func (b *Bills) Unstored() (uint64, []wire.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]wire.Bill, len(b.pending))
	for i, p := range b.pending {
		out[i] = p.bill
	}
	return b.first, out
}

// Uncopied returns how many bills only this process has.
func (b *Bills) Uncopied() int {
	total := 0
	for number, bills := b.uncopied(0); len(bills) > 0; number, bills = b.uncopied(number + uint64(len(bills))) {
		total += len(bills)
	}
	return total
}

// Hold keeps copies for another process, and drops those that are stored.
func (b *Bills) Hold(args wire.HoldBillsArgs) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.held[args.From]
	if h == nil {
		h = &heldBills{bills: map[uint64]wire.Bill{}}
		b.held[args.From] = h
	}
	maps.DeleteFunc(h.bills, func(n uint64, _ wire.Bill) bool {
		stored := n < args.StoredBelow
		if stored {
			b.kept--
		}
		return stored
	})
	if b.kept+len(args.Bills) > maxPending {
		return ErrFull
	}
	for i, bill := range args.Bills {
		n := args.First + uint64(i)
		if _, known := h.bills[n]; !known && n >= args.StoredBelow {
			h.bills[n] = bill
			b.kept++
		}
	}
	if len(h.bills) == 0 {
		delete(b.held, args.From)
	}
	return nil
}

// Adopt takes over the copies of bills, and the pins, of processes that are
// gone, and has them stored at once. If one of them only paused, both store its
// bills, and each is there once.
func (b *Bills) Adopt(live func(p wire.Process) bool) {
	b.mu.Lock()
	var adopted []wire.Bill
	for p, h := range b.held {
		if live(p) {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(h.bills)) {
			adopted = append(adopted, h.bills[n])
		}
		b.kept -= len(h.bills)
		delete(b.held, p)
	}
	b.mu.Unlock()
	if len(adopted) > 0 {
		b.push(adopted...)
	}
	if b.pins.Adopt(live) || len(adopted) > 0 {
		b.hasten()
	}
}

// hasten has what waits stored without waiting for more.
func (b *Bills) hasten() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flushed = time.Time{}
}
