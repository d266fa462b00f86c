package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// evidenceInterval is the minimum time between two transmissions of
	// evidence. The interval grows with the fleet to bound what aggregators and
	// controllers receive: by rolloutEvidencePerNode for versions in a roll-out
	// and those they replace, by allEvidencePerNode for all versions.
	evidenceInterval       = 2 * time.Second
	rolloutEvidencePerNode = 40 * time.Millisecond
	allEvidencePerNode     = 150 * time.Millisecond
	evidenceTimeout        = time.Second
)

// evidenceSendInterval returns how often each of the given number of nodes
// sends its evidence.
func evidenceSendInterval(nodes int, perNode time.Duration) time.Duration {
	return max(evidenceInterval, time.Duration(nodes)*perNode)
}

// rolloutControl holds this node's aggregation and analysis of evidence. It is
// safe for concurrent use.
type rolloutControl struct {
	mu           sync.Mutex
	controller   *rollout.Controller // guarded by mu
	aggregator   *rollout.Aggregator // guarded by mu
	rolloutsSent time.Time           // guarded by mu; last time that roll-out evidence was sent
	allSent      time.Time           // guarded by mu; last time that evidence of all versions was sent
	undelivered  map[string]bool     // guarded by mu; nodes that did not accept the last evidence forwarded to them
}

// errUndelivered rejects evidence while this node can't deliver what it
// aggregated.
var errUndelivered = errors.New("this node does not reach the node that analyzes the evidence: send it to the next aggregator")

// recordDelivery records whether an analyst accepted the evidence forwarded to
// it.
func (c *rolloutControl) recordDelivery(id string, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if accepted {
		delete(c.undelivered, id)
		return
	}
	c.undelivered[id] = true
}

// forgetUndelivered deletes the records of nodes that are no longer analysts.
func (c *rolloutControl) forgetUndelivered(analysts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.undelivered, func(id string, _ bool) bool { return !slices.Contains(analysts, id) })
}

// hasUndelivered reports whether an analyst did not accept the last evidence
// forwarded to it.
func (c *rolloutControl) hasUndelivered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.undelivered) > 0
}

// advanceIfDue reports whether it is time to send evidence of roll-outs, and of
// all versions. It records the time of those that are due.
func (c *rolloutControl) advanceIfDue(nodes int, now time.Time) (rolloutsDue, allDue bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rolloutsDue = now.Sub(c.rolloutsSent) >= evidenceSendInterval(nodes, rolloutEvidencePerNode)
	allDue = now.Sub(c.allSent) >= evidenceSendInterval(nodes, allEvidencePerNode)
	if rolloutsDue {
		c.rolloutsSent = now
	}
	if allDue {
		c.allSent = now
	}
	return rolloutsDue, allDue
}

// controlRollouts sends this node's evidence, forwards evidence aggregated for
// other nodes, analyzes what this node is responsible for, and publishes holds.
func (n *Node) controlRollouts(ctx context.Context) {
	view := n.members.Snapshot()
	now := time.Now()
	rolloutsDue, allDue := n.rollouts.advanceIfDue(view.LiveCount(), now)
	rev := n.config.Current()
	roles := assignEvidenceRoles(view)
	n.rollouts.forgetUndelivered(roles.analysts(rev))
	if allDue {
		n.sendTotals(ctx, roles, n.versions.evidence(), true)
		n.forwardReports(ctx, roles.inPlaceAnalyst(rev), n.aggregatedReports(now), true)
	}
	if !rolloutsDue {
		return
	}
	n.sendRolloutEvidence(ctx, roles, rev, now)
	decisions := n.analyzeEvidence(roles, now)
	n.members.Update(now, func(s *wire.NodeState) { s.Holds = publishedHolds(s.Holds, decisions.Holds, now) })
	for _, action := range decisions.Actions {
		n.applyAction(ctx, action)
	}
}

