package ledger

import (
	"context"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Limits and timeouts of pins.
const (
	// maxCachedPins bounds the cached pins. An eighth of them is dropped when it is
	// reached.
	maxCachedPins = 100_000
	// maxUnstoredPins bounds the pins that wait for the table.
	maxUnstoredPins = 100_000
	// pinStoreWait bounds how long a request waits for the table.
	pinStoreWait = 2 * time.Second
	pinPrefix    = "pin/"
)

// PinID identifies a pin: a session keeps one version for each model that its
// caller requests.
type PinID struct {
	// Organisation and Session are those of the caller.
	Organisation string
	Session      string
	// RequestedModel is the model name in the caller's requests.
	RequestedModel string
}

// rowKey returns the table key of the pin.
func (id PinID) rowKey() string {
	return pinPrefix + url.PathEscape(id.Organisation) + "/" + url.PathEscape(id.Session) + "/" + url.PathEscape(id.RequestedModel)
}

// pinRow is the table row of a pin.
type pinRow struct {
	Target config.Target `json:"target"`
	// From is the version that the session was moved from, if any.
	From config.Target `json:"from"`
	At   time.Time     `json:"at"`
}

// PinPeers reaches the nodes that decide and cache pins. A session ranks the
// nodes: the first one is its home, the next one receives copies.
type PinPeers interface {
	// Decide has the session's home decide the pin. It returns false if the home
	// did not answer or is this node.
	Decide(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool)
	// CopyBeforeStore sends a pin that this node will store soon to the next node, which
	// would decide if this one failed, and returns the version that the next node
	// has. It returns false unless this node is the session's home, its view has
	// every node, and the next node answered.
	CopyBeforeStore(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool)
	// CopyUnstored sends a pin that the table lacks to the next node in the session's order
	// and returns the version that this node has.
	CopyUnstored(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool)
	// NotifyStored sends a pin that the table has to the next node in the session's order,
	// without waiting for an answer.
	NotifyStored(session string, args wire.PinArgs)
}

// Pins keeps each session pinned to one version. The session's home decides, so
// that one node writes each pin. If the home is unreachable, the requesting node
// decides. A pin is answered once the home and the next node have it, and is
// stored together with bills. Without the next node it is stored first. While
// the table is unavailable, the home and the next node cache what is not stored.
// It is safe for concurrent use. No lock is held during a call to the table or
// to another node.
type Pins struct {
	table infra.Table
	peers PinPeers
	wake  chan struct{}

	mu       sync.Mutex
	cache    map[string]config.Target // guarded by mu, by row
	unstored map[string]unstoredPin   // guarded by mu, by row
	deciding map[string]*decision     // guarded by mu, by row
	// failingSince is when the table began to fail, zero while it answers; guarded
	// by mu.
	failingSince time.Time
}

// decision is a decision on a pin that is in progress at this node.
type decision struct {
	// ended is closed when the decision has ended.
	ended chan struct{}
	// proposed is the version proposed to the next node at the moment, else zero;
	// guarded by the mutex of Pins.
	proposed config.Target
}

// NewPins returns an empty set of pins. peers may be nil.
func NewPins(table infra.Table, peers PinPeers) *Pins {
	return &Pins{table: table, peers: peers, wake: make(chan struct{}, 1), cache: map[string]config.Target{}, unstored: map[string]unstoredPin{}, deciding: map[string]*decision{}}
}

// Cached returns the cached version of a session, or zero.
func (p *Pins) Cached(id PinID) config.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache[id.rowKey()]
}

// Decide pins a session that is new, or pinned to old, to the proposal, or to
// the fallback while the table is unavailable. It returns the version that the
// session is pinned to. That is another one if it was decided before.
func (p *Pins) Decide(ctx context.Context, id PinID, old, proposal, fallback config.Target) config.Target {
	args := wire.PinArgs{Pin: id.rowKey(), Session: id.Session, Old: old, Target: proposal, Fallback: fallback}
	if p.peers != nil {
		if t, ok := p.peers.Decide(ctx, id.Session, args); ok {
			p.cacheDecided(args.Pin, t)
			return t
		}
	}
	return p.DecideLocally(ctx, id.Session, args)
}

// DecideLocally decides a pin at this node. Decisions on the same pin run one after the
// other.
func (p *Pins) DecideLocally(ctx context.Context, session string, args wire.PinArgs) config.Target {
	d := p.beginDecision(ctx, args.Pin)
	if d == nil {
		return args.Target
	}
	defer p.endDecision(args.Pin, d)
	if t, ok := p.cachedOther(args); ok {
		p.notifyStored(session, args, t)
		return t
	}
	wait, cancel := context.WithTimeout(ctx, pinStoreWait)
	defer cancel()
	found, err := p.findWithRetry(wait, args)
	if err == nil && found.otherTarget == (config.Target{}) {
		t, ok := p.decideBeforeStore(ctx, d, session, args, found.version)
		if ok {
			return t
		}
		args.Target = t
		found.otherTarget, err = p.storeWithRetry(wait, args)
	}
	if err == nil {
		p.cacheDecided(args.Pin, found.otherTarget)
		p.notifyStored(session, args, found.otherTarget)
		return found.otherTarget
	}
	args.Target = args.Fallback
	if p.peers != nil {
		if other, ok := p.peers.CopyUnstored(ctx, session, args); ok {
			args.Target = other
		}
	}
	return p.CacheUnstored(args)
}

