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
	// evidenceInterval is how often evidence is told at most. It grows with
	// the fleet, so that what gatherers and drivers hear stays small: by
	// rolloutPerNode for versions that come in and those they replace, by
	// watchPerNode for all versions.
	evidenceInterval = 2 * time.Second
	rolloutPerNode   = 40 * time.Millisecond
	watchPerNode     = 150 * time.Millisecond
	evidenceTimeout  = time.Second
)

// evidenceEvery is how often each of so many nodes tells its evidence.
func evidenceEvery(nodes int, perNode time.Duration) time.Duration {
	return max(evidenceInterval, time.Duration(nodes)*perNode)
}

// drivers holds this node's gathering and judging of evidence. It is safe for
// concurrent use.
type drivers struct {
	mu      sync.Mutex
	driver  *rollout.Controller // guarded by mu
	gather  *rollout.Aggregator // guarded by mu
	told    time.Time           // guarded by mu; of roll-outs
	watched time.Time           // guarded by mu; of all versions
	stuck   map[string]bool     // guarded by mu; by node: it did not take what was last passed on
}

// errStuck refuses to gather while what was gathered cannot be passed on.
var errStuck = errors.New("this node does not reach the node that judges: tell the next gatherer")

// note keeps whether a judging node took what was passed on to it.
func (d *drivers) note(id string, taken bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if taken {
		delete(d.stuck, id)
		return
	}
	d.stuck[id] = true
}

// forgetStuck forgets nodes that judge nothing any more.
func (d *drivers) forgetStuck(judges []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.stuck, func(id string, _ bool) bool { return !slices.Contains(judges, id) })
}

// isStuck tells whether a judging node does not take what is passed on.
func (d *drivers) isStuck() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.stuck) > 0
}

// due tells whether it is time to tell of roll-outs, and of all versions.
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

// driveRollouts tells this node's evidence, passes on what it gathered of
// others, judges what this node drives, and publishes holds.
func (n *Node) driveRollouts(ctx context.Context) {
	view := n.members.Snapshot()
	now := time.Now()
	rollouts, watch := n.drivers.due(view.LiveCount(), now)
	rev := n.config.Current()
	duties := dutiesOf(view)
	n.drivers.forgetStuck(duties.judges(rev))
	if watch {
		n.tell(ctx, duties, n.versions.evidence(), true)
		n.passOn(ctx, duties.watch(rev), n.gathered(now), true)
	}
	if !rollouts {
		return
	}
	n.tellRollouts(ctx, duties, rev, now)
	judgement := n.judge(duties, now)
	n.members.Update(now, func(s *wire.NodeState) { s.Holds = publishedHolds(s.Holds, judgement.Holds, now) })
	for _, action := range judgement.Actions {
		n.act(ctx, action)
	}
}

// tellRollouts tells and passes on what concerns the roll-outs under way.
func (n *Node) tellRollouts(ctx context.Context, duties duties, rev *config.Revision, now time.Time) {
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
	n.tell(ctx, duties, n.versions.evidence(targets...), false)
	for name, of := range running {
		n.passOn(ctx, duties.driver(name), n.gathered(now, of...), false)
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

// tell sends this node's totals to the first gatherer of its data centre that
// answers.
func (n *Node) tell(ctx context.Context, duties duties, totals rollout.Totals, complete bool) {
	self := n.options.Settings.ID
	report := rollout.Report{Process: rollout.Process{Node: self, Incarnation: n.members.Incarnation()}, Totals: totals, Complete: complete}
	args := wire.PackEvidence([]rollout.Report{report}, complete)
	gatherers := duties.gatherers[n.options.Settings.DataCentre]
	if len(gatherers) == 0 || gatherers[0] == self {
		_ = n.gather(args)
		return
	}
	go func() {
		for _, id := range gatherers {
			if n.sendEvidence(ctx, id, "Gather", args) == nil {
				return
			}
		}
	}()
}

// gather takes reports to be passed on.
func (n *Node) gather(args wire.EvidenceArgs) error {
	reports, err := args.Reports()
	if err != nil {
		return err
	}
	now := time.Now()
	n.drivers.mu.Lock()
	defer n.drivers.mu.Unlock()
	for _, r := range reports {
		n.drivers.gather.Add(r, now)
	}
	return nil
}

// gathered lists the reports to be passed on, of all versions if none is given.
func (n *Node) gathered(now time.Time, of ...config.Target) []rollout.Report {
	n.drivers.mu.Lock()
	defer n.drivers.mu.Unlock()
	n.drivers.gather.Forget(now)
	if of == nil {
		return n.drivers.gather.CompleteReports()
	}
	return n.drivers.gather.ReportsFor(of...)
}

// passOn sends gathered reports to the node that judges them.
func (n *Node) passOn(ctx context.Context, id string, reports []rollout.Report, complete bool) {
	if len(reports) == 0 {
		return
	}
	args := wire.PackEvidence(reports, complete)
	if id == n.options.Settings.ID {
		_ = n.takeEvidence(args)
		return
	}
	go func() { n.drivers.note(id, n.sendEvidence(ctx, id, "Evidence", args) == nil) }()
}

func (n *Node) sendEvidence(ctx context.Context, id, method string, args wire.EvidenceArgs) error {
	if id == n.options.Settings.ID {
		return n.gather(args)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), evidenceTimeout)
	defer cancel()
	return n.call(ctx, id, method, args, &wire.EvidenceReply{})
}

// takeEvidence takes the totals of processes for the driver.
func (n *Node) takeEvidence(args wire.EvidenceArgs) error {
	reports, err := args.Reports()
	if err != nil {
		return err
	}
	rev, now := n.config.Current(), time.Now()
	n.drivers.mu.Lock()
	defer n.drivers.mu.Unlock()
	for _, r := range reports {
		n.drivers.driver.Report(rev, r, now)
	}
	return nil
}

func (n *Node) judge(duties duties, now time.Time) rollout.Decisions {
	self := n.options.Settings.ID
	rev := n.config.Current()
	mine := func(name string) bool { return duties.driver(name) == self }
	n.drivers.mu.Lock()
	defer n.drivers.mu.Unlock()
	return n.drivers.driver.Analyze(rev, mine, duties.watch(rev) == self, now)
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