// sendRolloutEvidence sends and forwards evidence of the roll-outs in progress.
func (n *Node) sendRolloutEvidence(ctx context.Context, roles evidenceRoles, rev *config.Revision, now time.Time) {
	var targets []config.Target
	running := map[string][]config.Target{}
	for name, plan := range rev.Config.Rollouts {
		if rollout.IsRunning(rev, name) {
			running[name] = []config.Target{rollout.InPlace(plan), rollout.Target(plan)}
			targets = append(targets, running[name]...)
		}
	}
	if len(targets) == 0 {
		return
	}
	n.sendTotals(ctx, roles, n.versions.evidence(targets...), false)
	for name, plannedTargets := range running {
		n.forwardReports(ctx, roles.controllerOf(name), n.aggregatedReports(now, plannedTargets...), false)
	}
}

// publishedHolds lists the holds to publish. An extended hold is published
// again only when less than half of it remains, so that not every extension
// causes an update.
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

// sendTotals sends this node's totals to the first aggregator of its data
// centre that answers.
func (n *Node) sendTotals(ctx context.Context, roles evidenceRoles, totals rollout.Totals, complete bool) {
	self := n.options.Settings.ID
	report := rollout.Report{Process: rollout.Process{Node: self, Incarnation: n.members.Incarnation()}, Totals: totals, IsComplete: complete}
	args := wire.PackEvidence([]rollout.Report{report}, complete)
	aggregators := roles.aggregators[n.options.Settings.DataCentre]
	if len(aggregators) == 0 || aggregators[0] == self {
		_ = n.aggregate(args)
		return
	}
	go func() {
		for _, id := range aggregators {
			if n.sendEvidence(ctx, id, "Gather", args) == nil {
				return
			}
		}
	}()
}

// aggregate stores reports to be forwarded.
func (n *Node) aggregate(args wire.EvidenceArgs) error {
	reports, err := args.Reports()
	if err != nil {
		return err
	}
	now := time.Now()
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	for _, r := range reports {
		n.rollouts.aggregator.Add(r, now)
	}
	return nil
}

// aggregatedReports returns the reports to forward about the given versions, or
// about all versions if none is given.
func (n *Node) aggregatedReports(now time.Time, targets ...config.Target) []rollout.Report {
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	n.rollouts.aggregator.Forget(now)
	if targets == nil {
		return n.rollouts.aggregator.CompleteReports()
	}
	return n.rollouts.aggregator.ReportsFor(targets...)
}

// forwardReports sends aggregated reports to the node that analyzes them.
func (n *Node) forwardReports(ctx context.Context, id string, reports []rollout.Report, complete bool) {
	if len(reports) == 0 {
		return
	}
	args := wire.PackEvidence(reports, complete)
	if id == n.options.Settings.ID {
		_ = n.receiveEvidence(args)
		return
	}
	go func() { n.rollouts.recordDelivery(id, n.sendEvidence(ctx, id, "Evidence", args) == nil) }()
}

func (n *Node) sendEvidence(ctx context.Context, id, method string, args wire.EvidenceArgs) error {
	if id == n.options.Settings.ID {
		return n.aggregate(args)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), evidenceTimeout)
	defer cancel()
	return n.call(ctx, id, method, args, &wire.EvidenceReply{})
}

// receiveEvidence passes the totals of processes to the local controller.
func (n *Node) receiveEvidence(args wire.EvidenceArgs) error {
	reports, err := args.Reports()
	if err != nil {
		return err
	}
	rev, now := n.config.Current(), time.Now()
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	for _, r := range reports {
		n.rollouts.controller.Report(rev, r, now)
	}
	return nil
}

func (n *Node) analyzeEvidence(roles evidenceRoles, now time.Time) rollout.Decisions {
	self := n.options.Settings.ID
	rev := n.config.Current()
	isController := func(name string) bool { return roles.controllerOf(name) == self }
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	return n.rollouts.controller.Analyze(rev, isController, roles.inPlaceAnalyst(rev) == self, now)
}

// applyAction makes one configuration change by a conditional write. After a
// lost race, the next analysis decides anew.
func (n *Node) applyAction(ctx context.Context, a rollout.Action) {
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
		n.applyRevision(rev)
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
