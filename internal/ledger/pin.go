package ledger

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/platform"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Bounds and times of pins.
const (
	// maxCachedPins bounds the pins that a node remembers; an eighth is
	// forgotten when it is reached.
	maxCachedPins = 100_000
	// maxUnstoredPins bounds those that wait for the table.
	maxUnstoredPins = 100_000
	// pinStoreWait bounds how long a request waits for the table.
	pinStoreWait = 2 * time.Second
	pinBackoff   = 2 * time.Second
	// pinRetry is about how often the table is tried within that wait;
	// pinOutage is how long it must fail until requests no longer wait.
	pinRetry    = 200 * time.Millisecond
	pinOutage   = 5 * time.Second
	maxPinTries = 3
	pinPrefix   = "pin/"
)

// PinID identifies what a session is pinned for.
type PinID struct {
	// Organisation and Session are the caller's.
	Organisation string
	Session      string
	// Asked is the model that the caller names.
	Asked string
}

// row returns the table key of the pin.
func (id PinID) row() string {
	return pinPrefix + url.PathEscape(id.Organisation) + "/" + url.PathEscape(id.Session) + "/" + url.PathEscape(id.Asked)
}

// pinRow is what the table holds of a pin.
type pinRow struct {
	Target config.Target `json:"target"`
	// From is the version that the session was moved from, if any.
	From config.Target `json:"from"`
	At   time.Time     `json:"at"`
}

// PinPeers reaches the nodes that decide and remember pins.
type PinPeers interface {
	// Decide has the session's home decide; false means that it did not
	// answer, or is this node.
	Decide(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool)
	// Copy hands a pin that the table lacks to the next node in the session's
	// order, and returns what that node has.
	Copy(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool)
	// Tell hands a pin that the table has to the next node in the session's
	// order, without waiting.
	Tell(session string, args wire.PinArgs)
}

// Pins keeps the version of each session. The session's home decides, so that
// one node writes each pin; where it is away, the asking node does. While the
// table is away, home and the next node remember what is not stored. It is
// safe for concurrent use; no lock is held during a call.
type Pins struct {
	table platform.Table
	peers PinPeers
	wake  chan struct{}

	mu       sync.Mutex
	cache    map[string]config.Target // guarded by mu, by row
	unstored map[string]wire.PinArgs  // guarded by mu, by row
	// failingSince is when the table began to fail, zero while it answers;
	// guarded by mu.
	failingSince time.Time
}

// NewPins returns an empty set of pins; peers may be nil.
func NewPins(table platform.Table, peers PinPeers) *Pins {
	return &Pins{table: table, peers: peers, wake: make(chan struct{}, 1), cache: map[string]config.Target{}, unstored: map[string]wire.PinArgs{}}
}

// Known returns a session's version as this node remembers it, or zero.
func (p *Pins) Known(id PinID) config.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache[id.row()]
}

// Decide pins a session that is new, or on old, to the proposal, or to the
// fallback while the table is away, and returns the version that it has in the
// end: another one, if that came first.
func (p *Pins) Decide(ctx context.Context, id PinID, old, proposal, fallback config.Target) config.Target {
	args := wire.PinArgs{Pin: id.row(), Session: id.Session, Old: old, Target: proposal, Fallback: fallback}
	if p.peers != nil {
		if t, ok := p.peers.Decide(ctx, id.Session, args); ok {
			p.remember(args.Pin, t)
			return t
		}
	}
	return p.Settle(ctx, id.Session, args)
}

// Settle decides a pin at this node.
func (p *Pins) Settle(ctx context.Context, session string, args wire.PinArgs) config.Target {
	if t, ok := p.differs(args); ok {
		p.tell(session, args, t)
		return t
	}
	t, err := p.storeSoon(ctx, args)
	if err == nil {
		p.remember(args.Pin, t)
		p.tell(session, args, t)
		return t
	}
	args.Target = args.Fallback
	if p.peers != nil {
		if other, ok := p.peers.Copy(ctx, session, args); ok {
			args.Target = other
		}
	}
	return p.Hold(args)
}

// tell lets the next node in the session's order remember a version too.
func (p *Pins) tell(session string, args wire.PinArgs, t config.Target) {
	if p.peers == nil {
		return
	}
	args.Target = t
	p.peers.Tell(session, args)
}

