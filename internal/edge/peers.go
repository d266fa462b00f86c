package edge

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// syncPause is the least time between two rounds of exchanges.
	syncPause = 20 * time.Millisecond
	// discoveryInterval is how often a hub contacts a node that it knows only by its row
	// in the store or from the settings, so that partitions of the fleet that lost each
	// other merge again.
	discoveryInterval = 2 * time.Second
	// bootstrapInterval is the same interval for a node that knows no other node.
	bootstrapInterval = 200 * time.Millisecond
	// peerIdleTime is how long a connection is kept after its last exchange began. It is
	// longer than any exchange lasts.
	peerIdleTime = 15 * time.Second
)

// peer is a connection to a node.
type peer struct {
	*gossip.Peer
	usedAt time.Time // when the last exchange began
}

// memberRow is a node's row in the store.
type memberRow struct {
	Inner string `json:"inner"`
}

// syncPeers keeps one exchange open with each upstream.
func (n *Node) syncPeers(ctx context.Context) {
	finished := make(chan string, 64)
	running := map[string]bool{}
	for ctx.Err() == nil {
		addresses, passesUp := n.upstreams(time.Now())
		for _, address := range addresses {
			if running[address] || len(running) > cap(finished)/2 {
				continue
			}
			running[address] = true
			go func() {
				n.syncPeer(ctx, address, passesUp)
				finished <- address
			}()
		}
		timer := time.NewTimer(idlePause)
		select {
		case <-ctx.Done():
		case address := <-finished:
			delete(running, address)
			loop.Sleep(ctx, syncPause)
		case <-timer.C:
		}
		timer.Stop()
	}
}

// syncPeer runs one exchange with a node. passesUp is as in upstreams.
func (n *Node) syncPeer(ctx context.Context, address string, passesUp bool) {
	p := n.peer(address)
	p.IsHub = passesUp
	if err := n.exchange.Ask(ctx, p); err != nil && ctx.Err() == nil {
		n.members.markUnreachable(address, time.Now())
		n.options.Log.Info("peer lost", zap.String("peer", address), telemetry.ErrorField(err))
	}
}

// peer returns the connection to an address, adding it if there is none.
func (n *Node) peer(address string) *gossip.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[address]
	if p == nil {
		p = &peer{Peer: gossip.NewPeer(address)}
		n.peers[address] = p
	}
	p.usedAt = time.Now()
	return p.Peer
}

// closeIdlePeers closes connections to nodes that this one no longer asks. Both ends keep
// buffers as large as the largest message.
func (n *Node) closeIdlePeers(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, p := range n.peers {
		if now.Sub(p.usedAt) > peerIdleTime {
			p.Close()
			delete(n.peers, address)
		}
	}
}

// localUpstream returns the address of the node of this data centre from which this node
// receives updates.
func (n *Node) localUpstream(now time.Time) string {
	_, up := n.members.snapshot(now)
	return up
}

// upstreams returns the addresses that this node starts exchanges with: the hub of its
// data centre or a relay node on the way to it, or, as a hub, the hubs of the data centres
// that sort after its own. The others start exchanges with it. passesUp is set if the address
// is in this data centre and gets the rows of upward tables.
func (n *Node) upstreams(now time.Time) (addresses []string, passesUp bool) {
	t, up := n.members.snapshot(now)
	localDC, hubs := n.settings.Load().DataCentre, t.hubs
	if hub := hubs[localDC]; hub != n.innerAddress && hub != "" {
		return []string{up}, true
	}
	var out []string
	for dc, hub := range hubs {
		if dc > localDC {
			out = append(out, hub)
		}
	}
	if n.startDiscoveryIfDue() {
		if s := n.unknownPeer(); s != "" {
			out = append(out, s)
		}
	}
	return out, false
}

// startDiscoveryIfDue reports whether this hub should contact a node that it does not
// know, and if so restarts the interval. After a partition the fleet may consist of
// parts that lost each other.
func (n *Node) startDiscoveryIfDue() bool {
	now, pause := time.Now(), discoveryInterval
	if n.members.count() == 1 {
		pause = bootstrapInterval
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.lastDiscovery) < pause {
		return false
	}
	n.lastDiscovery = now
	return true
}

