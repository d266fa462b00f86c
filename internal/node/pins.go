package node

import (
	"context"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// pinTimeout bounds one question to a session's home; it covers the
	// home's own wait for the table.
	pinTimeout = 2500 * time.Millisecond
	// copyPinTimeout bounds the handing over of one copy.
	copyPinTimeout = 200 * time.Millisecond
	// pinTries is how many nodes are asked in turn.
	pinTries = 3
	// pinYoung is how long a process counts as just started; pins that were
	// decided before are stored by then.
	pinYoung = time.Minute
)

// Pin implements wire.Handler.
func (h *handler) Pin(args wire.PinArgs, reply *wire.PinReply) error {
	if args.Stored {
		h.n.pins.CacheStored(args)
		reply.Target = args.Target
		return nil
	}
	if args.Copy || args.Ahead {
		reply.Target = h.n.pins.CacheUnstored(args)
		return nil
	}
	reply.Target = h.n.pins.DecideLocally(h.n.life, args.Session, args)
	return nil
}

// Pins implements wire.Handler.
func (h *handler) Pins(args wire.PinsArgs, _ *wire.PinsReply) error {
	for _, p := range args.Pins {
		h.n.pins.CacheIfAbsent(p)
	}
	return nil
}

// pinPeers reaches the homes of sessions.
type pinPeers struct {
	n *Node
}

var _ ledger.PinPeers = pinPeers{}

// homes returns the live nodes in the session's order.
func (p pinPeers) homes(session string) []string {
	var ids []string
	for _, m := range p.n.members.Snapshot().Nodes {
		if m.Live && !m.State.Leaving {
			ids = append(ids, m.State.ID)
		}
	}
	return routing.Rendezvous(ids, "session/"+session)
}

// Decide implements ledger.PinPeers: the first node of the session's order
// that answers decides, this one if it is before them.
func (p pinPeers) Decide(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool) {
	for i, id := range p.homes(session) {
		if id == p.n.options.Settings.ID || i == pinTries {
			break
		}
		if t, ok := p.ask(ctx, id, session, args, pinTimeout); ok {
			return t, true
		}
	}
	return config.Target{}, false
}

// CopyBeforeStore implements ledger.PinPeers. A process that has just started may be the
// home of a session that several nodes behind it have decided, of which the
// next has just started too: it asks more of them.
func (p pinPeers) CopyBeforeStore(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool) {
	ids := p.homes(session)
	view := p.n.members.Snapshot()
	if len(ids) < 2 || ids[0] != p.n.options.Settings.ID || view.LiveCount() < view.StoreUsers() {
		return config.Target{}, false
	}
	tries := 1
	if time.Since(p.n.started) < pinYoung {
		tries = pinTries
	}
	args.From = p.n.process()
	for _, id := range ids[1:min(len(ids), 1+tries)] {
		t, ok := p.ask(ctx, id, session, args, copyPinTimeout)
		if !ok || t != args.Target {
			return t, ok
		}
	}
	return args.Target, true
}

// CopyUnstored implements ledger.PinPeers: the first other node that answers takes it.
func (p pinPeers) CopyUnstored(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool) {
	args.Copy = true
	tries := 0
	for _, id := range p.homes(session) {
		if id == p.n.options.Settings.ID || tries == pinTries {
			continue
		}
		tries++
		if t, ok := p.ask(ctx, id, session, args, copyPinTimeout); ok {
			return t, true
		}
	}
	return config.Target{}, false
}

// NotifyStored implements ledger.PinPeers.
func (p pinPeers) NotifyStored(session string, args wire.PinArgs) {
	args.Stored = true
	for _, id := range p.homes(session) {
		if id != p.n.options.Settings.ID {
			go p.ask(p.n.life, id, session, args, copyPinTimeout)
			return
		}
	}
}

func (p pinPeers) ask(ctx context.Context, id, session string, args wire.PinArgs, wait time.Duration) (config.Target, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	args.Session = session
	reply := &wire.PinReply{}
	if p.n.call(ctx, id, "Pin", args, reply) != nil || reply.Target == (config.Target{}) {
		return config.Target{}, false
	}
	return reply.Target, true
}

const (
	// pinsPerMessage bounds one message with what a node remembers.
	pinsPerMessage = 1000
	// pinKeepers is how many nodes are told of a session that a leaving node
	// remembers.
	pinKeepers      = 2
	handPinsTimeout = 2 * time.Second
)

// handPins gives what this node remembers of sessions to their next homes,
// before the process ends: pins that the table lacks to be stored, the others
// to be remembered should the table be away.
func (n *Node) handPins(ctx context.Context) {
	for _, args := range n.pins.Unstored() {
		pinPeers{n}.CopyUnstored(ctx, args.Session, args)
	}
	to := map[string][]wire.PinArgs{}
	for _, args := range n.pins.AllCached() {
		homes := pinPeers{n}.homes(args.Session)
		for _, id := range homes[:min(len(homes), pinKeepers)] {
			to[id] = append(to[id], args)
		}
	}
	for id, list := range to {
		for batch := range slices.Chunk(list, pinsPerMessage) {
			n.handBatch(ctx, id, batch)
		}
	}
}

func (n *Node) handBatch(ctx context.Context, id string, batch []wire.PinArgs) {
	ctx, cancel := context.WithTimeout(ctx, handPinsTimeout)
	defer cancel()
	_ = n.call(ctx, id, "Pins", wire.PinsArgs{Pins: batch}, &wire.PinsReply{})
}
