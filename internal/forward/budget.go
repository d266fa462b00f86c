package forward

import (
	"sync"
	"time"
)

// BudgetBounds bound what all nodes together may send beyond the first
// attempt of each request.
type BudgetBounds struct {
	// Ratio is the share of requests, Allowance the number beside it, within
	// Window.
	Ratio     float64
	Allowance float64
	Window    time.Duration
}

const (
	budgetBuckets = 20
	// budgetMargin keeps the sum of all nodes below the bound although their
	// windows are not aligned and views of the number of nodes lag.
	budgetMargin = 0.9
)

// Budget bounds the further attempts of each service. It is safe for
// concurrent use.
type Budget struct {
	bounds   func() BudgetBounds
	nodes    func() int
	mu       sync.Mutex
	span     time.Duration            // guarded by mu; the window that the counts are for
	began    time.Time                // guarded by mu; time is counted from here, on the steady clock
	services map[string]*budgetWindow // guarded by mu
}

// budgetWindow counts first and further attempts in buckets of time.
type budgetWindow struct {
	first, further [budgetBuckets]float64
	at             int64 // number of the newest bucket
}

// NewBudget returns a budget whose bounds may change at any time; nodes returns
// how many nodes share the allowance.
func NewBudget(bounds func() BudgetBounds, nodes func() int) *Budget {
	return &Budget{bounds: bounds, nodes: nodes, services: map[string]*budgetWindow{}}
}

// First counts a request for a service.
func (b *Budget) First(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.first[w.at%budgetBuckets]++
}

// Take takes one further attempt from the budget and tells whether it was
// there.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if sum(w.further)+1 > b.limit(w) {
		return false
	}
	w.further[w.at%budgetBuckets]++
	return true
}

// Left returns the share of the budget that is left.
func (b *Budget) Left(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	return max(1-sum(w.further)/max(b.limit(w), 1), 0)
}

// limit is this node's part of the bound. The caller holds mu.
func (b *Budget) limit(w *budgetWindow) float64 {
	bounds := b.bounds()
	return budgetMargin * (bounds.Ratio*sum(w.first) + bounds.Allowance/float64(max(b.nodes(), 1)))
}

// window returns the service's window moved on to now. The caller holds mu.
func (b *Budget) window(service string, now time.Time) *budgetWindow {
	if span := b.bounds().Window; b.began.IsZero() || span != b.span {
		// Counts of another window cannot be moved over.
		b.began, b.span = now, span
		clear(b.services)
	}
	at := int64(now.Sub(b.began) / max(b.span/budgetBuckets, 1))
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{at: at}
		b.services[service] = w
	}
	for step := min(at-w.at, budgetBuckets); step > 0; step-- {
		i := (w.at + step) % budgetBuckets
		w.first[i], w.further[i] = 0, 0
	}
	w.at = max(w.at, at)
	return w
}

func sum(list [budgetBuckets]float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}
