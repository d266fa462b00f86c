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

// Bounds and times of the storing of pins.
const (
	// pinBatch is the most pins of one transaction.
	pinBatch = 50
	// pinCopyKeep is how long the home of a session has to store a pin until
	// the node with the copy does.
	pinCopyKeep = 4 * flushInterval
	// pinRetry is about how often the table is tried while a request waits;
	// pinOutage is how long it must fail until requests no longer wait.
	pinRetry    = 200 * time.Millisecond
	pinOutage   = 5 * time.Second
	maxPinTries = 3
)

// unstoredPin is a pin that the table lacks, as far as this node knows.
type unstoredPin struct {
	wire.PinArgs
	// passed is the version that the session had before, and that the table
	// may have, if it was moved on before it was stored; else zero.
	passed config.Target
	// version is the row's, 0 for none, if read is set.
	version uint64
	read    bool
	// due is when this node stores it.
	due time.Time
}

// foundPin is what the table has of a pin.
type foundPin struct {
	// other is zero if there is no row, or it has the version to replace.
	other config.Target
	// version is the row's, 0 for none.
	version uint64
}

// findSoon reads a pin. While the table fails for the first time it is tried
// again, since to decide without it may move a session; in an outage that
// lasts, no request waits for it.
func (p *Pins) findSoon(ctx context.Context, args wire.PinArgs) (found foundPin, err error) {
	err = p.soon(ctx, func() error {
		found, err = p.find(ctx, args)
		return err
	})
	return found, err
}

// storeSoon stores a pin, and tries as findSoon does.
func (p *Pins) storeSoon(ctx context.Context, args wire.PinArgs) (t config.Target, err error) {
	err = p.soon(ctx, func() error {
		t, err = p.store(ctx, args)
		return err
	})
	return t, err
}

func (p *Pins) soon(ctx context.Context, do func() error) error {
	for {
		err := do()
		lasting := p.failing(err)
		if err == nil || lasting {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pinRetry/2 + rand.N(pinRetry)):
		}
	}
}

// failing notes whether the table answered, and tells whether it has been
// failing for long.
func (p *Pins) failing(err error) bool {
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

// find reads what the table has of a pin.
func (p *Pins) find(ctx context.Context, args wire.PinArgs) (foundPin, error) {
	row, err := p.table.Get(ctx, args.Pin)
	if errors.Is(err, infra.ErrNotFound) {
		return foundPin{}, nil
	}
	if err != nil {
		return foundPin{}, err
	}
	var stored pinRow
	if json.Unmarshal(row.Value, &stored) != nil {
		return foundPin{}, errors.Errorf("pin %s cannot be read: remove the row", args.Pin)
	}
	found := foundPin{version: row.Version}
	if stored.Target != args.Old {
		found.other = stored.Target
	}
	return found, nil
}

// store writes a pin unless the table has another one, and returns the one
// that it has.
func (p *Pins) store(ctx context.Context, args wire.PinArgs) (config.Target, error) {
	err := error(nil)
	for range maxPinTries {
		found, findErr := p.find(ctx, args)
		if findErr != nil {
			return config.Target{}, findErr
		}
		if found.other != (config.Target{}) {
			return found.other, nil
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

// pinOp writes a pin whose row was read.
func pinOp(u unstoredPin) (infra.Op, error) {
	value, err := json.Marshal(pinRow{Target: u.Target, From: u.Old, At: time.Now()})
	return infra.Op{Key: u.Pin, Value: value, Expect: u.version}, errors.Wrap(err, "encode pin")
}

// Waiting returns how many pins the table lacks.
func (p *Pins) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.unstored)
}

// batch returns pins to be stored now; rows that are not known are read, and
// what the table has wins.
func (p *Pins) batch(ctx context.Context) []unstoredPin {
	var out []unstoredPin
	for _, u := range p.due(time.Now()) {
		if !u.read {
			found, err := p.find(ctx, u.PinArgs)
			if errors.Is(err, infra.ErrUnavailable) || errors.Is(err, infra.ErrThrottled) {
				return out
			}
			if err != nil {
				continue
			}
			if found.other != (config.Target{}) && found.other != u.passed {
				p.stored(u, unstoredPin{PinArgs: wire.PinArgs{Target: found.other}})
				continue
			}
			u.version = found.version
		}
		out = append(out, u)
	}
	return out
}

// Adopt has this node store, soon, the pins whose home is gone before it
// stored them.
func (p *Pins) Adopt(live func(wire.Process) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	adopted := false
	for row, u := range p.unstored {
		if u.Ahead && u.due.After(now) && !live(u.From) {
			u.due = now
			p.unstored[row] = u
			adopted = true
		}
	}
	return adopted
}

// due lists some of the pins that this node is to store now.
func (p *Pins) due(now time.Time) []unstoredPin {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []unstoredPin
	for _, u := range p.unstored {
		if len(out) == pinBatch {
			break
		}
		if !u.due.After(now) {
			out = append(out, u)
		}
	}
	return out
}

// wrote takes how the write of a batch ended. If it was sent and failed, the
// rows are read before the next try: it may have taken effect.
func (p *Pins) wrote(batch []unstoredPin, versions []uint64, err error) {
	if errors.Is(err, infra.ErrThrottled) {
		return
	}
	for i, u := range batch {
		if err != nil {
			p.unknown(u)
			continue
		}
		now := u
		now.version = versions[i]
		now.read = true
		if p.stored(u, now) {
			p.tell(u.Session, u.PinArgs, u.Target)
		}
	}
}

// unknown has a pin's row read before it is written again.
func (p *Pins) unknown(u unstoredPin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now, waits := p.unstored[u.Pin]; waits {
		now.read = false
		p.unstored[u.Pin] = now
	}
}

// stored takes what the table now has of a pin that waited; the table's
// version wins. A pin that was moved meanwhile waits on: then it returns
// false.
func (p *Pins) stored(u, has unstoredPin) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, waits := p.unstored[u.Pin]
	if waits && now.Target != u.Target {
		now.Old = has.Target
		now.version = has.version
		now.read = has.read
		p.unstored[u.Pin] = now
		return false
	}
	delete(p.unstored, u.Pin)
	p.keep(u.Pin, has.Target)
	return true
}
