package edge

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

const (
	// conversePause is the least time between two rounds of questions.
	conversePause = 40 * time.Millisecond
	// strangerEvery is how often a node asks one that it knows by its row in
	// the store only, so that parts which lost each other meet again.
	strangerEvery = 2 * time.Second
)

// memberRow is a node's row in the store.
type memberRow struct {
	Inner string `json:"inner"`
}

// converse keeps one question open to each upstream.
func (n *Node) converse(ctx context.Context) {
	busy := make(chan string, 64)
	running := map[string]bool{}
	lastStranger := time.Time{}
	for ctx.Err() == nil {
		targets := n.upstreams(time.Now())
		if s := n.stranger(); s != "" && time.Since(lastStranger) > strangerEvery {
			lastStranger = time.Now()
			targets = append(targets, s)
		}
		for _, address := range targets {
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
			sleep(ctx, conversePause)
		case <-timer.C:
		}
		timer.Stop()
	}
}

// ask sends one question to a node.
func (n *Node) ask(ctx context.Context, address string) {
	p := n.peer(address)
	if err := n.exchange.Ask(ctx, p); err != nil && ctx.Err() == nil {
		n.members.failed(address, time.Now())
		n.o.Log.Info("peer lost", zap.String("peer", address), zap.Error(err))
	}
}

func (n *Node) peer(address string) *news.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[address]
	if p == nil {
		p = news.NewPeer(n.inner, address)
		n.peers[address] = p
	}
	return p
}

// upstreams returns whom this node asks: the hub of its data centre, or, as a
// hub, the hubs of the data centres after its own; the others ask it.
func (n *Node) upstreams(now time.Time) []string {
	own := n.settings.Load().DataCentre
	hub := n.members.hub(own, now)
	if hub != n.inner && hub != "" {
		return []string{hub}
	}
	var out []string
	for _, dc := range n.members.dataCentres() {
		if dc <= own {
			continue
		}
		if hub := n.members.hub(dc, now); hub != "" {
			out = append(out, hub)
		}
	}
	return out
}

// stranger returns a node that is registered or named in the settings, but of
// which nothing was heard, or "". All take their turn.
func (n *Node) stranger() string {
	known := map[string]bool{n.inner: true}
	for _, m := range n.members.alive() {
		known[m.Inner] = true
	}
	var list []string
	for _, r := range n.rows.List(tableMembers) {
		var m memberRow
		if err := json.Unmarshal(r.Data, &m); err != nil {
			n.o.Log.Warn("member's row is unreadable", zap.String("key", r.Key), zap.Error(err))
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
	return list[int(time.Now().UnixNano()/int64(strangerEvery))%len(list)]
}

// readerTurn returns this node's place among those that may read the store for
// all: the hubs, in an order that all see alike.
func (n *Node) readerTurn() int {
	now := time.Now()
	var hubs []string
	for _, dc := range n.members.dataCentres() {
		if hub := n.members.hub(dc, now); hub != "" {
			hubs = append(hubs, hub)
		}
	}
	return readerPlace(hubs, n.inner)
}

// register tells the store where this node is reached, so that others find it.
func (n *Node) register(ctx context.Context) {
	raw, err := json.Marshal(memberRow{Inner: n.inner})
	if err != nil {
		n.o.Log.Error("node is not registered", zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		row, known := n.rows.Get(tableMembers, n.o.Settings.Node)
		if known && string(row.Data) == string(raw) {
			sleep(ctx, strangerEvery)
			continue
		}
		if n.rows.Cursor(tableMembers) > 0 {
			_, err := n.o.Store.Write(ctx, tableMembers, n.o.Settings.Node, row.Version, raw)
			n.reader.calls("register", outcomeOf(err))
			if err != nil {
				n.o.Log.Warn("node is not registered", zap.Error(err))
			}
		}
		sleep(ctx, strangerEvery)
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
