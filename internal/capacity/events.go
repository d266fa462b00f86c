package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/node"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// requestTokens is the mean length of an answer, tokenInterval the time
	// between its tokens.
	requestTokens = 337
	tokenInterval = 40 * time.Millisecond
	loadWorkers   = 64
	callTimeout   = 2 * time.Second
)

// startLoad asks the owners for places at the shape's rate, and gives each
// back when its answer would have ended. It returns a function that stops.
func (f *fleet) startLoad() func() {
	ctx, cancel := context.WithCancel(context.Background())
	if f.shape.Requests == 0 {
		return cancel
	}
	peers := wire.NewPeers(innerSecret, wire.TCP)
	var wg sync.WaitGroup
	for worker := range loadWorkers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(uint64(worker), 1))
			ticker := time.NewTicker(time.Second * loadWorkers / time.Duration(f.shape.Requests))
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					f.request(ctx, peers, random, fmt.Sprintf("%d-%d", worker, n))
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
		peers.Close()
	}
}

// request holds a place on a random replica for as long as an answer takes.
func (f *fleet) request(ctx context.Context, peers *wire.Peers, random *rand.Rand, grant string) {
	asker := f.nodes[random.IntN(len(f.nodes))].Status()
	if len(asker.Replicas) == 0 {
		return
	}
	replica := asker.Replicas[random.IntN(len(asker.Replicas))]
	var owner, self wire.NodeState
	for _, m := range asker.Nodes {
		switch m.State.ID {
		case replica.Owner:
			owner = m.State
		case asker.Node:
			self = m.State
		}
	}
	tokens := 1 + int(random.ExpFloat64()*requestTokens)
	args := wire.AcquireArgs{Grant: grant, Node: asker.Node, Incarnation: self.Incarnation, Replica: replica.ID, Target: target, Organisation: "organisation-1", Rank: random.IntN(3), Tokens: tokens, Wait: time.Second}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &wire.AcquireReply{}
	if peers.Call(call, owner.Inner, "Acquire", args, reply) != nil || !reply.Granted {
		return
	}
	time.AfterFunc(time.Duration(tokens)*tokenInterval, func() {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = peers.Call(call, owner.Inner, "Release", wire.ReleaseArgs{Grant: grant, Replica: replica.ID, Tokens: tokens}, &wire.ReleaseReply{})
	})
}

// falseSuspicions counts live nodes that another takes for dead.
func (f *fleet) falseSuspicions() int {
	count := 0
	for _, n := range f.nodes {
		for _, m := range n.Status().Nodes {
			if !m.Live {
				count++
			}
		}
	}
	return count
}

// changeConfig returns how long a change of the configuration took to be in
// force on every node, in seconds.
func (f *fleet) changeConfig() (float64, error) {
	next := f.nodes[0].Status().Revision.Number + 1
	if err := f.apply("change"); err != nil {
		return 0, err
	}
	start := time.Now()
	err := f.wait(eventTimeout, "take the configuration", func() bool {
		for _, n := range f.nodes {
			if n.Status().Revision.Number < next {
				return false
			}
		}
		return true
	})
	return time.Since(start).Seconds(), err
}

// killOne stops the last node without notice, and returns how long its data
// centre and the fleet took to see it, in seconds.
func (f *fleet) killOne() (near, far float64, err error) {
	last := len(f.nodes) - 1
	victim, settings := f.nodes[last], f.settings[last]
	f.nodes = f.nodes[:last]
	go victim.Close()
	start := time.Now()
	seen := func(n *node.Node) bool {
		for _, m := range n.Status().Nodes {
			if m.State.ID == settings.ID && m.Live {
				return false
			}
		}
		return true
	}
	err = f.wait(eventTimeout, "notice a death", func() bool {
		all, own := true, true
		for i, n := range f.nodes {
			if seen(n) {
				continue
			}
			all = false
			own = own && f.settings[i].DataCentre != settings.DataCentre
		}
		if own && near == 0 {
			near = time.Since(start).Seconds()
		}
		return all
	})
	return near, time.Since(start).Seconds(), err
}
