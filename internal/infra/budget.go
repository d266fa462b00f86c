package infra

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Use is the purpose of a call to the store. Lower values have priority over
// higher ones.
type Use int

// Purposes of calls, by priority.
const (
	UseClaim Use = iota
	UseConfig
	UseBill
	UsePin
	UseBackground
	useCount
)

// String returns the name of the use in metrics.
func (u Use) String() string {
	return [...]string{"claim", "config", "bill", "pin", "background"}[u]
}

// UseForKey returns the use of calls that concern the row with the given key.
func UseForKey(key string) Use {
	kind, _, _ := strings.Cut(key, "/")
	switch kind {
	case "claim":
		return UseClaim
	case "config", "lease", "rollout":
		return UseConfig
	case "bill":
		return UseBill
	case "pin":
		return UsePin
	}
	return UseBackground
}

// FleetLimits holds the rates at which all nodes together may call the store,
// in calls per second.
type FleetLimits struct {
	Reads  float64
	Writes float64
}

// DefaultFleetLimits reserves a tenth of the store's reads, and a tenth of 300
// writes a second, for operators.
var DefaultFleetLimits = FleetLimits{Reads: 1800, Writes: 270}

const (
	// burstTime is how much of its rate a node may save up for a burst,
	// minBurst the minimum number of calls in a burst, initialBurst the minimum
	// that a node starts with.
	burstTime    = 4 * time.Second
	minBurst     = 15
	initialBurst = 5
	// minShare is the minimum rate of a node, in calls per second.
	minShare = 0.05
	// minBackoff and maxBackoff bound the pause after failed calls.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxQueueTime is how long a call may wait for its turn.
	maxQueueTime = 2 * time.Second
)

// reserves holds the share of a full bucket that each use must leave to uses of
// higher priority.
var reserves = [useCount]float64{0, 0.1, 0.2, 0.3, 0.5}

// shares holds the maximum share of a node's rate that each use may take in the
// long run, so that no use of lower priority starves.
var shares = [useCount]float64{0.8, 0.3, 0.4, 0.4, 0.2}

// rateLimiter limits the rate of one kind of call of a node, in total and by
// use.
type rateLimiter struct {
	total *tokenBucket
	byUse [useCount]*tokenBucket
}

func newRateLimiter(rate float64) *rateLimiter {
	r := &rateLimiter{total: newTokenBucket(rate)}
	for use, share := range shares {
		r.byUse[use] = newTokenBucket(rate * share)
	}
	return r
}

func (r *rateLimiter) setRate(rate float64) {
	r.total.setRate(rate)
	for use, share := range shares {
		r.byUse[use].setRate(rate * share)
	}
}

// empty discards the saved-up calls, so that no burst follows an outage.
func (r *rateLimiter) empty() {
	r.total.empty()
	for _, b := range r.byUse {
		b.empty()
	}
}

// acquire waits until a call of the given use is allowed. It returns
// ErrThrottled if that takes longer than maxQueueTime.
func (r *rateLimiter) acquire(ctx context.Context, use Use) error {
	ctx, cancel := context.WithTimeout(ctx, maxQueueTime)
	defer cancel()
	if err := r.byUse[use].acquire(ctx, UseClaim); err != nil {
		return err
	}
	return r.total.acquire(ctx, use)
}

// tokenBucket holds the number of calls that a node may make now. It is safe
// for concurrent use.
type tokenBucket struct {
	mu      sync.Mutex
	rate    float64       // guarded by mu; calls per second
	tokens  float64       // guarded by mu
	filled  time.Time     // guarded by mu
	waiting [useCount]int // guarded by mu
}

func newTokenBucket(rate float64) *tokenBucket {
	b := &tokenBucket{filled: time.Now()}
	b.setRate(rate)
	b.tokens = max(initialBurst, rate*burstTime.Seconds())
	return b
}

// burst returns the size of a full bucket. The caller holds mu or has the only
// reference.
func (b *tokenBucket) burst() float64 { return max(minBurst, b.rate*burstTime.Seconds()) }

func (b *tokenBucket) setRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(time.Now())
	b.rate = max(rate, minShare)
}

// fill adds the tokens for the time since the last fill. The caller holds mu.
func (b *tokenBucket) fill(now time.Time) {
	b.tokens = min(b.burst(), b.tokens+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
}

func (b *tokenBucket) empty() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens, 1)
	b.filled = time.Now()
}

// tryAcquire takes one token and returns 0, or returns the time to wait before
// the next try.
func (b *tokenBucket) tryAcquire(use Use) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(time.Now())
	need := 1 + reserves[use]*b.burst()
	for higher := range use {
		need += float64(b.waiting[higher])
	}
	if b.tokens >= need {
		b.tokens--
		return 0
	}
	return max(time.Duration((need-b.tokens)/b.rate*float64(time.Second)), time.Millisecond)
}

func (b *tokenBucket) addWaiting(use Use, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[use] += n
}

// acquire waits for a token. It returns ErrThrottled if ctx ends first.
func (b *tokenBucket) acquire(ctx context.Context, use Use) error {
	if b.tryAcquire(use) == 0 {
		return nil
	}
	b.addWaiting(use, 1)
	defer b.addWaiting(use, -1)
	for {
		wait := b.tryAcquire(use)
		if wait == 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ErrThrottled
		}
	}
}

// backoff pauses calls to a service after others have failed. It is safe for
// concurrent use.
type backoff struct {
	mu       sync.Mutex
	failures int       // guarded by mu
	until    time.Time // guarded by mu
}

// blockOrProbe reports whether the call must not be made now. When a pause is
// over, it lets one call through as a probe and starts the next pause.
func (b *backoff) blockOrProbe(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return false
	}
	if now.Before(b.until) {
		return true
	}
	b.until = now.Add(b.nextPause())
	return false
}

// nextPause returns the length of the next pause: exponential, with full
// jitter. The caller holds mu.
func (b *backoff) nextPause() time.Duration {
	longest := min(minBackoff<<min(b.failures, 10), maxBackoff)
	return minBackoff + time.Duration(rand.Float64()*float64(longest-minBackoff))
}

// recordResult records whether a call failed. It reports whether the call ended
// an outage.
func (b *backoff) recordResult(now time.Time, failed bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !failed {
		hasEnded := b.failures > 0
		b.failures = 0
		return hasEnded
	}
	b.failures++
	b.until = now.Add(b.nextPause())
	return false
}
