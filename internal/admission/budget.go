package admission

import "time"

// Retry budget: retries may reach a tenth of the first tries, plus a small
// reserve.
const (
	retryFraction = 0.1
	retryReserve  = 5.0
	backoffBase   = 20 * time.Millisecond
	backoffCap    = time.Second
)

// RetryBudget bounds retries to a share of first tries. It is not safe for
// concurrent use.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a budget with its reserve full.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryReserve} }

// RecordFirstTry records a first try.
func (b *RetryBudget) RecordFirstTry() { b.tokens = min(b.tokens+retryFraction, retryReserve) }

// TakeRetry takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the wait before the given retry, counted from 1: exponential,
// with full jitter. draw is a random number from 0 to 1.
func Backoff(retry int, draw float64) time.Duration {
	d := backoffBase
	for i := 1; i < retry && d < backoffCap; i++ {
		d *= 2
	}
	return time.Duration(draw * float64(min(d, backoffCap)))
}
