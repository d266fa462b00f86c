package route

import "slices"

// Urgency is the place of a rank among those that requests may have.
type Urgency struct {
	// Position is the number of ranks that are more urgent, Ranks the number of
	// all; 0 if there are none.
	Position, Ranks int
}

// Urgency returns the place of a rank among those that requests for routes with
// a choice of models may have. A rank that no request should have counts as the
// next more urgent one.
func (t *Table) Urgency(rank int) Urgency {
	if t == nil || len(t.modelRanks) == 0 {
		return Urgency{}
	}
	i, found := slices.BinarySearch(t.modelRanks, rank)
	if !found && i > 0 {
		i--
	}
	return Urgency{Position: i, Ranks: len(t.modelRanks)}
}

// modelRanks returns the ranks that requests for routes with a choice of models
// may have, sorted. The rank of an organisation replaces that of the route.
func modelRanks(d Definition) []int {
	var ranks []int
	hasChoice, keepsRank := false, len(d.Organisations) == 0
	for _, o := range d.Organisations {
		keepsRank = keepsRank || o.Rank == nil
	}
	for _, r := range d.Routes {
		if r.Kind != Stream || len(r.Models) < 2 {
			continue
		}
		hasChoice = true
		if keepsRank || r.Anonymous {
			ranks = append(ranks, r.Rank)
		}
	}
	for _, o := range d.Organisations {
		if hasChoice && o.Rank != nil {
			ranks = append(ranks, *o.Rank)
		}
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}
