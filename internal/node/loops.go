package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/platform"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	configInterval  = 2 * time.Second
	vmInterval      = 2 * time.Second
	probeInterval   = time.Second
	exchangeTimeout = time.Second
	// exchangePeers is how many peers hear of a node's news each time.
	exchangePeers = 3
)

// exchange tells some peers the news and takes theirs.
func (n *Node) exchange(ctx context.Context) {
	now := time.Now()
	n.members.Update(now, func(s *wire.NodeState) {
		s.Revision = n.config.Current().Number
		s.Replicas = n.owner.Published()
	})
	n.members.Tick(now)
	n.owner.Drop(n.alive)
	for _, address := range n.pickPeers() {
		n.exchangeWith(ctx, address)
	}
	n.own()
}

// pickPeers returns the inner addresses of some other nodes, live ones and
// seeds mixed.
func (n *Node) pickPeers() []string {
	seen := map[string]bool{n.members.Self().Inner: true}
	var list []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			list = append(list, address)
		}
	}
	for _, m := range n.members.Snapshot().Nodes {
		if m.Live {
			add(m.State.Inner)
		}
	}
	live := len(list)
	rand.Shuffle(live, func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(live, exchangePeers)]
	n.mu.Lock()
	defer n.mu.Unlock()
	var seeds []string
	for _, address := range n.seeds {
		seeds = append(seeds, address)
	}
	seeds = append(seeds, n.options.Settings.Peers...)
	if len(seeds) > 0 {
		add(seeds[rand.IntN(len(seeds))])
	}
	return list
}

func (n *Node) exchangeWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	args := wire.ExchangeArgs{From: n.options.Settings.ID, Known: n.members.Known(), States: []wire.NodeState{n.members.Self()}}
	reply := &wire.ExchangeReply{}
	if n.peers.Call(ctx, address, "Exchange", args, reply) != nil {
		return
	}
	n.members.Merge(time.Now(), reply.States)
	if reply.Revision > n.config.Current().Number {
		n.fetchRevision(ctx, address)
	}
}

// fetchRevision takes a newer revision from a peer.
func (n *Node) fetchRevision(ctx context.Context, address string) {
	reply := &wire.RevisionReply{}
	if n.peers.Call(ctx, address, "Revision", wire.RevisionArgs{Number: n.config.Current().Number + 1}, reply) != nil {
		return
	}
	rev := &config.Revision{}
	if json.Unmarshal(reply.Revision, rev) != nil {
		return
	}
	content, err := config.DecodeConfig(reply.Config, rev.Hash)
	if err != nil {
		return
	}
	rev.Config = content
	n.take(rev)
}

// followConfig asks the store for a newer revision.
func (n *Node) followConfig(ctx context.Context) {
	head, _, err := n.store.Head(ctx)
	if err != nil || head.Number <= n.config.Current().Number {
		return
	}
	head.Config, err = n.store.Content(ctx, head.Hash)
	if err != nil {
		return
	}
	n.take(head)
}

// take puts a revision in force.
func (n *Node) take(rev *config.Revision) {
	if !n.config.Offer(rev) {
		return
	}
	n.owner.Configure(rev.Config)
	n.metrics.Revision.Set(float64(rev.Number))
	n.options.Log.Info("configuration in force", zap.Uint64("revision", rev.Number), zap.String("author", rev.Author), zap.String("note", rev.Note))
}

// followVMs reads the platform's list of VMs.
func (n *Node) followVMs(ctx context.Context) {
	vms, err := n.options.Platform.VMs(ctx)
	if err != nil {
		return
	}
	n.mu.Lock()
	n.vms = vms
	n.mu.Unlock()
	n.members.SetVMs(time.Now(), vms)
	n.own()
}

// own takes on the replicas that fall to this node, and gives up the rest.
func (n *Node) own() {
	n.mu.Lock()
	vms := n.vms
	n.mu.Unlock()
	view := n.members.Snapshot()
	var mine []platform.VM
	for _, vm := range vms {
		if r, ok := view.Replica(vm.ID); ok && r.Owner == n.options.Settings.ID {
			mine = append(mine, vm)
		}
	}
	n.owner.Own(mine, n.config.Current().Config)
}

// probe asks the owned replicas for their load.
func (n *Node) probe(ctx context.Context) {
	n.owner.Probe(ctx, n.options.Dialer, func(pool string) bool {
		return n.config.Current().Config.Services[pool] != nil
	})
	n.metrics.PendingBills.Set(float64(n.bills.Pending()))
	n.members.Update(time.Now(), func(s *wire.NodeState) { s.Replicas = n.owner.Published() })
}

// alive tells whether a node runs in the given incarnation.
func (n *Node) alive(id string, incarnation uint64) bool {
	if id == n.options.Settings.ID {
		return incarnation == n.incarnation
	}
	other, ok := n.members.Snapshot().Node(id)
	return ok && other.Live && other.State.Incarnation == incarnation
}
