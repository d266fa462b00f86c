package ledger

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Limits and intervals for storing pins.
const (
	// pinBatch is the maximum number of pins in one transaction.
	pinBatch = 50
	// pinTakeOverDelay is how long the home of a session has to store a pin before
	// the node with the copy stores it.
	pinTakeOverDelay = 4 * flushInterval
	// pinRetry is the approximate interval between attempts at the table while a
	// request waits. pinOutage is how long the table must fail until requests no
	// longer wait for it.
	pinRetry    = 200 * time.Millisecond
	pinOutage   = 5 * time.Second
	maxPinTries = 3
)

// unstoredPin is a pin that the table lacks, as far as this node can tell.
type unstoredPin struct {
	wire.PinArgs
	// previous is set if the session was moved again before its pin was stored: the
	// version before the move, which the table may have. Else it is zero.
	previous config.Target
	// version is the version number of the row, 0 for no row. It is valid if isRowRead
	// is set.
	version   uint64
	isRowRead bool
	// storeAt is when this node stores the pin.
	storeAt time.Time
}

// pinLookup is the result of reading a pin's row.
type pinLookup struct {
	// otherTarget is the model version in the row. It is zero if there is no row
	// or the row has the version to replace.
	otherTarget config.Target
	// version is the version number of the row, 0 for no row.
	version uint64
}

// findWithRetry reads a pin and retries while the table has just begun to fail,
// since a decision without the table may move a session. In a lasting outage no
// request waits for the table.
func (p *Pins) findWithRetry(ctx context.Context, args wire.PinArgs) (found pinLookup, err error) {
	err = p.retryUntilOutage(ctx, func() error {
		found, err = p.find(ctx, args)
		return err
	})
	return found, err
}

// storeWithRetry stores a pin and retries as findWithRetry does.
func (p *Pins) storeWithRetry(ctx context.Context, args wire.PinArgs) (t config.Target, err error) {
	err = p.retryUntilOutage(ctx, func() error {
		t, err = p.store(ctx, args)
		return err
	})
	return t, err
}

// retryUntilOutage calls do until it succeeds, ctx ends, or the table has been
// failing for longer than pinOutage.
func (p *Pins) retryUntilOutage(ctx context.Context, do func() error) error {
	for {
		err := do()
		isOutage := p.recordTableResult(err)
		if err == nil || isOutage {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pinRetry/2 + rand.N(pinRetry)):
		}
	}
}

// recordTableResult records whether the table answered and reports whether it
// has been failing for longer than pinOutage.
func (p *Pins) recordTableResult(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		p.failingSince = time.Time{}
	case p.failingSince.IsZero():
		p.failingSince = now
	}
	return err != nil && now.Sub(p.failingSince) > pinOutage
}

// find reads the row of a pin.
func (p *Pins) find(ctx context.Context, args wire.PinArgs) (pinLookup, error) {
	row, err := p.table.Get(ctx, args.Pin)
	if errors.Is(err, infra.ErrNotFound) {
		return pinLookup{}, nil
	}
	if err != nil {
		return pinLookup{}, err
	}
	var stored pinRow
	if json.Unmarshal(row.Value, &stored) != nil {
		return pinLookup{}, errors.Errorf("pin %s cannot be read: remove the row", args.Pin)
	}
	found := pinLookup{version: row.Version}
	if stored.Target != args.Old {
		found.otherTarget = stored.Target
	}
	return found, nil
}

// store writes a pin unless the table has another version, and returns the
// version that the table then has.
func (p *Pins) store(ctx context.Context, args wire.PinArgs) (config.Target, error) {
	err := error(nil)
	for range maxPinTries {
		found, findErr := p.find(ctx, args)
		if findErr != nil {
			return config.Target{}, findErr
		}
		if found.otherTarget != (config.Target{}) {
			return found.otherTarget, nil
		}
		op, encodeErr := pinOp(unstoredPin{PinArgs: args, version: found.version})
		if encodeErr != nil {
			return config.Target{}, encodeErr
		}
		_, err = p.table.Commit(ctx, op)
		if err == nil {
			return args.Target, nil
		}
	}
	return config.Target{}, err
}

// pinOp returns the operation that writes a pin whose row was read.
func pinOp(u unstoredPin) (infra.Op, error) {
	value, err := json.Marshal(pinRow{Target: u.Target, From: u.Old, At: time.Now()})
	return infra.Op{Key: u.Pin, Value: value, Expect: u.version}, errors.Wrap(err, "encode pin")
}

// UnstoredCount returns the number of pins that the table lacks.
func (p *Pins) UnstoredCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.unstored)
}

// nextBatch returns pins to be stored now. It reads the rows that were not read
// yet. If a row has another version, that version wins.
func (p *Pins) nextBatch(ctx context.Context) []unstoredPin {
	var out []unstoredPin
	for _, u := range p.duePins(time.Now()) {
		if !u.isRowRead {
			found, err := p.find(ctx, u.PinArgs)
			if errors.Is(err, infra.ErrUnavailable) || errors.Is(err, infra.ErrThrottled) {
				return out
			}
			if err != nil {
				continue
			}
			if found.otherTarget != (config.Target{}) && found.otherTarget != u.previous {
				p.markStored(u, unstoredPin{PinArgs: wire.PinArgs{Target: found.otherTarget}})
				continue
			}
			u.version = found.version
		}
		out = append(out, u)
	}
	return out
}

// TakeOver makes the pins due whose home failed before it stored them, and
// reports whether there are any.
func (p *Pins) TakeOver(isLive func(wire.Process) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	tookOver := false
	for row, u := range p.unstored {
		if u.Ahead && u.storeAt.After(now) && !isLive(u.From) {
			u.storeAt = now
			p.unstored[row] = u
			tookOver = true
		}
	}
	return tookOver
}

// duePins returns at most pinBatch pins that this node has to store now.
func (p *Pins) duePins(now time.Time) []unstoredPin {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []unstoredPin
	for _, u := range p.unstored {
		if len(out) == pinBatch {
			break
		}
		if !u.storeAt.After(now) {
			out = append(out, u)
		}
	}
	return out
}

// recordWrite records the result of writing a batch. A write that was sent and
// failed may have taken effect, so its rows are read again before the next
// attempt.
func (p *Pins) recordWrite(batch []unstoredPin, versions []uint64, err error) {
	if errors.Is(err, infra.ErrThrottled) {
		return
	}
	for i, u := range batch {
		if err != nil {
			p.markUnread(u)
			continue
		}
		written := u
		written.version = versions[i]
		written.isRowRead = true
		if p.markStored(u, written) {
			p.notifyStored(u.Session, u.PinArgs, u.Target)
		}
	}
}

// markUnread makes the next batch read a pin's row before writing it.
func (p *Pins) markUnread(u unstoredPin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current, isUnstored := p.unstored[u.Pin]; isUnstored {
		current.isRowRead = false
		p.unstored[u.Pin] = current
	}
}

// markStored records the version that the table now has of a pin that was to be
// stored: the table's version wins. If the pin was moved meanwhile, it stays
// unstored and the result is false.
func (p *Pins) markStored(u, inTable unstoredPin) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, isUnstored := p.unstored[u.Pin]
	if isUnstored && current.Target != u.Target {
		current.Old = inTable.Target
		current.version = inTable.version
		current.isRowRead = inTable.isRowRead
		p.unstored[u.Pin] = current
		return false
	}
	delete(p.unstored, u.Pin)
	p.cachePin(u.Pin, inTable.Target)
	return true
}
