package edge

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// syncPause is the least time between two rounds of questions.
	syncPause = 20 * time.Millisecond
	// discoveryInterval is how often a node asks one that it knows by its row in
	// the store only, so that parts which lost each other meet again.
	discoveryInterval = 2 * time.Second
	// bootstrapInterval is the same for a node that knows no other.
	bootstrapInterval = 200 * time.Millisecond
)

// memberRow is a node's row in the store.
type memberRow struct {
	Inner string `json:"inner"`
}

// syncPeers keeps one question open to each upstream.
func (n *Node) syncPeers(ctx context.Context) {
	busy := make(chan string, 64)
	running := map[string]bool{}
	for ctx.Err() == nil {
		for _, address := range n.upstreams(time.Now()) {
			if running[address] || len(running) > cap(busy)/2 {
				continue
			}
			running[address] = true
			go func() {
				n.ask(ctx, address)
				busy <- address
			}()
		}
		timer := time.NewTimer(idlePause)
		select {
		case <-ctx.Done():
		case address := <-busy:
			delete(running, address)
			loop.Sleep(ctx, syncPause)
		case <-timer.C:
		}
		timer.Stop()
	}
}

// ask sends one question to a node.
func (n *Node) ask(ctx context.Context, address string) {
	p := n.peer(address)
	p.Up = n.members.hubs(time.Now())[n.o.Settings.DataCentre] == address
	if err := n.exchange.Ask(ctx, p); err != nil && ctx.Err() == nil {
		n.members.failed(address, time.Now())
		n.o.Log.Info("peer lost", zap.String("peer", address), telemetry.Cause(err))
	}
}

func (n *Node) peer(address string) *news.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[address]
	if p == nil {
		p = news.NewPeer(address)
		n.peers[address] = p
	}
	return p
}

// upstreams returns whom this node asks: the hub of its data centre, or, as a
// hub, the hubs of the data centres after its own; the others ask it.
func (n *Node) upstreams(now time.Time) []string {
	own, hubs := n.settings.Load().DataCentre, n.members.hubs(now)
	if hub := hubs[own]; hub != n.inner && hub != "" {
		return []string{hub}
	}
	var out []string
	for dc, hub := range hubs {
		if dc > own {
			out = append(out, hub)
		}
	}
	if n.isDiscoveryDue() {
		if s := n.unknownPeer(); s != "" {
			out = append(out, s)
		}
	}
	return out
}

// isDiscoveryDue tells whether this hub looks for nodes that it does not know:
// after a partition the fleet may consist of parts that lost each other.
func (n *Node) isDiscoveryDue() bool {
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

// unknownPeer returns a node that is registered or named in the settings, but of
// which nothing was heard, or "". All take their turn.
func (n *Node) unknownPeer() string {
	known := map[string]bool{n.inner: true}
	for _, m := range n.members.alive() {
		known[m.Inner] = true
	}
	var list []string
	for _, r := range n.rows.List(tableSystem) {
		if !strings.HasPrefix(r.Key, prefixMember) {
			continue
		}
		var m memberRow
		if err := json.Unmarshal(r.Data, &m); err != nil {
			n.o.Log.Warn("member's row is unreadable", zap.String("key", r.Key), telemetry.Cause(err))
			continue
		}
		list = append(list, m.Inner)
	}
	for _, ip := range n.o.Settings.Seeds {
		list = append(list, net.JoinHostPort(ip, strconv.Itoa(n.o.Settings.InnerPort)))
	}
	slices.Sort(list)
	list = slices.DeleteFunc(slices.Compact(list), func(a string) bool { return known[a] })
	if len(list) == 0 {
		return ""
	}
	return list[int(time.Now().UnixNano()/int64(bootstrapInterval))%len(list)]
}

// readerTurn returns this node's place among those that may read the store for
// all: the hubs, in an order that all see alike. A node that has just started
// waits for the news of others.
func (n *Node) readerTurn() int {
	hubs := n.members.hubs(time.Now())
	if len(hubs) == 1 && n.members.count() == 1 && time.Since(n.started) < n.listenFirst() {
		return len(hubs)
	}
	place := readerPlace(slices.Sorted(maps.Values(hubs)), n.inner)
	if n.o.Settings.FirstStart && time.Since(n.started) < meetTime && n.listenFirst() > 0 {
		// Until the nodes have met, each takes itself for its data centre's hub.
		return max(place, 1)
	}
	return place
}

const (
	// listenTime is how long a node that starts listens to the nodes that its
	// settings name before it reads the store itself.
	listenTime = 1500 * time.Millisecond
	// meetTime is how long a whole fleet takes to meet: 79 nodes that start at
	// once have agreed on their hubs within 5 s.
	meetTime = 6 * time.Second
)

// listenFirst returns how long this node listens first; a node that others
// look for does not.
func (n *Node) listenFirst() time.Duration {
	s := n.o.Settings
	if len(s.Seeds) == 0 || slices.Contains(s.Seeds, s.IP) {
		return 0
	}
	return listenTime
}

func (n *Node) memberKey() string { return prefixMember + n.o.Settings.Node }

// register tells the store where a hub is reached, so that nodes which know none
// of the others find it.
func (n *Node) register(ctx context.Context) {
	raw, err := json.Marshal(memberRow{Inner: n.inner})
	if err != nil {
		n.o.Log.Error("node is not registered", telemetry.Cause(err))
		return
	}
	for ctx.Err() == nil {
		row, known := n.rows.Get(tableSystem, n.memberKey())
		isHub := n.members.hubs(time.Now())[n.o.Settings.DataCentre] == n.inner
		if isHub && !(known && string(row.Data) == string(raw)) && n.rows.Cursor(tableSystem) > 0 {
			_, err := n.o.Store.Write(ctx, tableSystem, n.memberKey(), row.Version, raw)
			n.reader.calls("register", outcomeOf(err))
			if err != nil {
				n.o.Log.Warn("node is not registered", telemetry.Cause(err))
			}
		}
		loop.Sleep(ctx, discoveryInterval)
	}
}

// readerPlace orders the hubs for reading and returns the place of self; nodes
// that are no hub come last.
func readerPlace(hubs []string, self string) int {
	order := routing.Rendezvous(hubs, "reader")
	if i := slices.Index(order, self); i >= 0 {
		return i
	}
	return len(order) + 1
}
