package measure

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// exampleFloors are the floors of the example configurations.
var exampleFloors = [rankCount]float64{0, 0.15, 0.05}

// routerPolicy is the policy that the nodes run.
var routerPolicy = policy{
	name: "router", preempts: true, fairPauses: true, lowUseShare: 0.7, reserve: 1, sharedHeadroom: true, floors: exampleFloors,
	patience:       [rankCount]time.Duration{rankWorkloads[urgent].firstTokenTarget, rankWorkloads[normal].firstTokenTarget, rankWorkloads[background].firstTokenTarget},
	usageKnowledge: usageReported,
	maxChoices:     routing.DefaultChoices, prefixKnowledge: prefixesSent,
}

// variant returns a changed copy of a policy.
func (p policy) variant(name string, change func(*policy)) policy {
	p.name = name
	change(&p)
	return p
}

// minLargeReplicas is the number of replicas from which the baselines with one
// long list are left out: they take too long.
const minLargeReplicas = 100

// comparedPolicies returns the router's policy and the baselines.
func (s size) comparedPolicies() []policy {
	direct := policy{name: "direct, lagged reports", bypassesOwners: true}
	if s.replicas >= minLargeReplicas {
		return []policy{routerPolicy, direct}
	}
	fifo := policy{name: "first-in-first-out, round robin", newOrder: newFIFOOrder, waitsUntilDeadline: true, roundRobinReplicas: true}
	static := routerPolicy.variant("static priority", func(p *policy) {
		p.newOrder, p.floors, p.preempts, p.fairPauses, p.sharedHeadroom, p.reserve, p.waitsUntilDeadline = newStaticPriorityOrder, [rankCount]float64{}, false, false, false, 0, true
	})
	return []policy{routerPolicy, fifo, static, direct}
}

// listOrder keeps waiting work in one list, by arrival or by rank, for
// baselines.
type listOrder struct {
	byRank bool
	list   []*admission.Work
}

var _ admission.Order = (*listOrder)(nil)

func newFIFOOrder([]admission.RankPolicy) admission.Order           { return &listOrder{} }
func newStaticPriorityOrder([]admission.RankPolicy) admission.Order { return &listOrder{byRank: true} }

// Push implements admission.Order.
func (l *listOrder) Push(w *admission.Work) {
	i := len(l.list)
	for l.byRank && i > 0 && l.list[i-1].Rank > w.Rank {
		i--
	}
	l.list = append(l.list, nil)
	copy(l.list[i+1:], l.list[i:])
	l.list[i] = w
}

// Next implements admission.Order.
func (l *listOrder) Next(_ time.Time, allowed func(rank int) bool) *admission.Work {
	for _, w := range l.list {
		if allowed(w.Rank) {
			return w
		}
	}
	return nil
}

// Take implements admission.Order.
func (l *listOrder) Take(_ time.Time, w *admission.Work) { l.Remove(w.ID) }

// Correct implements admission.Order.
func (l *listOrder) Correct(*admission.Work, int) {}

// Remove implements admission.Order.
func (l *listOrder) Remove(id string) bool {
	for i, w := range l.list {
		if w.ID == id {
			l.list = append(l.list[:i], l.list[i+1:]...)
			return true
		}
	}
	return false
}

// Expire implements admission.Order.
func (l *listOrder) Expire(now time.Time) []*admission.Work {
	var out []*admission.Work
	kept := l.list[:0]
	for _, w := range l.list {
		if w.Deadline.After(now) {
			kept = append(kept, w)
		} else {
			out = append(out, w)
		}
	}
	l.list = kept
	return out
}

// Len implements admission.Order.
func (l *listOrder) Len() int { return len(l.list) }

// Waiting implements admission.Order.
func (l *listOrder) Waiting(rank int) int {
	n := 0
	for _, w := range l.list {
		if w.Rank == rank {
			n++
		}
	}
	return n
}

// RecordUsage implements admission.Order.
func (l *listOrder) RecordUsage(time.Time, *admission.Work) {}

// IsLowUse implements admission.Order.
func (l *listOrder) IsLowUse(time.Time, *admission.Work, float64) bool { return false }

// Backlog implements admission.Order.
func (l *listOrder) Backlog(w *admission.Work) int { return l.Waiting(w.Rank) }

// Evictable implements admission.Order.
func (l *listOrder) Evictable(*admission.Work, time.Time) *admission.Work { return nil }

// TokensAheadOfNew implements admission.Order.
func (l *listOrder) TokensAheadOfNew(w *admission.Work) float64 { return l.Tokens(w.Rank) }

// TokensAheadOf implements admission.Order.
func (l *listOrder) TokensAheadOf(*admission.Work) float64 { return 0 }

// TakeUnreviewed implements admission.Order.
func (l *listOrder) TakeUnreviewed(int, time.Time) *admission.Work { return nil }

// Tokens implements admission.Order.
func (l *listOrder) Tokens(rank int) float64 {
	total := 0
	for _, w := range l.list {
		if !l.byRank || w.Rank <= rank {
			total += w.Tokens
		}
	}
	return float64(total)
}

// RankShare implements admission.Order.
func (l *listOrder) RankShare(int) float64 { return 1 }
