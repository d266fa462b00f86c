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
	// meanAnswerTokens is the mean length of an answer in tokens, and
	// tokenInterval the time between its tokens.
	meanAnswerTokens = 337
	tokenInterval    = 40 * time.Millisecond
	loadWorkers      = 64
	callTimeout      = 2 * time.Second
)

// startLoad acquires slots from the owners at the shape's rate of requests, and
// releases each when its answer would have ended. It returns a function that
// stops the load.
func (f *fleet) startLoad() func() {
	ctx, cancel := context.WithCancel(context.Background())
	if f.shape.Requests == 0 {
		return cancel
	}
	peers := wire.NewPeers(innerSecret, wire.DialTCP)
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
					f.holdSlot(ctx, peers, random, fmt.Sprintf("%d-%d", worker, n))
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

// holdSlot acquires a slot on a random replica on behalf of a random node, and
// releases it after the time that an answer takes.
func (f *fleet) holdSlot(ctx context.Context, peers *wire.Peers, random *rand.Rand, grant string) {
	requester := f.nodes[random.IntN(len(f.nodes))].Status()
	if len(requester.Replicas) == 0 {
		return
	}
	replica := requester.Replicas[random.IntN(len(requester.Replicas))]
	var owner, self wire.NodeState
	for _, m := range requester.Nodes {
		switch m.State.ID {
		case replica.Owner:
			owner = m.State
		case requester.Node:
			self = m.State
		}
	}
	tokens := 1 + int(random.ExpFloat64()*meanAnswerTokens)
	args := wire.AcquireArgs{Grant: grant, Node: requester.Node, Incarnation: self.Incarnation, Replica: replica.ID, Target: target, Organisation: "organisation-1", Rank: random.IntN(3), Tokens: tokens, Wait: time.Second}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &wire.AcquireReply{}
	if peers.Call(callCtx, owner.Inner, "Acquire", args, reply) != nil || !reply.Granted {
		return
	}
	time.AfterFunc(time.Duration(tokens)*tokenInterval, func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = peers.Call(callCtx, owner.Inner, "Release", wire.ReleaseArgs{Grant: grant, Replica: replica.ID, Tokens: tokens}, &wire.ReleaseReply{})
	})
}

// falseSuspicions returns how many times a node treats a live node as
// unreachable.
func (f *fleet) falseSuspicions() int {
	count := 0
	for _, n := range f.nodes {
		for _, m := range n.Status().Nodes {
			if !m.IsLive {
				count++
			}
		}
	}
	return count
}

// measureConfigChange changes the configuration and returns the time until it is
// in force on every node, in seconds.
func (f *fleet) measureConfigChange() (float64, error) {
	revision := f.nodes[0].Status().Revision.Number + 1
	if err := f.apply("change"); err != nil {
		return 0, err
	}
	start := time.Now()
	err := f.wait(eventTimeout, "apply the configuration", func() bool {
		for _, n := range f.nodes {
			if n.Status().Revision.Number < revision {
				return false
			}
		}
		return true
	})
	return time.Since(start).Seconds(), err
}

// measureDetection stops the last node without a shutdown notice. It returns how
// long all nodes of its data centre, and all nodes of the fleet, took to detect
// that, in seconds.
func (f *fleet) measureDetection() (local, fleetWide float64, err error) {
	last := len(f.nodes) - 1
	stopped, settings := f.nodes[last], f.settings[last]
	f.nodes = f.nodes[:last]
	go stopped.Close()
	start := time.Now()
	hasDetected := func(n *node.Node) bool {
		for _, m := range n.Status().Nodes {
			if m.State.ID == settings.ID && m.IsLive {
				return false
			}
		}
		return true
	}
	err = f.wait(eventTimeout, "detect the stopped node", func() bool {
		isDetected, isLocallyDetected := true, true
		for i, n := range f.nodes {
			if hasDetected(n) {
				continue
			}
			isDetected = false
			isLocallyDetected = isLocallyDetected && f.settings[i].DataCentre != settings.DataCentre
		}
		if isLocallyDetected && local == 0 {
			local = time.Since(start).Seconds()
		}
		return isDetected
	})
	return local, time.Since(start).Seconds(), err
}
