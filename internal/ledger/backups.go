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
	// backupBatch is the maximum number of backups in one message.
	backupBatch = 500
	// refreshTimeout bounds one refresh of the backups.
	refreshTimeout = 2 * time.Second
	// maxStoredReports is how often an unresponsive holder is sent the number below
	// which all bills are stored, before it is forgotten.
	maxStoredReports = 300
)

// ErrFull means that this node can keep no more backups of bills.
var ErrFull = errors.New("no room for more backups of bills: send them to another node")

// backupHolder is the state of a process that keeps backups for this one.
type backupHolder struct {
	// last is the highest number of a bill that it keeps.
	last uint64
	// tries counts the messages, since its last backup, that said all its bills are
	// stored.
	tries int
}

// keptBackups holds the backups kept for one process, by bill number.
type keptBackups struct {
	bills map[uint64]wire.Bill
}

// sendBackups sends backups of the bills from the given number on to a second
// node and records which process accepted them.
func (b *Bills) sendBackups(ctx context.Context, number uint64, bills []wire.Bill) {
	if b.peers == nil {
		return
	}
	b.mu.Lock()
	args := wire.HoldBillsArgs{First: number, Bills: bills, StoredBelow: b.first}
	b.mu.Unlock()
	holder := b.peers.Backup(ctx, args)
	if holder == (wire.Process{}) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	last := number + uint64(len(bills)) - 1
	h := b.holders[holder]
	if h == nil {
		h = &backupHolder{}
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

// refreshBackups sends new backups of bills whose holder is unreachable and
// reports to all holders which bills are stored.
func (b *Bills) refreshBackups(ctx context.Context) {
	if b.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	for number, bills := b.nextWithoutBackup(0); len(bills) > 0; {
		b.sendBackups(ctx, number, bills)
		number, bills = b.nextWithoutBackup(number + uint64(len(bills)))
	}
	b.mu.Lock()
	holders := slices.Collect(maps.Keys(b.holders))
	args := wire.HoldBillsArgs{StoredBelow: b.first}
	b.mu.Unlock()
	for _, holder := range holders {
		b.recordStoredReport(holder, args.StoredBelow, b.peers.ReportStored(ctx, holder, args))
	}
}

// recordStoredReport records whether a holder received the number below which
// all bills are stored. It forgets the holder once nothing more has to be sent
// to it.
func (b *Bills) recordStoredReport(holder wire.Process, below uint64, isReceived bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holders[holder]
	if h == nil || h.last >= below {
		return
	}
	h.tries++
	if isReceived || h.tries >= maxStoredReports {
		delete(b.holders, holder)
	}
}

// nextWithoutBackup returns the next run of consecutive bills, from the given
// number on, that no live process has a backup of.
func (b *Bills) nextWithoutBackup(from uint64) (uint64, []wire.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	live := map[wire.Process]bool{{}: false}
	number := uint64(0)
	var out []wire.Bill
	for n := max(from, b.first); n < b.first+uint64(len(b.pending)) && len(out) < backupBatch; n++ {
		p := &b.pending[n-b.first]
		isLive, isChecked := live[p.copy]
		if !isChecked {
			isLive = b.peers.IsLive(p.copy)
			live[p.copy] = isLive
		}
		switch {
		case !isLive && len(out) == 0:
			number = n
			out = append(out, p.bill)
		case !isLive:
			out = append(out, p.bill)
		case len(out) > 0:
			return number, out
		}
	}
	return number, out
}

// Unstored returns the bills that are not stored yet and the number of the first
// one.
func (b *Bills) Unstored() (uint64, []wire.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]wire.Bill, len(b.pending))
	for i, p := range b.pending {
		out[i] = p.bill
	}
	return b.first, out
}

// CountWithoutBackup returns the number of bills that only this process has.
func (b *Bills) CountWithoutBackup() int {
	total := 0
	for number, bills := b.nextWithoutBackup(0); len(bills) > 0; number, bills = b.nextWithoutBackup(number + uint64(len(bills))) {
		total += len(bills)
	}
	return total
}

// KeepBackups keeps backups for another process and drops those whose bills are stored.
// It returns ErrFull if there is no room.
func (b *Bills) KeepBackups(args wire.HoldBillsArgs) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.backups[args.From]
	if h == nil {
		h = &keptBackups{bills: map[uint64]wire.Bill{}}
		b.backups[args.From] = h
	}
	maps.DeleteFunc(h.bills, func(n uint64, _ wire.Bill) bool {
		isStored := n < args.StoredBelow
		if isStored {
			b.backupCount--
		}
		return isStored
	})
	if b.backupCount+len(args.Bills) > maxPending {
		return ErrFull
	}
	for i, bill := range args.Bills {
		n := args.First + uint64(i)
		if _, isKept := h.bills[n]; !isKept && n >= args.StoredBelow {
			h.bills[n] = bill
			b.backupCount++
		}
	}
	if len(h.bills) == 0 {
		delete(b.backups, args.From)
	}
	return nil
}

// TakeOver takes over the backups of bills, and the pins, of processes that are not
// live and stores them as soon as possible. If such a process was only paused,
// both processes store its bills, and each bill is still stored once.
func (b *Bills) TakeOver(isLive func(p wire.Process) bool) {
	b.mu.Lock()
	var takenOver []wire.Bill
	for p, h := range b.backups {
		if isLive(p) {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(h.bills)) {
			takenOver = append(takenOver, h.bills[n])
		}
		b.backupCount -= len(h.bills)
		delete(b.backups, p)
	}
	b.mu.Unlock()
	if len(takenOver) > 0 {
		b.enqueue(takenOver...)
	}
	if b.pins.TakeOver(isLive) || len(takenOver) > 0 {
		b.flushSoon()
	}
}

// flushSoon makes the next flush due without waiting for more bills.
func (b *Bills) flushSoon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastFlush = time.Time{}
}
