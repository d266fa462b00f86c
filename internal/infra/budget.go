package infra

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Use tells what a call of the store is for. The lower comes first.
type Use int

// The uses of the store.
const (
	UseClaim Use = iota
	UseConfig
	UseBill
	UsePin
	UseBackground
	useCount
)

// String returns the use's name in metrics.
func (u Use) String() string {
	return [...]string{"claim", "config", "bill", "pin", "background"}[u]
}

// UseOf returns the use of a row by its key.
func UseOf(key string) Use {
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

// FleetLimits are what all nodes together may ask of the store, in calls a
// second.
type FleetLimits struct {
	Reads  float64
	Writes float64
}

// DefaultFleetLimits leave a tenth of the store's reads, and of three hundred
// writes, to operators.
var DefaultFleetLimits = FleetLimits{Reads: 1800, Writes: 270}

const (
	// burstTime is how much of its rate a node may save up, minBurst the
	// least number of calls, firstBurst the least that it starts with.
	burstTime  = 4 * time.Second
	minBurst   = 15
	firstBurst = 5
	// minShare is the least rate of a node, in calls a second.
	minShare = 0.05
	// backoffFirst and backoffMost bound the pause after failed calls.
	backoffFirst = 250 * time.Millisecond
	backoffMost  = 5 * time.Second
	// maxQueueTime is how long a call may wait for its turn.
	maxQueueTime = 2 * time.Second
)

// reserves are the shares of a full bucket that a use must leave to those
// before it.
var reserves = [useCount]float64{0, 0.1, 0.2, 0.3, 0.5}

// shares are the most of a node's rate that each use may have for long, so
// that none of the later ones starves.
var shares = [useCount]float64{0.8, 0.3, 0.4, 0.4, 0.2}

// rated is a node's rate of one kind of call, as a whole and by use.
type rated struct {
	all *bucket
	use [useCount]*bucket
}

func newRated(rate float64) *rated {
	r := &rated{all: newBucket(rate)}
	for use, share := range shares {
		r.use[use] = newBucket(rate * share)
	}
	return r
}

func (r *rated) setRate(rate float64) {
	r.all.setRate(rate)
	for use, share := range shares {
		r.use[use].setRate(rate * share)
	}
}

// empty takes all that was saved up, so that there is no burst after an
// outage.
func (r *rated) empty() {
	r.all.empty()
	for _, b := range r.use {
		b.empty()
	}
}

// take waits for a call of the given use. It returns ErrThrottled if its turn
// does not come in time.
func (r *rated) take(ctx context.Context, use Use) error {
	ctx, cancel := context.WithTimeout(ctx, maxQueueTime)
	defer cancel()
	if err := r.use[use].take(ctx, UseClaim); err != nil {
		return err
	}
	return r.all.take(ctx, use)
}

// bucket holds the calls that a node may still make. It is safe for
// concurrent use.
type bucket struct {
	mu      sync.Mutex
	rate    float64       // guarded by mu; calls a second
	tokens  float64       // guarded by mu
	filled  time.Time     // guarded by mu
	waiting [useCount]int // guarded by mu
}

func newBucket(rate float64) *bucket {
	b := &bucket{filled: time.Now()}
	b.setRate(rate)
	b.tokens = max(firstBurst, rate*burstTime.Seconds())
	return b
}

// burst is the size of a full bucket. The caller holds mu or has the only
// reference.
func (b *bucket) burst() float64 { return max(minBurst, b.rate*burstTime.Seconds()) }

func (b *bucket) setRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(time.Now())
	b.rate = max(rate, minShare)
}

// fill adds what came since the last time. The caller holds mu.
func (b *bucket) fill(now time.Time) {
	b.tokens = min(b.burst(), b.tokens+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
}

func (b *bucket) empty() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens, 1)
	b.filled = time.Now()
}

// try takes one call, or returns how long to wait before the next try.
func (b *bucket) try(use Use) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(time.Now())
	need := 1 + reserves[use]*b.burst()
	for before := range use {
		need += float64(b.waiting[before])
	}
	if b.tokens >= need {
		b.tokens--
		return 0
	}
	return max(time.Duration((need-b.tokens)/b.rate*float64(time.Second)), time.Millisecond)
}

func (b *bucket) wait(use Use, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[use] += n
}

// take waits for a call. It returns ErrThrottled if ctx ends first.
func (b *bucket) take(ctx context.Context, use Use) error {
	if b.try(use) == 0 {
		return nil
	}
	b.wait(use, 1)
	defer b.wait(use, -1)
	for {
		wait := b.try(use)
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

// outage keeps calls back after others have failed. It is safe for concurrent
// use.
type outage struct {
	mu       sync.Mutex
	failures int       // guarded by mu
	until    time.Time // guarded by mu
}

// closed tells whether calls are kept back now; one call at a time is let
// through to find out.
func (o *outage) closed(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures == 0 {
		return false
	}
	if now.Before(o.until) {
		return true
	}
	o.until = now.Add(o.pause())
	return false
}

// pause returns the next wait: exponential, with full jitter. The caller
// holds mu.
func (o *outage) pause() time.Duration {
	most := min(backoffFirst<<min(o.failures, 10), backoffMost)
	return backoffFirst + time.Duration(rand.Float64()*float64(most-backoffFirst))
}

// note takes the outcome of a call. It tells whether an outage has just ended.
func (o *outage) note(now time.Time, failed bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !failed {
		ended := o.failures > 0
		o.failures = 0
		return ended
	}
	o.failures++
	o.until = now.Add(o.pause())
	return false
}
