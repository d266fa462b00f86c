package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// drainNotice is how long a leaving node still serves callers who have
	// not yet heard of it.
	drainNotice = membership.AddressTTL + membership.HeartbeatInterval
	// hurryTimeout bounds the running requests after a second signal.
	hurryTimeout = 10 * time.Second
	// closeTimeout bounds the last messages of a leaving node.
	closeTimeout = 2 * time.Second
)

// Leave stops gracefully: the node leaves the directory, hands its queues
// back, serves on until callers have heard of it, lets running requests end,
// and stores its bills. It returns when ctx ends at the latest.
func (n *Node) Leave(ctx context.Context) error {
	n.leaving.Store(true)
	n.members.Update(time.Now(), func(s *wire.NodeState) { s.Leaving = true })
	n.own()
	n.kickPeers()
	n.options.Log.Info("leaving: serving on until callers have heard", zap.Duration("notice", drainNotice))
	n.waitNotice(ctx)
	err := n.endRequests(ctx)
	n.closeBooks(ctx)
	n.handOn(ctx)
	n.sayDown()
	n.Close()
	return err
}

// Hurry makes a leaving node refuse new requests and leave sooner; bills are
// stored all the same.
func (n *Node) Hurry() {
	n.refusing.Store(true)
	n.hurryOnce.Do(func() { close(n.hurry) })
}

func (n *Node) waitNotice(ctx context.Context) {
	timer := time.NewTimer(drainNotice)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.hurry:
	case <-ctx.Done():
	}
}

// endRequests closes the listeners and waits for running requests.
func (n *Node) endRequests(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-n.hurry:
			pause(ctx, hurryTimeout)
			cancel()
		case <-ctx.Done():
		}
	}()
	var first error
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "requests were still running: allow more time for a stop")
		}
	}
	return first
}

// handOn gives what the table lacks to other nodes, and the pins that this
// node remembers, also where the time to leave has run out.
func (n *Node) handOn(ctx context.Context) {
	if ctx.Err() != nil {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		ctx = last
	}
	n.spreadBills(ctx)
	n.handPins(ctx)
}

// sayDown tells the neighbours that the node stops now, and takes its row
// from the table.
func (n *Node) sayDown() {
	n.members.AnnounceShutdown(time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	n.round(ctx, true)
	n.unregister(ctx)
	n.exchanger.end()
}

// Close stops at once.
func (n *Node) Close() {
	n.stop()
	for _, s := range n.servers {
		s.Close()
	}
	n.inner.Close()
	n.peers.Close()
	n.loops.Wait()
	_ = n.tracer.Stop(context.Background())
}
