package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// VersionStatus is what operators see of versions.
type VersionStatus struct {
	// Rollouts are all plans, by name.
	Rollouts []RolloutStatus `json:"rollouts"`
	// Held are versions that get no new sessions at present.
	Held []HoldStatus `json:"held"`
	// QuietHours are the present or next windows.
	QuietHours []rollout.Window `json:"quiet_hours"`
	// RatingsTrusted is false while this node doubts the rating service.
	RatingsTrusted bool `json:"ratings_trusted"`
	// RatingsDropped counts answers that were not sent to be rated, for lack
	// of room.
	RatingsDropped int `json:"ratings_dropped"`
}

// RolloutStatus is one roll-out's progress.
type RolloutStatus struct {
	Name   string        `json:"name"`
	Target config.Target `json:"target"`
	// Stage counts from 1; 0 means not started. Stages is their number; a
	// promoted roll-out is past the last.
	Stage  int `json:"stage"`
	Stages int `json:"stages"`
	// Percent is the share of new sessions.
	Percent float64   `json:"percent"`
	Since   time.Time `json:"since"`
	// State is "not started", "running", "paused", "promoted" or "withdrawn".
	State string `json:"state"`
	// Driver is the node that drives it.
	Driver string `json:"driver"`
}

// HoldStatus is one version that gets no new sessions.
type HoldStatus struct {
	Target config.Target `json:"target"`
	Until  time.Time     `json:"until"`
}

// versionStatus returns the present view of versions.
func (n *Node) versionStatus() VersionStatus {
	rev := n.config.Current()
	out := VersionStatus{QuietHours: n.dispatcher.QuietEdges(), RatingsTrusted: n.versions.cascade.ratingsTrusted(), RatingsDropped: n.versions.ratings.Dropped()}
	live := n.liveNodes()
	for _, name := range slices.Sorted(maps.Keys(rev.Config.Rollouts)) {
		out.Rollouts = append(out.Rollouts, rolloutStatus(rev, name, routing.Highest(live, rolloutKey(name))))
	}
	now := time.Now()
	for t, until := range *n.versions.holds.Load() {
		if now.Before(until) {
			out.Held = append(out.Held, HoldStatus{Target: t, Until: until})
		}
	}
	slices.SortFunc(out.Held, func(a, b HoldStatus) int { return cmp.Compare(a.Target.String(), b.Target.String()) })
	return out
}

func rolloutStatus(rev *config.Revision, name, driver string) RolloutStatus {
	plan, s := rev.Config.Rollouts[name], rollout.State(rev, name)
	out := RolloutStatus{
		Name: name, Target: rollout.Target(plan), Stage: s.Stage + 1, Stages: len(plan.Stages),
		Percent: 100 * routing.Share(rev, name), Since: s.Since, Driver: driver,
	}
	switch {
	case rev.IsWithdrawn(out.Target):
		out.State = "withdrawn"
		out.Percent = 0
	case s.Stage == rollout.NotStarted:
		out.State = "not started"
	case s.Stage >= len(plan.Stages):
		out.State = "promoted"
	case s.Paused || plan.Paused:
		out.State = "paused"
	default:
		out.State = "running"
	}
	return out
}
