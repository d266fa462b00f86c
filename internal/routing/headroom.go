package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Of the replicas alike, roomyPart in roomyOf keep headroom; together they
// keep keptPart of all slots, but none more than mostRoom of its own.
const (
	roomyPart = 2
	roomyOf   = 9
	keptPart  = 0.105
	mostRoom  = 0.7
	// leastRoom makes each of too few replicas keep one slot.
	leastRoom = 0.01
)

// ShareRoom tells which replicas keep headroom for the most urgent rank: a
// fixed part of those in a pool that serve the same versions, spread over the
// data centres. All nodes with the same view choose the same ones.
func ShareRoom(replicas []Replica) {
	groups := map[string][]*Replica{}
	for i := range replicas {
		r := &replicas[i]
		r.Room = leastRoom
		if r.Usable {
			groups[alike(r)] = append(groups[alike(r)], r)
		}
	}
	for _, g := range groups {
		shareRoom(g)
	}
}

// alike names what makes replicas stand in for each other.
func alike(r *Replica) string {
	if len(r.Targets) == 0 {
		return r.Pool
	}
	name := r.Pool
	for _, t := range r.Targets {
		name += "\x00" + t.Model + "\x00" + t.Version
	}
	return name
}

// candidate is a replica that may keep headroom.
type candidate struct {
	*Replica
	score uint64
	// turn is its place within its data centre.
	turn int
}

// shareRoom gives headroom to some replicas of a group, one data centre after
// the other.
func shareRoom(group []*Replica) {
	if len(group) < roomyOf {
		return
	}
	n := len(group) * roomyPart / roomyOf
	order := make([]candidate, len(group))
	for i, r := range group {
		r.Room = 0
		order[i] = candidate{Replica: r, score: xxhash.Sum64String(r.ID)}
	}
	slices.SortFunc(order, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID)) })
	seen := map[string]int{}
	for i := range order {
		order[i].turn = seen[order[i].DataCentre]
		seen[order[i].DataCentre]++
	}
	slices.SortStableFunc(order, func(a, b candidate) int { return cmp.Compare(a.turn, b.turn) })
	for _, c := range order[:n] {
		c.Room = min(keptPart*float64(len(group))/float64(n), mostRoom)
	}
}