// storeSoon stores a pin. While the table fails for the first time it is tried
// again, since to decide without it may move a session; in an outage that
// lasts, no request waits for it.
func (p *Pins) storeSoon(ctx context.Context, args wire.PinArgs) (config.Target, error) {
	ctx, cancel := context.WithTimeout(ctx, pinStoreWait)
	defer cancel()
	for {
		t, err := p.store(ctx, args)
		lasting := p.failing(err)
		if err == nil || lasting {
			return t, err
		}
		select {
		case <-ctx.Done():
			return t, err
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

// differs returns the remembered version if it is not the one to replace.
func (p *Pins) differs(args wire.PinArgs) (config.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, known := p.cache[args.Pin]
	return t, known && t != args.Old
}

// Hold remembers a pin that the table lacks, to be stored later, and returns
// the version that this node has.
func (p *Pins) Hold(args wire.PinArgs) config.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, known := p.cache[args.Pin]; known && t != args.Old {
		return t
	}
	p.keep(args.Pin, args.Target)
	if first, known := p.unstored[args.Pin]; known {
		args.Old = first.Old
	}
	if len(p.unstored) < maxUnstoredPins {
		p.unstored[args.Pin] = args
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return args.Target
}

// store writes a pin unless the table has another one, and returns the one
// that it has.
func (p *Pins) store(ctx context.Context, args wire.PinArgs) (config.Target, error) {
	err := error(nil)
	for range maxPinTries {
		var stored pinRow
		row, getErr := p.table.Get(ctx, args.Pin)
		switch {
		case errors.Is(getErr, platform.ErrNotFound):
		case getErr != nil:
			return config.Target{}, getErr
		case json.Unmarshal(row.Value, &stored) != nil:
			return config.Target{}, errors.Errorf("pin %s cannot be read: remove the row", args.Pin)
		case stored.Target != args.Old:
			return stored.Target, nil
		}
		value, encodeErr := json.Marshal(pinRow{Target: args.Target, From: args.Old, At: time.Now()})
		if encodeErr != nil {
			return config.Target{}, errors.Wrap(encodeErr, "encode pin")
		}
		_, err = p.table.Commit(ctx, platform.Op{Key: args.Pin, Value: value, Expect: row.Version})
		if err == nil {
			return args.Target, nil
		}
	}
	return config.Target{}, err
}

// Remember keeps a pin that another node has stored.
func (p *Pins) Remember(args wire.PinArgs) { p.remember(args.Pin, args.Target) }

// Learn keeps what a leaving node remembers, unless this node knows better.
func (p *Pins) Learn(args wire.PinArgs) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.cache[args.Pin]; !known {
		p.keep(args.Pin, args.Target)
	}
}

// remember keeps what is decided.
func (p *Pins) remember(pin string, t config.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(pin, t)
}

// keep bounds the cache. The caller holds mu.
func (p *Pins) keep(pin string, t config.Target) {
	if len(p.cache) >= maxCachedPins {
		left := maxCachedPins / 8
		for old := range p.cache {
			if left--; left < 0 {
				break
			}
			if _, waits := p.unstored[old]; !waits {
				delete(p.cache, old)
			}
		}
	}
	p.cache[pin] = t
}

// Unstored returns the pins that the table lacks.
func (p *Pins) Unstored() []wire.PinArgs {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]wire.PinArgs, 0, len(p.unstored))
	for _, args := range p.unstored {
		out = append(out, args)
	}
	return out
}

// All lists what this node remembers of sessions.
func (p *Pins) All() []wire.PinArgs {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]wire.PinArgs, 0, len(p.cache))
	for row, t := range p.cache {
		out = append(out, wire.PinArgs{Pin: row, Session: sessionOf(row), Target: t, Stored: true})
	}
	return out
}

// sessionOf returns the session that a row's key names.
func sessionOf(row string) string {
	parts := strings.Split(row, "/")
	if len(parts) < 3 {
		return ""
	}
	session, err := url.PathUnescape(parts[2])
	if err != nil {
		return ""
	}
	return session
}

// Run stores the pins that the table lacks until ctx ends.
func (p *Pins) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for p.storeAll(ctx) > 0 && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(pinBackoff/2 + rand.N(pinBackoff)):
			}
		}
	}
}

// storeAll stores what it can, up to the first failure, and returns how many
// pins are left.
func (p *Pins) storeAll(ctx context.Context) int {
	list := p.Unstored()
	for i, args := range list {
		t, err := p.store(ctx, args)
		if err != nil {
			return len(list) - i
		}
		p.stored(args, t)
	}
	return 0
}

// stored takes what the table has of a pin that waited; the table's version
// wins. A pin that was moved meanwhile waits on.
func (p *Pins) stored(args wire.PinArgs, t config.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.unstored[args.Pin]; now.Target != args.Target {
		now.Old = t
		p.unstored[args.Pin] = now
		return
	}
	delete(p.unstored, args.Pin)
	p.cache[args.Pin] = t
}
