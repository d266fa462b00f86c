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
	// evidenceInterval is how often evidence is told at most. It grows with
	// the fleet, so that what a driver hears stays small: by rolloutPerNode
	// for versions that come in and those they replace, by watchPerNode for
	// all versions.
	evidenceInterval = 2 * time.Second
	rolloutPerNode   = 40 * time.Millisecond
	watchPerNode     = 150 * time.Millisecond
	evidenceTimeout  = time.Second
	// watchKey is the rendezvous key of the watch over versions in place.
	watchKey = "watch"
)

// evidenceEvery is how often each of so many nodes tells its evidence.
func evidenceEvery(nodes int, perNode time.Duration) time.Duration {
	return max(evidenceInterval, time.Duration(nodes)*perNode)
}

func rolloutKey(name string) string { return "rollout/" + name }

// drivers holds this node's judging of versions. It is safe for concurrent
// use.
type drivers struct {
	mu      sync.Mutex
	driver  *rollout.Driver // guarded by mu
	told    time.Time       // guarded by mu; to the drivers of roll-outs
	watched time.Time       // guarded by mu; to the watch
}

// due tells whether it is time to tell the drivers of roll-outs, and the
// watch.
func (d *drivers) due(nodes int, now time.Time) (rollouts, watch bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rollouts = now.Sub(d.told) >= evidenceEvery(nodes, rolloutPerNode)
	watch = now.Sub(d.watched) >= evidenceEvery(nodes, watchPerNode)
	if rollouts {
		d.told = now
	}
	if watch {
		d.watched = now
	}
	return rollouts, watch
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
	rollouts, watch := n.drivers.due(len(live), now)
	if watch {
		n.tell(ctx, routing.Highest(live, watchKey), n.versions.evidence(nil))
	}
	if !rollouts {
		return
	}
	rev := n.config.Current()
	for name, plan := range rev.Config.Rollouts {
		if rollout.Running(rev, name) {
			n.tell(ctx, routing.Highest(live, rolloutKey(name)), n.versions.evidence([]config.Target{rollout.InPlace(plan), rollout.Target(plan)}))
		}
	}
	judgement := n.judge(live, now)
	n.members.Update(now, func(s *wire.NodeState) { s.Holds = publishedHolds(s.Holds, judgement.Holds, now) })
	for _, action := range judgement.Actions {
		n.act(ctx, action)
	}
}

// publishedHolds lists the holds for peers. One that goes on is told anew only
// when half of it is over, so that peers do not hear of each extension.
func publishedHolds(old []wire.VersionHold, holds map[config.Target]time.Time, now time.Time) []wire.VersionHold {
	var out []wire.VersionHold
	for t, until := range holds {
		hold := wire.VersionHold{Target: t, Until: until}
		for _, o := range old {
			if o.Target == t && o.Until.Sub(now) > rollout.HoldTime/2 {
				hold = o
			}
		}
		out = append(out, hold)
	}
	slices.SortFunc(out, func(a, b wire.VersionHold) int { return cmp.Compare(a.Target.String(), b.Target.String()) })
	return out
}

// tell sends totals to the node that drives something.
func (n *Node) tell(ctx context.Context, id string, evidence []wire.VersionEvidence) {
	if len(evidence) == 0 {
		return
	}
	args := wire.EvidenceArgs{Node: n.options.Settings.ID, Incarnation: n.members.Incarnation(), Evidence: evidence}
	if id == n.options.Settings.ID {
		n.takeEvidence(args)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), evidenceTimeout)
		defer cancel()
		_ = n.call(ctx, id, "Evidence", args, &wire.EvidenceReply{})
	}()
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
