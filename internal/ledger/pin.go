package ledger

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/platform"
)

// maxCachedPins bounds the pins a node remembers.
const maxCachedPins = 100_000

// Pins keeps the version of each session. It is safe for concurrent use.
type Pins struct {
	table platform.Table
	mu    sync.Mutex
	cache map[string]config.Target // guarded by mu
}

// NewPins returns an empty cache of pins.
func NewPins(table platform.Table) *Pins {
	return &Pins{table: table, cache: map[string]config.Target{}}
}

// PinKey returns the table key of a session's pin.
func PinKey(organisation, session string) string { return "pin/" + organisation + "/" + session }

// Get returns a session's version, or zero if it has none.
func (p *Pins) Get(ctx context.Context, organisation, session string) (config.Target, error) {
	key := PinKey(organisation, session)
	p.mu.Lock()
	t, ok := p.cache[key]
	p.mu.Unlock()
	if ok {
		return t, nil
	}
	row, err := p.table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return config.Target{}, nil
	}
	if err != nil {
		return config.Target{}, err
	}
	t = config.ParseTarget(string(row.Value))
	p.remember(key, t)
	return t, nil
}

func (p *Pins) remember(key string, t config.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.cache) >= maxCachedPins {
		clear(p.cache)
	}
	p.cache[key] = t
}

// Set pins a session and returns the version it has in the end: another
// node's, if that came first.
func (p *Pins) Set(ctx context.Context, organisation, session string, t config.Target) (config.Target, error) {
	key := PinKey(organisation, session)
	_, err := p.table.Commit(ctx, platform.Op{Key: key, Value: []byte(t.String())})
	if err == nil {
		p.remember(key, t)
		return t, nil
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable) {
		got, getErr := p.Get(ctx, organisation, session)
		if getErr == nil && got != (config.Target{}) {
			return got, nil
		}
	}
	p.remember(key, t)
	return t, err
}

// Move replaces a session's version after a withdrawal.
func (p *Pins) Move(ctx context.Context, organisation, session string, t config.Target) error {
	key := PinKey(organisation, session)
	p.remember(key, t)
	_, err := p.table.Commit(ctx, platform.Op{Key: key, Value: []byte(t.String()), Expect: platform.AnyVersion})
	return err
}
