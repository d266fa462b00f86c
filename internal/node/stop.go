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
	// shutdownNotice is how long a node that shuts down still serves callers
	// that have not yet received the new directory.
	shutdownNotice = membership.AddressTTL + membership.HeartbeatInterval
	// expeditedDrainTimeout bounds the time for running requests after a second
	// signal.
	expeditedDrainTimeout = 10 * time.Second
	// lastMessageTimeout bounds the last messages of a node that shuts down.
	lastMessageTimeout = 2 * time.Second
)

// Shutdown shuts the node down gracefully. The node is removed from the directory,
// returns its queued requests, serves on until callers have received the new
// directory, waits for running requests, and stores its bills. Shutdown returns
// when ctx ends at the latest.
func (n *Node) Shutdown(ctx context.Context) error {
	n.isShuttingDown.Store(true)
	n.members.Update(time.Now(), func(s *wire.NodeState) { s.Leaving = true })
	n.updateOwnedReplicas()
	n.triggerExchange()
	n.options.Log.Info("shutting down: serving until callers have received the new directory", zap.Duration("notice", shutdownNotice))
	n.waitForNotice(ctx)
	err := n.drainRequests(ctx)
	n.flushLedger(ctx)
	n.handOffState(ctx)
	n.announceShutdown()
	n.Close()
	return err
}

// ExpediteShutdown makes a node that shuts down refuse new requests and stop
// sooner. Bills are still stored.
func (n *Node) ExpediteShutdown() {
	n.isRefusing.Store(true)
	n.expediteOnce.Do(func() { close(n.expedited) })
}

func (n *Node) waitForNotice(ctx context.Context) {
	timer := time.NewTimer(shutdownNotice)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.expedited:
	case <-ctx.Done():
	}
}

// drainRequests closes the listeners and waits for running requests.
func (n *Node) drainRequests(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-n.expedited:
			sleep(ctx, expeditedDrainTimeout)
			cancel()
		case <-ctx.Done():
		}
	}()
	var firstErr error
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "requests were still running at the shutdown deadline: allow more time")
		}
	}
	return firstErr
}

// handOffState sends unstored bills and all cached pins to other nodes, even if
// the time to shut down has run out.
func (n *Node) handOffState(ctx context.Context) {
	if ctx.Err() != nil {
		lastCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastMessageTimeout)
		defer cancel()
		ctx = lastCtx
	}
	n.handOffBills(ctx)
	n.handOffPins(ctx)
}

// announceShutdown sends the gossip peers the shutdown of the node and deletes its
// row in the table.
func (n *Node) announceShutdown() {
	n.members.AnnounceShutdown(time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), lastMessageTimeout)
	defer cancel()
	n.exchangeRound(ctx, true)
	n.unregister(ctx)
	n.exchanger.stop()
}

// Close stops the node at once.
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
