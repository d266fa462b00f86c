package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a retry budget that panics at each request of a service, because the body of
// the first one that a process counts for it took longer than that of another service.
func TestBudgetCountsRequestsThatArrivedBeforeItsEpoch(t *testing.T) {
	is, now := is.New(t), time.Now()
	bounds := BudgetBounds{Ratio: 0.9, Window: 10 * time.Second}
	b := NewBudget(func() BudgetBounds { return bounds }, func() int { return 1 })
	count := func() {
		b.CountRequest("prompt", now)
		for range 4 {
			b.CountRequest("slow", now.Add(-3*time.Second))
		}
		is.True(b.TryReserve("slow", now.Add(time.Second)))
		is.True(b.TryReserveMove("slow", now.Add(time.Second)))
		is.True(!b.TryReserve("slow", now.Add(time.Second))) // 0.9 * 0.9 * 4 is 3.24
	}
	count()
	bounds.Window = 5 * time.Second // a reload of the settings sets the epoch anew
	count()
}
