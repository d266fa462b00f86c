package forward

import (
	"sync"
	"time"
)

// BudgetBounds limits the attempts that all nodes together may send beyond the
// first attempt of each request.
type BudgetBounds struct {
	// Ratio is the allowed number of retries per request within Window.
	// Allowance is the number of retries allowed in addition.
	Ratio     float64
	Allowance float64
	Window    time.Duration
}

const (
	budgetBuckets = 20
	// budgetMargin keeps the sum over all nodes below the bound although their
	// windows are not aligned and their views of the number of nodes lag.
	budgetMargin = 0.9
)

// Budget is the retry budget of each service. It is safe for concurrent use.
type Budget struct {
	bounds       func() BudgetBounds
	nodes        func() int
	mu           sync.Mutex
	windowLength time.Duration            // guarded by mu; the window that the counts apply to
	epoch        time.Time                // guarded by mu; start of the first bucket, with a monotonic clock reading
	services     map[string]*budgetWindow // guarded by mu
}

// budgetWindow counts first attempts and retries in buckets of time.
type budgetWindow struct {
	first, retries [budgetBuckets]float64
	newest         int64 // number of the newest bucket
}

// NewBudget returns a budget. The bounds may change at any time. nodes returns
// the number of nodes that share the allowance, those included that lost contact
// and may only be cut off.
func NewBudget(bounds func() BudgetBounds, nodes func() int) *Budget {
	return &Budget{bounds: bounds, nodes: nodes, services: map[string]*budgetWindow{}}
}

// CountRequest counts the first attempt of a request for a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.first[w.newest%budgetBuckets]++
}

// TryReserve takes one retry from the budget. It returns false if the budget is
// used up.
func (b *Budget) TryReserve(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if sum(w.retries)+1 > b.limit(w) {
		return false
	}
	w.retries[w.newest%budgetBuckets]++
	return true
}

// TryReserveMove takes two retries: one at another server, and one to come back from it.
// It returns false, and takes none, if the budget has less.
func (b *Budget) TryReserveMove(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if sum(w.retries)+2 > b.limit(w) {
		return false
	}
	w.retries[w.newest%budgetBuckets] += 2
	return true
}

// Release gives back retries that were reserved and not made.
func (b *Budget) Release(service string, retries int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	for i := range w.retries {
		given := min(w.retries[i], float64(retries))
		w.retries[i] -= given
		retries -= int(given)
	}
}

// RemainingShare returns the remaining share of the budget, from 0 to 1.
func (b *Budget) RemainingShare(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	return max(1-sum(w.retries)/max(b.limit(w), 1), 0)
}

// limit returns this node's share of the bound. The caller holds mu.
func (b *Budget) limit(w *budgetWindow) float64 {
	bounds := b.bounds()
	return budgetMargin * (bounds.Ratio*sum(w.first) + bounds.Allowance/float64(max(b.nodes(), 1)))
}

// window returns the service's window after discarding expired buckets. The
// caller holds mu.
func (b *Budget) window(service string, now time.Time) *budgetWindow {
	if length := b.bounds().Window; b.epoch.IsZero() || length != b.windowLength {
		// Counts cannot be converted to another window length.
		b.epoch, b.windowLength = now, length
		clear(b.services)
	}
	// A request whose body took long is counted at its arrival, which may be before the epoch.
	at := max(int64(now.Sub(b.epoch)/max(b.windowLength/budgetBuckets, 1)), 0)
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{newest: at}
		b.services[service] = w
	}
	for step := min(at-w.newest, budgetBuckets); step > 0; step-- {
		i := (w.newest + step) % budgetBuckets
		w.first[i], w.retries[i] = 0, 0
	}
	w.newest = max(w.newest, at)
	return w
}

func sum(counts [budgetBuckets]float64) float64 {
	total := 0.0
	for _, v := range counts {
		total += v
	}
	return total
}
