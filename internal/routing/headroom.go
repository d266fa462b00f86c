package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Of the replicas in a group, headroomPart out of headroomOf keep headroom.
// Together they keep headroomShare of all slots of the group, but none keeps
// more than maxHeadroom of its own slots.
const (
	headroomPart  = 2
	headroomOf    = 9
	headroomShare = 0.105
	maxHeadroom   = 0.7
	// minHeadroom makes each replica keep one slot where the group is too small
	// to share the headroom.
	minHeadroom = 0.01
)

// AssignHeadroom assigns the headroom that replicas keep for the most urgent rank.
// In each pool, a fixed fraction of the replicas with the same versions keeps
// headroom, spread over the data centres. All nodes with the same view choose
// the same replicas.
func AssignHeadroom(replicas []Replica) {
	groups := map[string][]*Replica{}
	for i := range replicas {
		r := &replicas[i]
		r.Headroom = minHeadroom
		if r.Usable {
			groups[groupKey(r)] = append(groups[groupKey(r)], r)
		}
	}
	for _, g := range groups {
		assignGroupHeadroom(g)
	}
}

// groupKey identifies the replicas that can substitute for each other.
func groupKey(r *Replica) string {
	if len(r.Targets) == 0 {
		return r.Pool
	}
	name := r.Pool
	for _, t := range r.Targets {
		name += "\x00" + t.Model + "\x00" + t.Version
	}
	return name
}

// headroomCandidate is a replica that may keep headroom.
type headroomCandidate struct {
	*Replica
	score uint64
	// round is its position among the replicas of its data centre.
	round int
}

// assignGroupHeadroom assigns headroom to some replicas of a group, alternating
// between the data centres.
func assignGroupHeadroom(group []*Replica) {
	if len(group) < headroomOf {
		return
	}
	n := len(group) * headroomPart / headroomOf
	order := make([]headroomCandidate, len(group))
	for i, r := range group {
		r.Headroom = 0
		order[i] = headroomCandidate{Replica: r, score: xxhash.Sum64String(r.ID)}
	}
	slices.SortFunc(order, func(a, b headroomCandidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID))
	})
	seen := map[string]int{}
	for i := range order {
		order[i].round = seen[order[i].DataCentre]
		seen[order[i].DataCentre]++
	}
	slices.SortStableFunc(order, func(a, b headroomCandidate) int { return cmp.Compare(a.round, b.round) })
	for _, c := range order[:n] {
		c.Headroom = min(headroomShare*float64(len(group))/float64(n), maxHeadroom)
	}
}
