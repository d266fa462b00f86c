package admission

import (
	"math"
	"time"
)

// RateBucket saves up the requests that a rate allows. The zero value has none saved up.
// It is not safe for concurrent use.
type RateBucket struct {
	Tokens float64
	at     time.Time
}

// Refill adds what a rate, in requests per second, has allowed since the last call, up to
// a number of requests.
func (b *RateBucket) Refill(rate, most float64, now time.Time) {
	if !b.at.IsZero() {
		b.Tokens = min(b.Tokens+rate*max(now.Sub(b.at), 0).Seconds(), most)
	}
	b.at = now
}

// RefilledAt returns the time of the last call of Refill.
func (b *RateBucket) RefilledAt() time.Time { return b.at }

// maxSavedUp is how many requests a gate saves up under a rate limit.
const maxSavedUp = 2

// rateLimit bounds the requests per second that a gate grants.
type rateLimit struct {
	rate   float64 // 0 is unlimited
	bucket RateBucket
}

// SetRateLimit bounds the requests per second that the gate grants; 0 removes the bound.
// Nothing is saved up when a bound begins.
func (g *Gate) SetRateLimit(rate float64, now time.Time) {
	if g.rate.rate == 0 || rate == 0 {
		g.rate.bucket = RateBucket{}
	}
	g.refillRate(now)
	g.rate.rate = rate
	g.refillRate(now)
}

// RateLimit returns the bound on requests per second; 0 is unlimited.
func (g *Gate) RateLimit() float64 { return g.rate.rate }

// SpendRate counts a request that the gate did not grant, such as a probe.
func (g *Gate) SpendRate(now time.Time) {
	g.refillRate(now)
	g.rate.bucket.Tokens--
}

// DelayRate puts off the next request under the rate limit.
func (g *Gate) DelayRate(d time.Duration) {
	g.rate.bucket.Tokens = min(g.rate.bucket.Tokens, 0) - g.rate.rate*d.Seconds()
}

func (g *Gate) refillRate(now time.Time) {
	g.rate.bucket.Refill(g.rate.rate, maxSavedUp, now)
}

// NextGrant returns the time until the rate limit allows the next request, or 0 if it
// delays no waiting work.
func (g *Gate) NextGrant(now time.Time) time.Duration {
	if g.rate.rate == 0 || g.order.Len() == 0 {
		return 0
	}
	return g.rateWait(now, 0)
}

// rateWait returns the time until the rate limit allows a request beyond the given number
// of others.
func (g *Gate) rateWait(now time.Time, ahead int) time.Duration {
	if g.rate.rate == 0 {
		return 0
	}
	g.refillRate(now)
	missing := float64(ahead) + 1 - g.rate.bucket.Tokens
	return time.Duration(math.Ceil(max(missing, 0) / g.rate.rate * float64(time.Second)))
}

// waitingAhead returns how many requests of the rank and of more urgent ones wait.
func (g *Gate) waitingAhead(rank int) int {
	n := 0
	for r := range rank + 1 {
		n += g.order.Waiting(r)
	}
	return n
}
