package admission

import "time"

const (
	// MinRetryAfter is the shortest come-back time.
	MinRetryAfter = 250 * time.Millisecond
	// MaxRetryAfter bounds come-back times under a lasting flood.
	MaxRetryAfter = 2 * time.Minute
	// returnSlack is how early a caller may come back and how long its turn
	// is kept.
	returnSlack = 5 * time.Second
	// maxPromises bounds the come-back times that are kept.
	maxPromises = 4096
	retryJitter = 0.1
)

// returns keeps the come-back times that were promised to refused work, so
// that a caller that obeys finds its turn.
type returns struct {
	random        func() float64
	byFingerprint map[uint64]time.Time
	// next is the earliest time not yet promised, by organisation and rank.
	next map[returnKey]time.Time
}

type returnKey struct {
	organisation string
	rank         int
}

func newReturns(random func() float64) returns {
	if random == nil {
		random = func() float64 { return 0 }
	}
	return returns{random: random, byFingerprint: map[uint64]time.Time{}, next: map[returnKey]time.Time{}}
}

// promise returns when refused work should come back: once the excess has
// drained, after those told before it. pace is the time that the work itself
// takes to drain.
func (r *returns) promise(now time.Time, w *Work, excess, pace time.Duration, book bool) time.Duration {
	key := returnKey{w.Organisation, w.Rank}
	at := now.Add(max(excess, MinRetryAfter))
	if next := r.next[key]; next.After(at) {
		at = next
	}
	after := at.Sub(now)
	if after > MaxRetryAfter {
		return r.jitter(MaxRetryAfter)
	}
	if book {
		r.forget(now)
		r.next[key] = at.Add(pace)
		if w.Fingerprint != 0 && len(r.byFingerprint) < maxPromises {
			r.byFingerprint[w.Fingerprint] = at
		}
	}
	return r.jitter(after)
}

// jitter spreads come-back times so that callers do not return together.
func (r *returns) jitter(d time.Duration) time.Duration {
	return d + time.Duration(r.random()*retryJitter*float64(d))
}

// honour tells whether the work was told to come back now, once.
func (r *returns) honour(now time.Time, fingerprint uint64) bool {
	at, ok := r.byFingerprint[fingerprint]
	if !ok || fingerprint == 0 || now.Before(at) {
		return false
	}
	delete(r.byFingerprint, fingerprint)
	return now.Sub(at) <= returnSlack+time.Duration(retryJitter*float64(MaxRetryAfter))
}

// forget drops what has passed, when the table is full.
func (r *returns) forget(now time.Time) {
	if len(r.byFingerprint) < maxPromises && len(r.next) < maxPromises {
		return
	}
	for k, at := range r.byFingerprint {
		if now.Sub(at) > returnSlack {
			delete(r.byFingerprint, k)
		}
	}
	for k, at := range r.next {
		if now.After(at) {
			delete(r.next, k)
		}
	}
}
