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
	// minRoundInterval is the minimum time between two rounds of gossip.
	minRoundInterval = 100 * time.Millisecond
	// smallFleet is the number of nodes up to which updates go to other data
	// centres at each heartbeat. In a larger fleet, remoteInterval passes
	// between two such rounds.
	smallFleet     = 64
	remoteInterval = 3 * membership.HeartbeatInterval / 2
	// unconfirmedInterval is how often a node tries one address that is not
	// confirmed as live.
	unconfirmedInterval = 2 * time.Second
	// A node that sees others also considers the addresses from the table in
	// one of seedDivisor tries.
	seedDivisor = 15
	// maxFollowUps bounds the messages of one exchange.
	maxFollowUps = 64
	// maxConfigBytes bounds the size of a configuration received from a peer.
	maxConfigBytes = 64 << 20
)

// exchanger schedules the exchange of updates with gossip peers.
type exchanger struct {
	trigger         chan struct{}
	mu              sync.Mutex
	inProgress      map[string]bool // guarded by mu; addresses with an exchange in progress
	isStopped       bool            // guarded by mu
	lastUnconfirmed time.Time       // guarded by mu
	lastRemote      time.Time       // guarded by mu; start of the last round with other data centres
	wg              sync.WaitGroup
}

func newExchanger() *exchanger {
	return &exchanger{trigger: make(chan struct{}, 1), inProgress: map[string]bool{}}
}

// triggerExchange requests a round of gossip ahead of the next heartbeat.
func (n *Node) triggerExchange() {
	select {
	case n.exchanger.trigger <- struct{}{}:
	default:
	}
}

// runExchange exchanges updates at each heartbeat and when triggered.
func (n *Node) runExchange(ctx context.Context) {
	defer n.exchanger.stop()
	ticker := time.NewTicker(membership.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.heartbeat()
			n.exchangeRound(ctx, false)
		case <-n.exchanger.trigger:
			n.exchangeRound(ctx, true)
			sleep(ctx, minRoundInterval)
		}
	}
}

// stop rejects further exchanges and waits for those in progress.
func (e *exchanger) stop() {
	e.mu.Lock()
	e.isStopped = true
	e.mu.Unlock()
	e.wg.Wait()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// heartbeat raises the local heartbeat, publishes replica states, releases the
// slots that unreachable nodes held and takes over their bills.
func (n *Node) heartbeat() {
	now := time.Now()
	n.members.Publish(now, n.owner.ReplicaStates())
	n.members.Tick(now)
	n.owner.ReleaseLostNodes(n.isLive)
	n.bills.TakeOver(backups{n}.IsLive)
	n.exchangeSuspects(now)
	n.updateOwnedReplicas()
	n.platform.SetNodes(n.members.Snapshot().StoreUsers())
	n.peers.CloseIdle()
}

// exchangeRound exchanges updates with the gossip peers. Peers in other data
// centres are skipped in some rounds unless the round was triggered. From time
// to time the round includes an address that is not confirmed as live.
func (n *Node) exchangeRound(ctx context.Context, triggered bool) {
	view := n.members.Snapshot()
	for _, to := range view.GossipPeers(n.options.Settings.ID) {
		if to.IsRemote && !triggered && !n.exchanger.isRemoteDue(time.Now(), len(view.Nodes)) {
			continue
		}
		n.startIfIdle(to.Inner, func() { n.exchangeWith(ctx, to) })
	}
	n.exchanger.recordRemoteRound(time.Now())
	if !n.exchanger.advanceIfUnconfirmedDue(time.Now()) {
		return
	}
	if address := n.pickUnconfirmed(); address != "" {
		n.startIfIdle(address, func() { n.introduceTo(ctx, address) })
	}
}

// isRemoteDue reports whether a round with other data centres is due: at each
// heartbeat in a small fleet, at every other one in a large one.
func (e *exchanger) isRemoteDue(now time.Time, nodes int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return nodes <= smallFleet || now.Sub(e.lastRemote) > remoteInterval
}

// recordRemoteRound records the time of a round if one with other data centres
// was due.
func (e *exchanger) recordRemoteRound(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.lastRemote) > remoteInterval {
		e.lastRemote = now
	}
}

// advanceIfUnconfirmedDue reports whether it is time to try an unconfirmed
// address, and if so records the time of this try.
func (e *exchanger) advanceIfUnconfirmedDue(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.lastUnconfirmed) < unconfirmedInterval {
		return false
	}
	e.lastUnconfirmed = now
	return true
}

// startIfIdle starts an exchange in the background, unless one with the same key
// is in progress or the exchanger is stopped.
func (n *Node) startIfIdle(key string, do func()) {
	e := n.exchanger
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isStopped || e.inProgress[key] {
		return
	}
	e.inProgress[key] = true
	e.wg.Go(func() {
		do()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.inProgress, key)
	})
}

// pickUnconfirmed returns a random address at which a node may run that is not
// confirmed as live, or "". Candidates are nodes that became unreachable and
// the peers of the settings. Addresses from the table are added if this node
// sees no other node, and in one of seedDivisor tries otherwise.
func (n *Node) pickUnconfirmed() string {
	live := map[string]bool{n.members.Self().Inner: true}
	var addresses []string
	view := n.members.Snapshot()
	for _, m := range view.Nodes {
		switch {
		case m.IsLive:
			live[m.State.Inner] = true
		case !m.State.Leaving:
			addresses = append(addresses, m.State.Inner)
		}
	}
	addresses = append(addresses, n.options.Settings.Peers...)
	if view.LiveCount() == 1 || rand.IntN(seedDivisor) == 0 {
		n.mu.Lock()
		addresses = slices.AppendSeq(addresses, maps.Values(n.seeds))
		n.mu.Unlock()
	}
	unconfirmed := slices.DeleteFunc(addresses, func(address string) bool { return address == "" || live[address] })
	if len(unconfirmed) == 0 {
		return ""
	}
	return unconfirmed[rand.IntN(len(unconfirmed))]
}

// introduceTo sends the state of the local node to an address and receives all
// updates that the peer has.
func (n *Node) introduceTo(ctx context.Context, address string) {
	updates := n.members.Introduce(n.config.Current().Number)
	from, more := n.exchangeUpdates(ctx, address, updates)
	if more {
		n.exchangeWith(ctx, membership.Peer{Name: from, Inner: address})
	}
}

// exchangeWith exchanges updates with a peer until neither side has more.
func (n *Node) exchangeWith(ctx context.Context, to membership.Peer) {
	for range maxFollowUps {
		updates := n.members.Compose(to, n.config.Current().Number)
		if _, more := n.exchangeUpdates(ctx, to.Inner, updates); !more && !updates.More {
			return
		}
	}
}

// exchangeUpdates sends one message and receives one. It returns the peer's
// name and whether the peer has more updates.
func (n *Node) exchangeUpdates(ctx context.Context, address string, updates wire.News) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply := &wire.ExchangeReply{}
	err := n.peers.Call(ctx, address, "Exchange", updates, reply)
	n.logIfRefused(address, err)
	if err != nil {
		return "", false
	}
	n.members.Merge(time.Now(), *reply)
	n.fetchRevision(ctx, address, reply.Revision)
	return reply.From, reply.More
}

// fetchRevision fetches and applies the configuration of a peer that has a
// newer revision.
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
	n.applyRevision(rev)
}

// pack compresses a configuration, unpack reverses it.
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
