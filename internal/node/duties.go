package node

import (
	"slices"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

const (
	// watchKey is the rendezvous key of the watch over versions in place.
	watchKey = "watch"
	// gathererCount is how many nodes of a data centre a node may tell its
	// evidence: the first, and the next if that one does not answer.
	gathererCount = 2
)

func rolloutKey(name string) string { return "rollout/" + name }

// duties tell which live nodes gather and judge evidence. Each choice leaves
// out the nodes that hear much already, as long as there are others: bridges
// for gathering, both for driving, and drivers too for the watch.
type duties struct {
	gatherers map[string][]string // by data centre, in the order of preference
	drivers   []string            // those that may drive
}

// dutiesOf deals the duties out among the nodes of a view.
func dutiesOf(view *membership.Snapshot) duties {
	d := duties{gatherers: map[string][]string{}}
	var live []string
	centres := map[string][]string{}
	for _, m := range view.Nodes {
		if !m.Live || m.State.Leaving {
			continue
		}
		live = append(live, m.State.ID)
		centres[m.State.DataCentre] = append(centres[m.State.DataCentre], m.State.ID)
	}
	var first []string
	for centre, ids := range centres {
		order := routing.Rendezvous(without(ids, view.IsRelay), "evidence/"+centre)
		d.gatherers[centre] = order[:min(len(order), gathererCount)]
		first = append(first, order[0])
	}
	d.drivers = without(without(live, view.IsRelay), func(id string) bool { return slices.Contains(first, id) })
	return d
}

// without returns the ids that are not busy, or all if every one is.
func without(ids []string, busy func(string) bool) []string {
	var out []string
	for _, id := range ids {
		if !busy(id) {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		return ids
	}
	return out
}

// driver returns the node that drives a roll-out.
func (d duties) driver(name string) string {
	return routing.HighestScoring(d.drivers, rolloutKey(name))
}

// watch returns the node that watches the versions in place.
func (d duties) watch(rev *config.Revision) string {
	busy := map[string]bool{}
	for name := range rev.Config.Rollouts {
		if rollout.IsRunning(rev, name) {
			busy[d.driver(name)] = true
		}
	}
	return routing.HighestScoring(without(d.drivers, func(id string) bool { return busy[id] }), watchKey)
}

// judges lists the nodes that judge anything at present.
func (d duties) judges(rev *config.Revision) []string {
	out := []string{d.watch(rev)}
	for name := range rev.Config.Rollouts {
		if rollout.IsRunning(rev, name) {
			out = append(out, d.driver(name))
		}
	}
	return out
}
