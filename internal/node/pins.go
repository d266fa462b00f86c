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
	// pinTimeout bounds one query to a session's home node. It covers the time
	// that the home node waits for the table.
	pinTimeout = 2500 * time.Millisecond
	// pinCopyTimeout bounds the transfer of one copy.
	pinCopyTimeout = 200 * time.Millisecond
	// pinTries is how many nodes are asked, one after another.
	pinTries = 3
	// recentStart is how long a process counts as recently started. Pins
	// decided before its start are stored by the end of this time.
	recentStart = time.Minute
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
	reply.Target = h.n.pins.DecideLocally(h.n.processContext, args.Session, args)
	return nil
}

// Pins implements wire.Handler.
func (h *handler) Pins(args wire.PinsArgs, _ *wire.PinsReply) error {
	for _, p := range args.Pins {
		h.n.pins.CacheIfAbsent(p)
	}
	return nil
}

// pinPeers sends pins to the home nodes of sessions.
type pinPeers struct {
	n *Node
}

var _ ledger.PinPeers = pinPeers{}

// homes returns the live nodes in the rendezvous order of a session. The first
// is its home node.
func (p pinPeers) homes(session string) []string {
	var ids []string
	for _, m := range p.n.members.Snapshot().Nodes {
		if m.IsLive && !m.State.Leaving {
			ids = append(ids, m.State.ID)
		}
	}
	return routing.Rendezvous(ids, "session/"+session)
}

// Decide implements ledger.PinPeers. The first node of the session's order that
// answers decides; this node does if those before it do not answer.
func (p pinPeers) Decide(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool) {
	for i, id := range p.homes(session) {
		if id == p.n.options.Settings.ID || i == pinTries {
			break
		}
		if t, ok := p.requestPin(ctx, id, session, args, pinTimeout); ok {
			return t, true
		}
	}
	return config.Target{}, false
}

// CopyBeforeStore implements ledger.PinPeers. A process that has recently started
// may be the home node of a session whose pin the nodes after it have already
// decided, and the next node may have recently started too. Such a process
// therefore asks more nodes.
func (p pinPeers) CopyBeforeStore(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool) {
	ids := p.homes(session)
	view := p.n.members.Snapshot()
	if len(ids) < 2 || ids[0] != p.n.options.Settings.ID || view.LiveCount() < view.StoreUsers() {
		return config.Target{}, false
	}
	tries := 1
	if time.Since(p.n.started) < recentStart {
		tries = pinTries
	}
	args.From = p.n.process()
	for _, id := range ids[1:min(len(ids), 1+tries)] {
		t, ok := p.requestPin(ctx, id, session, args, pinCopyTimeout)
		if !ok || t != args.Target {
			return t, ok
		}
	}
	return args.Target, true
}

// CopyUnstored implements ledger.PinPeers. The first other node that answers keeps
// the copy.
func (p pinPeers) CopyUnstored(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool) {
	args.Copy = true
	tries := 0
	for _, id := range p.homes(session) {
		if id == p.n.options.Settings.ID || tries == pinTries {
			continue
		}
		tries++
		if t, ok := p.requestPin(ctx, id, session, args, pinCopyTimeout); ok {
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
			go p.requestPin(p.n.processContext, id, session, args, pinCopyTimeout)
			return
		}
	}
}

func (p pinPeers) requestPin(ctx context.Context, id, session string, args wire.PinArgs, wait time.Duration) (config.Target, bool) {
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
	// pinsPerMessage bounds the pins in one message.
	pinsPerMessage = 1000
	// pinCopies is how many nodes receive the pin of a session from a node
	// that shuts down.
	pinCopies       = 2
	sendPinsTimeout = 2 * time.Second
)

// handOffPins sends the pins of this node to the next home nodes of their
// sessions before the process ends. Pins that are not in the table are sent to
// be stored, the others to be cached in case the table is unavailable.
func (n *Node) handOffPins(ctx context.Context) {
	for _, args := range n.pins.Unstored() {
		pinPeers{n}.CopyUnstored(ctx, args.Session, args)
	}
	to := map[string][]wire.PinArgs{}
	for _, args := range n.pins.AllCached() {
		homes := pinPeers{n}.homes(args.Session)
		for _, id := range homes[:min(len(homes), pinCopies)] {
			to[id] = append(to[id], args)
		}
	}
	for id, list := range to {
		for batch := range slices.Chunk(list, pinsPerMessage) {
			n.sendPins(ctx, id, batch)
		}
	}
}

func (n *Node) sendPins(ctx context.Context, id string, batch []wire.PinArgs) {
	ctx, cancel := context.WithTimeout(ctx, sendPinsTimeout)
	defer cancel()
	_ = n.call(ctx, id, "Pins", wire.PinsArgs{Pins: batch}, &wire.PinsReply{})
}
