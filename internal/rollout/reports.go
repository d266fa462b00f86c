package rollout

import "github.com/cowslipfall/cowslipfall/internal/config"

// Reports turns the running totals that nodes tell into what is new. A total
// that is heard twice or out of order counts once.
type Reports struct {
	nodes map[string]*reporter
}

// reporter is the newest that one process told.
type reporter struct {
	incarnation uint64
	totals      map[config.Target]Evidence
}

// NewReports returns an empty account.
func NewReports() *Reports { return &Reports{nodes: map[string]*reporter{}} }

// Take returns what is new in a node's total of one version. first tells that
// nothing was heard of this process and version before, so that the total may
// reach back to any time.
func (r *Reports) Take(node string, incarnation uint64, t config.Target, total Evidence) (news Evidence, first bool) {
	n := r.nodes[node]
	if n != nil && incarnation < n.incarnation {
		return Evidence{}, false
	}
	if n == nil || incarnation > n.incarnation {
		n = &reporter{incarnation: incarnation, totals: map[config.Target]Evidence{}}
		r.nodes[node] = n
	}
	old, known := n.totals[t]
	if known && total.size() <= old.size() {
		return Evidence{}, false
	}
	n.totals[t] = total
	return total.Minus(old), !known
}

// size counts all outcomes.
func (e Evidence) size() int { return e.Rated.Total() + e.Served.Total() + e.Timely.Total() }

// Total returns all that was heard of a version.
func (r *Reports) Total(t config.Target) Evidence {
	sum := Evidence{}
	for _, n := range r.nodes {
		sum = sum.Plus(n.totals[t])
	}
	return sum
}