// unknownPeer returns the address of a node that is registered or named in the
// settings but is no live member, or "". The choice rotates over all such nodes.
func (n *Node) unknownPeer() string {
	known := map[string]bool{n.innerAddress: true}
	for _, m := range n.members.live() {
		known[m.Inner] = true
	}
	var list []string
	for _, r := range n.rows.List(tableSystem) {
		if !strings.HasPrefix(r.Key, memberKeyPrefix) {
			continue
		}
		var m memberRow
		if err := json.Unmarshal(r.Data, &m); err != nil {
			n.options.Log.Warn("cannot decode member row", zap.String("key", r.Key), telemetry.ErrorField(err))
			continue
		}
		list = append(list, m.Inner)
	}
	for _, ip := range n.options.Settings.Seeds {
		list = append(list, n.innerAddressOf(ip))
	}
	slices.Sort(list)
	list = slices.DeleteFunc(slices.Compact(list), func(a string) bool { return known[a] })
	if len(list) == 0 {
		return ""
	}
	return list[int(time.Now().UnixNano()/int64(bootstrapInterval))%len(list)]
}

// readerTurn returns this node's turn among those that may read the store for all; 0
// reads. These are the hubs, in the same order on all nodes. A node that has just
// started waits for updates of others first.
func (n *Node) readerTurn() int {
	hubs := n.members.hubs(time.Now())
	if len(hubs) == 1 && n.members.count() == 1 && time.Since(n.startedAt) < n.listenDuration() {
		return len(hubs)
	}
	turn := readerIndex(slices.Sorted(maps.Values(hubs)), n.innerAddress)
	if n.options.Settings.FirstStart && time.Since(n.startedAt) < fleetConvergenceTime && n.listenDuration() > 0 {
		// Until the nodes have found each other, each considers itself the hub of its data
		// centre.
		return max(turn, 1)
	}
	return turn
}

const (
	// bootstrapListenTime is how long a starting node waits for updates of the nodes that
	// its settings name before it reads the store itself.
	bootstrapListenTime = 1500 * time.Millisecond
	// fleetConvergenceTime is how long a whole fleet takes to agree on its hubs: 79 nodes
	// that start at once have done so within 5 s.
	fleetConvergenceTime = 6 * time.Second
)

// listenDuration returns how long this node waits for updates before it reads the
// store, which may have been restored to a configuration that the other nodes have left
// behind. It is 0 for a seed in a fleet that starts for the first time: other nodes look
// for it.
func (n *Node) listenDuration() time.Duration {
	s := n.options.Settings
	if len(s.Seeds) == 0 || (s.FirstStart && slices.Contains(s.Seeds, s.IP)) {
		return 0
	}
	return bootstrapListenTime
}

func (n *Node) memberKey() string { return memberKeyPrefix + n.options.Settings.Node }

// isHub reports whether this node is the hub of its data centre.
func (n *Node) isHub() bool {
	return n.members.hubs(time.Now())[n.options.Settings.DataCentre] == n.innerAddress
}

// register keeps a hub's address in the store, so that nodes which know no other find
// it.
func (n *Node) register(ctx context.Context) {
	raw, err := json.Marshal(memberRow{Inner: n.innerAddress})
	if err != nil {
		n.options.Log.Error("node is not registered", telemetry.ErrorField(err))
		return
	}
	for ctx.Err() == nil {
		row, known := n.rows.Get(tableSystem, n.memberKey())
		if n.isHub() && !(known && string(row.Data) == string(raw)) && !n.rows.Cursor(tableSystem).IsZero() {
			_, err := n.options.Store.Write(ctx, tableSystem, n.memberKey(), n.rows.Expected(tableSystem, n.memberKey()), raw)
			n.reader.countCall("register", outcomeOf(err))
			if err != nil {
				n.options.Log.Warn("node is not registered", telemetry.ErrorField(err))
			}
		}
		loop.Sleep(ctx, discoveryInterval)
	}
}

// readerIndex returns the position of self among the hubs in reading order. Nodes that
// are no hub come last.
func readerIndex(hubs []string, self string) int {
	order := routing.Rendezvous(hubs, "reader")
	if i := slices.Index(order, self); i >= 0 {
		return i
	}
	return len(order) + 1
}
