package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// evidenceInterval is how often evidence is told at least; it grows by
	// evidencePerNode with the fleet, so that a driver's share stays small.
	evidenceInterval = 2 * time.Second
	evidencePerNode  = 30 * time.Millisecond
	evidenceTimeout  = time.Second
	// watchKey is the rendezvous key of the watch over versions in place.
	watchKey = "watch"
)

func rolloutKey(name string) string { return "rollout/" + name }

// drivers holds this node's judging of versions. It is safe for concurrent
// use.
type drivers struct {
	mu     sync.Mutex
	driver *rollout.Driver // guarded by mu
	told   time.Time       // guarded by mu
}

// liveNodes lists the nodes that may drive.
func (n *Node) liveNodes() []string {
	var out []string
	for _, m := range n.members.Snapshot().Nodes {
		if m.Live && !m.State.Leaving {
			out = append(out, m.State.ID)
		}
	}
	return out
}

// driveRollouts tells the drivers this node's evidence, judges what this node
// drives, and publishes holds.
func (n *Node) driveRollouts(ctx context.Context) {
	live := n.liveNodes()
	now := time.Now()
	n.drivers.mu.Lock()
	due := now.Sub(n.drivers.told) >= max(evidenceInterval, time.Duration(len(live))*evidencePerNode)
	if due {
		n.drivers.told = now
	}
	n.drivers.mu.Unlock()
	if !due {
		return
	}
	n.tellEvidence(ctx, live)
	judgement := n.judge(live, now)
	holds := make([]wire.VersionHold, 0, len(judgement.Holds))
	for t, until := range judgement.Holds {
		holds = append(holds, wire.VersionHold{Target: t, Until: until})
	}
	slices.SortFunc(holds, func(a, b wire.VersionHold) int { return cmp.Compare(a.Target.String(), b.Target.String()) })
	n.members.Update(now, func(s *wire.NodeState) { s.Holds = holds })
	for _, action := range judgement.Actions {
		n.act(ctx, action)
	}
}

// tellEvidence sends the totals to every node that drives something.
func (n *Node) tellEvidence(ctx context.Context, live []string) {
	args := wire.EvidenceArgs{Node: n.options.Settings.ID, Incarnation: n.incarnation, Evidence: n.versions.evidence()}
	if len(args.Evidence) == 0 {
		return
	}
	to := map[string]bool{routing.Highest(live, watchKey): true}
	rev := n.config.Current()
	for name := range rev.Config.Rollouts {
		if rollout.Running(rev, name) {
			to[routing.Highest(live, rolloutKey(name))] = true
		}
	}
	for id := range to {
		if id == n.options.Settings.ID {
			n.takeEvidence(args)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), evidenceTimeout)
			defer cancel()
			_ = n.call(ctx, id, "Evidence", args, &wire.EvidenceReply{})
		}()
	}
}

// takeEvidence takes a node's totals.
func (n *Node) takeEvidence(args wire.EvidenceArgs) {
	rev := n.config.Current()
	n.drivers.mu.Lock()
	defer n.drivers.mu.Unlock()
	for _, e := range args.Evidence {
		n.drivers.driver.Report(rev, args.Node, args.Incarnation, e.Target, e.Evidence)
	}
}

func (n *Node) judge(live []string, now time.Time) rollout.Judgement {
	self := n.options.Settings.ID
	mine := func(name string) bool { return routing.Highest(live, rolloutKey(name)) == self }
	n.drivers.mu.Lock()
	defer n.drivers.mu.Unlock()
	return n.drivers.driver.Judge(n.config.Current(), mine, routing.Highest(live, watchKey) == self, now)
}

// act makes one change by a conditional write. A lost race is looked at again
// with the next judgement.
func (n *Node) act(ctx context.Context, a rollout.Action) {
	rev, err := n.store.Apply(ctx, config.Change{
		Base: n.config.Current().Number, Author: "node " + n.options.Settings.ID, Note: actionNote(a),
		Edit: func(r *config.Revision) error {
			if a.Kind == rollout.ActionWithdraw {
				return rollout.Withdraw(r, a.Target, a.Reason, time.Now())
			}
			return rollout.Advance(r, a.Rollout, time.Now())
		},
	})
	var race *config.RaceError
	switch {
	case err == nil:
		n.take(rev)
	case errors.As(err, &race):
		n.followConfig(ctx)
	default:
		n.options.Log.Warn("roll-out step not stored: trying again", zap.String("step", actionNote(a)), zap.Error(err))
	}
}

func actionNote(a rollout.Action) string {
	if a.Kind == rollout.ActionWithdraw {
		return "withdraw " + a.Target.String() + ": " + a.Reason
	}
	return "roll-out " + a.Rollout + ": next stage, " + a.Reason
}
