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

// Bounds and times of pins.
const (
	// maxCachedPins bounds the pins that a node remembers; an eighth is
	// forgotten when it is reached.
	maxCachedPins = 100_000
	// maxUnstoredPins bounds those that wait for the table.
	maxUnstoredPins = 100_000
	// pinStoreWait bounds how long a request waits for the table.
	pinStoreWait = 2 * time.Second
	pinPrefix    = "pin/"
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
	// Ahead hands a pin that this node stores soon to the node that would
	// decide if this one died, and returns what that node has. It returns
	// false unless this node is the session's home, sees every node, and the
	// other one answered.
	Ahead(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool)
	// Copy hands a pin that the table lacks to the next node in the session's
	// order, and returns what that node has.
	Copy(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool)
	// Tell hands a pin that the table has to the next node in the session's
	// order, without waiting.
	Tell(session string, args wire.PinArgs)
}

// Pins keeps the version of each session. The session's home decides, so that
// one node writes each pin; where it is away, the asking node does. A pin is
// answered once home and next node have it, and stored with the bills; without
// the next node it is stored first. While the table is away, home and the next
// node remember what is not stored. It is safe for concurrent use; no lock is
// held during a call.
type Pins struct {
	table infra.Table
	peers PinPeers
	wake  chan struct{}

	mu       sync.Mutex
	cache    map[string]config.Target // guarded by mu, by row
	unstored map[string]unstoredPin   // guarded by mu, by row
	deciding map[string]*decision     // guarded by mu, by row
	// failingSince is when the table began to fail, zero while it answers;
	// guarded by mu.
	failingSince time.Time
}

// decision is a pin that this node decides at the moment.
type decision struct {
	// ended is closed at the end.
	ended chan struct{}
	// proposed is what the next node is asked to take, else zero; guarded by
	// the mutex of Pins.
	proposed config.Target
}

// NewPins returns an empty set of pins; peers may be nil.
func NewPins(table infra.Table, peers PinPeers) *Pins {
	return &Pins{table: table, peers: peers, wake: make(chan struct{}, 1), cache: map[string]config.Target{}, unstored: map[string]unstoredPin{}, deciding: map[string]*decision{}}
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

// Settle decides a pin at this node, one decision after the other.
func (p *Pins) Settle(ctx context.Context, session string, args wire.PinArgs) config.Target {
	d := p.begin(ctx, args.Pin)
	if d == nil {
		return args.Target
	}
	defer p.end(args.Pin, d)
	if t, ok := p.differs(args); ok {
		p.tell(session, args, t)
		return t
	}
	wait, cancel := context.WithTimeout(ctx, pinStoreWait)
	defer cancel()
	found, err := p.findSoon(wait, args)
	if err == nil && found.other == (config.Target{}) {
		t, ok := p.ahead(ctx, d, session, args, found.version)
		if ok {
			return t
		}
		args.Target = t
		found.other, err = p.storeSoon(wait, args)
	}
	if err == nil {
		p.remember(args.Pin, found.other)
		p.tell(session, args, found.other)
		return found.other
	}
	args.Target = args.Fallback
	if p.peers != nil {
		if other, ok := p.peers.Copy(ctx, session, args); ok {
			args.Target = other
		}
	}
	return p.Hold(args)
}

// begin waits until no other decision on the row is under way, and enters one;
// it returns nil if ctx ends first.
func (p *Pins) begin(ctx context.Context, row string) *decision {
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

func (p *Pins) end(row string, d *decision) {
	p.mu.Lock()
	delete(p.deciding, row)
	p.mu.Unlock()
	close(d.ended)
}

// ahead decides a pin before it is stored: the node that would decide next
// takes it too. It returns false where the table has to decide, on the version
// returned. While it asks, others who ask this node to take another version
// are told of the proposal, so that two homes that ask each other both turn to
// the table.
func (p *Pins) ahead(ctx context.Context, d *decision, session string, args wire.PinArgs, version uint64) (config.Target, bool) {
	if p.peers == nil || !p.propose(d, args) {
		return args.Target, false
	}
	asked := args
	asked.Ahead = true
	t, ok := p.peers.Ahead(ctx, session, asked)
	p.mu.Lock()
	defer p.mu.Unlock()
	d.proposed = config.Target{}
	if !ok {
		return args.Target, false
	}
	if t != args.Target {
		return t, false
	}
	return p.hold(unstoredPin{PinArgs: args, version: version, read: true, due: time.Now()}), true
}

// propose enters what the next node is asked to take, unless this node has
// learned of a version meanwhile or remembers too many.
func (p *Pins) propose(d *decision, args wire.PinArgs) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, known := p.cache[args.Pin]; known && t != args.Old || len(p.unstored) >= maxUnstoredPins {
		return false
	}
	d.proposed = args.Target
	return true
}

// tell lets the next node in the session's order remember a version that the
// table has.
func (p *Pins) tell(session string, args wire.PinArgs, t config.Target) {
	if p.peers == nil || p.waits(args.Pin) {
		return
	}
	args.Target = t
	p.peers.Tell(session, args)
}

// waits tells whether a pin is not stored, as far as this node knows.
func (p *Pins) waits(row string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, waits := p.unstored[row]
	return waits
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
	if d := p.deciding[args.Pin]; d != nil && d.proposed != (config.Target{}) {
		return d.proposed
	}
	due := time.Now()
	if args.Ahead {
		due = due.Add(pinCopyKeep)
	}
	return p.hold(unstoredPin{PinArgs: args, due: due})
}

// hold is Hold. The caller holds mu.
func (p *Pins) hold(u unstoredPin) config.Target {
	if t, known := p.cache[u.Pin]; known && t != u.Old {
		return t
	}
	p.keep(u.Pin, u.Target)
	if first, known := p.unstored[u.Pin]; known {
		u.passed = u.Old
		u.Old = first.Old
		u.version = first.version
		u.read = first.read
		if first.due.Before(u.due) {
			u.due = first.due
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

// Remember keeps a pin that another node has stored, unless this node is to
// store another version.
func (p *Pins) Remember(args wire.PinArgs) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, waits := p.unstored[args.Pin]
	if waits && u.Target != args.Target {
		return // the table tells which one holds when this node stores its own
	}
	delete(p.unstored, args.Pin)
	p.keep(args.Pin, args.Target)
}

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
	for _, u := range p.unstored {
		out = append(out, u.PinArgs)
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
