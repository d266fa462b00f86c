package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	exchangeTimeout = time.Second
	// kickGap is the least time between two rounds of exchange.
	kickGap = 100 * time.Millisecond
	// smallFleet is the number of nodes up to which news goes to other data
	// centres at each heartbeat; above, farInterval passes in between.
	smallFleet  = 64
	farInterval = 3 * membership.HeartbeatInterval / 2
	// strayInterval is how often a node tries one address that it does not
	// know to be live.
	strayInterval = 2 * time.Second
	// seedShare is the share of tries, as one in so many, in which a node that
	// sees others looks at the table's addresses too.
	seedShare = 15
	// maxFollowUps bounds the messages of one exchange.
	maxFollowUps = 64
	// maxConfigBytes bounds a configuration taken from a peer.
	maxConfigBytes = 64 << 20
)

// exchanger runs the exchange of news with the neighbours.
type exchanger struct {
	kick  chan struct{}
	mu    sync.Mutex
	busy  map[string]bool // guarded by mu; addresses with an exchange under way
	ended bool            // guarded by mu
	stray time.Time       // guarded by mu
	far   time.Time       // guarded by mu; when the last round with other data centres began
	wg    sync.WaitGroup
}

func newExchanger() *exchanger {
	return &exchanger{kick: make(chan struct{}, 1), busy: map[string]bool{}}
}

// kickPeers starts a round of exchange soon.
func (n *Node) kickPeers() {
	select {
	case n.exchanger.kick <- struct{}{}:
	default:
	}
}

// runExchange exchanges news at each heartbeat and when kicked.
func (n *Node) runExchange(ctx context.Context) {
	defer n.exchanger.end()
	ticker := time.NewTicker(membership.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.heartbeat()
			n.round(ctx, false)
		case <-n.exchanger.kick:
			n.round(ctx, true)
			pause(ctx, kickGap)
		}
	}
}

// end refuses further exchanges and waits for those under way.
func (e *exchanger) end() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	e.wg.Wait()
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// heartbeat raises the own heartbeat and acts on who is gone.
func (n *Node) heartbeat() {
	now := time.Now()
	n.members.Publish(now, n.owner.ReplicaStates())
	n.members.Tick(now)
	n.owner.ReleaseLostNodes(n.alive)
	n.bills.TakeOver(copies{n}.IsLive)
	n.shareSuspects(now)
	n.own()
	n.platform.SetNodes(n.members.Snapshot().StoreUsers())
	n.peers.Sweep()
}

// round exchanges news with the neighbours, those of other data centres not
// each time unless kicked, and now and then with an address that is not known
// to be live.
func (n *Node) round(ctx context.Context, kicked bool) {
	view := n.members.Snapshot()
	for _, to := range view.GossipPeers(n.options.Settings.ID) {
		if to.IsRemote && !kicked && !n.exchanger.farDue(time.Now(), len(view.Nodes)) {
			continue
		}
		n.begin(to.Inner, func() { n.exchangeWith(ctx, to) })
	}
	n.exchanger.farDone(time.Now())
	if !n.exchanger.strayDue(time.Now()) {
		return
	}
	if address := n.pickStray(); address != "" {
		n.begin(address, func() { n.introduce(ctx, address) })
	}
}

// farDue tells whether it is time to exchange with other data centres: at each
// heartbeat in a small fleet, at every other one in a large one.
func (e *exchanger) farDue(now time.Time, nodes int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return nodes <= smallFleet || now.Sub(e.far) > farInterval
}

// farDone notes a round, if one with other data centres was due.
func (e *exchanger) farDone(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.far) > farInterval {
		e.far = now
	}
}

// strayDue tells whether it is time to try an address not known to be live.
func (e *exchanger) strayDue(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.stray) < strayInterval {
		return false
	}
	e.stray = now
	return true
}

// begin runs an exchange in the background, unless one with the same address
// is under way.
func (n *Node) begin(address string, do func()) {
	e := n.exchanger
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended || e.busy[address] {
		return
	}
	e.busy[address] = true
	e.wg.Go(func() {
		do()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.busy, address)
	})
}

// pickStray returns an address at which a node may be that is not known to be
// live: of nodes lost from sight, from the settings, and, for a node that sees
// no other, from the table.
func (n *Node) pickStray() string {
	live := map[string]bool{n.members.Self().Inner: true}
	var list []string
	view := n.members.Snapshot()
	for _, m := range view.Nodes {
		switch {
		case m.Live:
			live[m.State.Inner] = true
		case !m.State.Leaving:
			list = append(list, m.State.Inner)
		}
	}
	list = append(list, n.options.Settings.Peers...)
	if view.LiveCount() == 1 || rand.IntN(seedShare) == 0 {
		n.mu.Lock()
		list = slices.AppendSeq(list, maps.Values(n.seeds))
		n.mu.Unlock()
	}
	strays := slices.DeleteFunc(list, func(address string) bool { return address == "" || live[address] })
	if len(strays) == 0 {
		return ""
	}
	return strays[rand.IntN(len(strays))]
}

// introduce tells an address of the own node and takes all that it knows.
func (n *Node) introduce(ctx context.Context, address string) {
	news := n.members.Introduce(n.config.Current().Number)
	from, more := n.exchangeNews(ctx, address, news)
	if more {
		n.exchangeWith(ctx, membership.Peer{Name: from, Inner: address})
	}
}

// exchangeWith exchanges news with a peer until neither side has more.
func (n *Node) exchangeWith(ctx context.Context, to membership.Peer) {
	for range maxFollowUps {
		news := n.members.Compose(to, n.config.Current().Number)
		if _, more := n.exchangeNews(ctx, to.Inner, news); !more && !news.More {
			return
		}
	}
}

// exchangeNews carries one message each way. It returns the peer's name and
// whether the peer has more to tell.
func (n *Node) exchangeNews(ctx context.Context, address string, news wire.News) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply := &wire.ExchangeReply{}
	err := n.peers.Call(ctx, address, "Exchange", news, reply)
	n.noteExchange(address, err)
	if err != nil {
		return "", false
	}
	n.members.Merge(time.Now(), *reply)
	n.fetchRevision(ctx, address, reply.Revision)
	return reply.From, reply.More
}

// fetchRevision takes a revision from a peer that has a newer one.
func (n *Node) fetchRevision(ctx context.Context, address string, number uint64) {
	current := n.config.Current()
	if number <= current.Number {
		return
	}
	reply := &wire.RevisionReply{}
	if n.peers.Call(ctx, address, "Revision", wire.RevisionArgs{Number: number, Hash: current.Hash}, reply) != nil {
		return
	}
	rev := &config.Revision{}
	if json.Unmarshal(reply.Revision, rev) != nil {
		return
	}
	content := current.Config
	if rev.Hash != current.Hash {
		body, err := unpack(reply.Config)
		if err != nil {
			return
		}
		if content, err = config.DecodeConfig(body, rev.Hash); err != nil {
			return
		}
	}
	rev.Config = content
	n.take(rev)
}

// pack compresses a configuration, unpack undoes it.
func pack(body []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(body); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return b.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack configuration")
	}
	body, err := io.ReadAll(io.LimitReader(r, maxConfigBytes))
	return body, errors.Wrap(err, "unpack configuration")
}