// beginDecision waits until no other decision on the row is in progress and
// registers a new one. It returns nil if ctx ends first.
func (p *Pins) beginDecision(ctx context.Context, row string) *decision {
	for {
		p.mu.Lock()
		other := p.deciding[row]
		if other == nil {
			d := &decision{ended: make(chan struct{})}
			p.deciding[row] = d
			p.mu.Unlock()
			return d
		}
		p.mu.Unlock()
		select {
		case <-other.ended:
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Pins) endDecision(row string, d *decision) {
	p.mu.Lock()
	delete(p.deciding, row)
	p.mu.Unlock()
	close(d.ended)
}

// decideBeforeStore decides a pin before it is stored, by having the next node
// accept it too. If it returns false, the table has to decide on the returned
// version. While the next node is asked, other requesters that propose a
// different version to this node get the proposal as the answer. So if two homes
// ask each other, both turn to the table.
func (p *Pins) decideBeforeStore(ctx context.Context, d *decision, session string, args wire.PinArgs, version uint64) (config.Target, bool) {
	if p.peers == nil || !p.propose(d, args) {
		return args.Target, false
	}
	request := args
	request.Ahead = true
	t, ok := p.peers.CopyBeforeStore(ctx, session, request)
	p.mu.Lock()
	defer p.mu.Unlock()
	d.proposed = config.Target{}
	if !ok {
		return args.Target, false
	}
	if t != args.Target {
		return t, false
	}
	return p.cacheUnstored(unstoredPin{PinArgs: args, version: version, isRowRead: true, storeAt: time.Now()}), true
}

// propose records the version that is proposed to the next node. It returns
// false if this node has received another version meanwhile or has too many
// unstored pins.
func (p *Pins) propose(d *decision, args wire.PinArgs) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, isCached := p.cache[args.Pin]; isCached && t != args.Old || len(p.unstored) >= maxUnstoredPins {
		return false
	}
	d.proposed = args.Target
	return true
}

// notifyStored sends a version that the table has to the next node in the
// session's order.
func (p *Pins) notifyStored(session string, args wire.PinArgs, t config.Target) {
	if p.peers == nil || p.isUnstored(args.Pin) {
		return
	}
	args.Target = t
	p.peers.NotifyStored(session, args)
}

// isUnstored reports whether the table lacks a pin, as far as this node can
// tell.
func (p *Pins) isUnstored(row string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, isUnstored := p.unstored[row]
	return isUnstored
}

// cachedOther returns the cached version. It returns false if there is none or it is
// the one to replace.
func (p *Pins) cachedOther(args wire.PinArgs) (config.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, isCached := p.cache[args.Pin]
	return t, isCached && t != args.Old
}

// CacheUnstored caches a pin that the table lacks, to be stored later, and returns the
// version that this node has.
func (p *Pins) CacheUnstored(args wire.PinArgs) config.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.deciding[args.Pin]; d != nil && d.proposed != (config.Target{}) {
		return d.proposed
	}
	storeAt := time.Now()
	if args.Ahead {
		storeAt = storeAt.Add(pinTakeOverDelay)
	}
	return p.cacheUnstored(unstoredPin{PinArgs: args, storeAt: storeAt})
}

// cacheUnstored caches a pin and queues it to be stored, unless another version
// than the one to replace is cached. It returns the cached version. The caller
// holds mu.
func (p *Pins) cacheUnstored(u unstoredPin) config.Target {
	if t, isCached := p.cache[u.Pin]; isCached && t != u.Old {
		return t
	}
	p.cachePin(u.Pin, u.Target)
	if first, isUnstored := p.unstored[u.Pin]; isUnstored {
		u.previous = u.Old
		u.Old = first.Old
		u.version = first.version
		u.isRowRead = first.isRowRead
		if first.storeAt.Before(u.storeAt) {
			u.storeAt = first.storeAt
		}
	}
	if len(p.unstored) < maxUnstoredPins {
		p.unstored[u.Pin] = u
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return u.Target
}

// CacheStored caches a pin that another node has stored, unless this node has
// another version to store.
func (p *Pins) CacheStored(args wire.PinArgs) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, isUnstored := p.unstored[args.Pin]
	if isUnstored && u.Target != args.Target {
		return // the table decides when this node stores its own version
	}
	delete(p.unstored, args.Pin)
	p.cachePin(args.Pin, args.Target)
}

// CacheIfAbsent caches a pin received from a node that shuts down, unless this node has
// one for the session.
func (p *Pins) CacheIfAbsent(args wire.PinArgs) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, isCached := p.cache[args.Pin]; !isCached {
		p.cachePin(args.Pin, args.Target)
	}
}

// cacheDecided caches a decided version.
func (p *Pins) cacheDecided(pin string, t config.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cachePin(pin, t)
}

// cachePin caches a version and keeps the cache within maxCachedPins. Unstored
// pins are never dropped. The caller holds mu.
func (p *Pins) cachePin(pin string, t config.Target) {
	if len(p.cache) >= maxCachedPins {
		left := maxCachedPins / 8
		for old := range p.cache {
			if left--; left < 0 {
				break
			}
			if _, isUnstored := p.unstored[old]; !isUnstored {
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
	for _, u := range p.unstored {
		out = append(out, u.PinArgs)
	}
	return out
}

// AllCached returns all cached pins.
func (p *Pins) AllCached() []wire.PinArgs {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]wire.PinArgs, 0, len(p.cache))
	for row, t := range p.cache {
		out = append(out, wire.PinArgs{Pin: row, Session: sessionOf(row), Target: t, Stored: true})
	}
	return out
}

// sessionOf returns the session in a row's key, or an empty string if there is
// none.
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
