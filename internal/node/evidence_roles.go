package node

import (
	"slices"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

const (
	// inPlaceKey is the rendezvous key that selects the node which analyzes the
	// versions in place.
	inPlaceKey = "watch"
	// aggregatorCount is how many nodes of a data centre accept evidence: the
	// first, and the next if the first does not answer.
	aggregatorCount = 2
)

func rolloutKey(name string) string { return "rollout/" + name }

// evidenceRoles names the live nodes that aggregate and analyze evidence. Each
// role excludes the nodes that already receive much, as long as others are
// left: aggregators exclude relay nodes, controllers exclude relay nodes and
// aggregators, and the analyst of the versions in place excludes controllers
// too.
type evidenceRoles struct {
	aggregators map[string][]string // by data centre, in order of preference
	controllers []string            // candidates for controllers of roll-outs
}

// assignEvidenceRoles assigns the roles to the nodes of a membership view.
func assignEvidenceRoles(view *membership.Snapshot) evidenceRoles {
	roles := evidenceRoles{aggregators: map[string][]string{}}
	var live []string
	centres := map[string][]string{}
	for _, m := range view.Nodes {
		if !m.IsLive || m.State.Leaving {
			continue
		}
		live = append(live, m.State.ID)
		centres[m.State.DataCentre] = append(centres[m.State.DataCentre], m.State.ID)
	}
	var firstAggregators []string
	for centre, ids := range centres {
		order := routing.Rendezvous(excludeUnlessAll(ids, view.IsRelay), "evidence/"+centre)
		roles.aggregators[centre] = order[:min(len(order), aggregatorCount)]
		firstAggregators = append(firstAggregators, order[0])
	}
	roles.controllers = excludeUnlessAll(excludeUnlessAll(live, view.IsRelay), func(id string) bool { return slices.Contains(firstAggregators, id) })
	return roles
}

// excludeUnlessAll returns the ids for which exclude is false, or all ids if
// none is left.
func excludeUnlessAll(ids []string, exclude func(string) bool) []string {
	var out []string
	for _, id := range ids {
		if !exclude(id) {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		return ids
	}
	return out
}

// controllerOf returns the node that controls a roll-out.
func (r evidenceRoles) controllerOf(name string) string {
	return routing.HighestScoring(r.controllers, rolloutKey(name))
}

// inPlaceAnalyst returns the node that analyzes the versions in place.
func (r evidenceRoles) inPlaceAnalyst(rev *config.Revision) string {
	controlling := map[string]bool{}
	for name := range rev.Config.Rollouts {
		if rollout.IsRunning(rev, name) {
			controlling[r.controllerOf(name)] = true
		}
	}
	return routing.HighestScoring(excludeUnlessAll(r.controllers, func(id string) bool { return controlling[id] }), inPlaceKey)
}

// analysts returns the nodes that analyze evidence at present.
func (r evidenceRoles) analysts(rev *config.Revision) []string {
	out := []string{r.inPlaceAnalyst(rev)}
	for name := range rev.Config.Rollouts {
		if rollout.IsRunning(rev, name) {
			out = append(out, r.controllerOf(name))
		}
	}
	return out
}
