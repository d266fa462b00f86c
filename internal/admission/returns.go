package admission

import "time"

const (
	// MinRetryAfter is the shortest come-back time.
	MinRetryAfter = 250 * time.Millisecond
	// MaxRetryAfter bounds come-back times under a lasting flood.
	MaxRetryAfter = 15 * time.Minute
	// returnSlack is how long after its time a turn is kept.
	returnSlack = 5 * time.Second
	// maxPromises bounds the come-back times that are kept.
	maxPromises = 4096
	// retryJitter spreads come-back times, as a share of them.
	retryJitter = 0.05
	// firstObeyed is the assumed share of callers that come back when told.
	firstObeyed = 1.0
	leastObeyed = 0.02
	obeyedGain  = 0.05
)

// returns keeps the come-back times that were promised to refused work, so
// that a caller that obeys finds its turn.
type returns struct {
	random        func() float64
	byFingerprint map[uint64]time.Time
	// booked lists the promises in the order they were made.
	booked []promise
	// next is the earliest time not yet promised, by rank.
	next map[int]time.Time
	// obeyed is the share of promises that callers come back for, by rank.
	obeyed map[int]float64
}

// promise is a turn kept for one request until its time is well past.
type promise struct {
	fingerprint uint64
	until       time.Time
	rank        int
	share       time.Duration
}

func newReturns(random func() float64) returns {
	if random == nil {
		random = func() float64 { return 0 }
	}
	return returns{random: random, byFingerprint: map[uint64]time.Time{}, next: map[int]time.Time{}, obeyed: map[int]float64{}}
}

// promise returns when refused work should come back: once what waits has
// drained, after those told before it. pace is the time that the work itself
// takes to drain.
func (r *returns) promise(now time.Time, w *Work, wait, pace time.Duration, book bool) time.Duration {
	r.lapse(now)
	at := now.Add(max(wait, MinRetryAfter))
	if next := r.next[w.Rank]; next.After(at) {
		at = next
	}
	after := at.Sub(now)
	if after > MaxRetryAfter {
		return r.jitter(MaxRetryAfter)
	}
	told := r.jitter(after)
	if book && w.Fingerprint != 0 && len(r.booked) < maxPromises {
		share := time.Duration(r.share(w.Rank) * float64(pace))
		r.next[w.Rank] = at.Add(share)
		r.byFingerprint[w.Fingerprint] = at
		r.booked = append(r.booked, promise{fingerprint: w.Fingerprint, until: now.Add(told + returnSlack), rank: w.Rank, share: share})
	}
	return told
}

// share returns the share of promises to a rank that callers come back for.
func (r *returns) share(rank int) float64 {
	if s, ok := r.obeyed[rank]; ok {
		return s
	}
	return firstObeyed
}

// ahead tells whether refused work of the rank has turns kept beyond the given
// wait, so that new work would overtake it.
func (r *returns) ahead(now time.Time, rank int, wait time.Duration) bool {
	return r.next[rank].After(now.Add(wait))
}

// jitter spreads come-back times so that callers do not return together.
func (r *returns) jitter(d time.Duration) time.Duration {
	return d + time.Duration(r.random()*retryJitter*float64(d))
}

// honour tells whether the work was told to come back now, once.
func (r *returns) honour(now time.Time, rank int, fingerprint uint64) bool {
	r.lapse(now)
	at, ok := r.byFingerprint[fingerprint]
	if !ok || now.Before(at) {
		return false
	}
	delete(r.byFingerprint, fingerprint)
	r.obeyed[rank] = r.share(rank) + obeyedGain*(1-r.share(rank))
	return true
}

// lapse forgets the promises whose time is well past, and frees the time of
// those that nobody came back for.
func (r *returns) lapse(now time.Time) {
	n := 0
	for n < len(r.booked) && now.After(r.booked[n].until) {
		p := r.booked[n]
		if _, ok := r.byFingerprint[p.fingerprint]; ok {
			delete(r.byFingerprint, p.fingerprint)
			r.next[p.rank] = r.next[p.rank].Add(-p.share)
			r.obeyed[p.rank] = max(r.share(p.rank)*(1-obeyedGain), leastObeyed)
		}
		n++
	}
	if n > 0 {
		r.booked = append(r.booked[:0], r.booked[n:]...)
	}
}
