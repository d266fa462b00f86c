package admission

import "time"

const (
	// MinRetryAfter is the shortest retry-after time.
	MinRetryAfter = 250 * time.Millisecond
	// MaxRetryAfter bounds retry-after times in a lasting flood.
	MaxRetryAfter = 15 * time.Minute
	// bookingGrace is how long after its time a booking is kept.
	bookingGrace = 5 * time.Second
	// maxBookings bounds the number of bookings that are kept.
	maxBookings = 4096
	// retryJitter spreads retry-after times, as a share of them.
	retryJitter = 0.05
	// initialCompliance is the assumed share of callers that retry at their
	// booked time.
	initialCompliance = 1.0
	minCompliance     = 0.02
	complianceGain    = 0.05
)

// retryBookings keeps the retry times that refused work was given, so that a
// caller that retries on time is served.
type retryBookings struct {
	random        func() float64
	byFingerprint map[uint64]time.Time
	// ordered lists the bookings in the order they were made.
	ordered []booking
	// nextFree is the earliest time that is not booked, by rank.
	nextFree map[int]time.Time
	// complianceByRank is the share of bookings for which callers retry.
	complianceByRank map[int]float64
}

// booking is a time reserved for the retry of one request, until it expires.
type booking struct {
	fingerprint uint64
	expires     time.Time
	rank        int
	length      time.Duration
}

func newRetryBookings(random func() float64) retryBookings {
	if random == nil {
		random = func() float64 { return 0 }
	}
	return retryBookings{random: random, byFingerprint: map[uint64]time.Time{}, nextFree: map[int]time.Time{}, complianceByRank: map[int]float64{}}
}

// retryAfter returns when refused work should be sent again: after the waiting
// work has drained, and after the bookings made before. drainTime is the time
// that the work itself takes to drain. If book is true, the time is booked.
func (r *retryBookings) retryAfter(now time.Time, w *Work, wait, drainTime time.Duration, book bool) time.Duration {
	r.expire(now)
	at := now.Add(max(wait, MinRetryAfter))
	if next := r.nextFree[w.Rank]; next.After(at) {
		at = next
	}
	delay := at.Sub(now)
	if delay > MaxRetryAfter {
		return r.jitter(MaxRetryAfter)
	}
	jittered := r.jitter(delay)
	if book && w.Fingerprint != 0 && len(r.ordered) < maxBookings {
		length := time.Duration(r.compliance(w.Rank) * float64(drainTime))
		r.nextFree[w.Rank] = at.Add(length)
		r.byFingerprint[w.Fingerprint] = at
		r.ordered = append(r.ordered, booking{fingerprint: w.Fingerprint, expires: now.Add(jittered + bookingGrace), rank: w.Rank, length: length})
	}
	return jittered
}

// compliance returns the share of a rank's bookings for which callers retry.
func (r *retryBookings) compliance(rank int) float64 {
	if c, ok := r.complianceByRank[rank]; ok {
		return c
	}
	return initialCompliance
}

// isBookedPast reports whether refused work of the rank has bookings beyond the
// given wait, so that new work would overtake it.
func (r *retryBookings) isBookedPast(now time.Time, rank int, wait time.Duration) bool {
	return r.nextFree[rank].After(now.Add(wait))
}

// jitter spreads retry-after times so that callers do not retry at the same
// time.
func (r *retryBookings) jitter(d time.Duration) time.Duration {
	return d + time.Duration(r.random()*retryJitter*float64(d))
}

// redeem reports whether the work's booked time has come, and uses the booking
// up.
func (r *retryBookings) redeem(now time.Time, rank int, fingerprint uint64) bool {
	r.expire(now)
	at, ok := r.byFingerprint[fingerprint]
	if !ok || now.Before(at) {
		return false
	}
	delete(r.byFingerprint, fingerprint)
	r.complianceByRank[rank] = r.compliance(rank) + complianceGain*(1-r.compliance(rank))
	return true
}

// expire deletes the bookings whose grace time has passed, and frees the time
// of those that nobody used.
func (r *retryBookings) expire(now time.Time) {
	n := 0
	for n < len(r.ordered) && now.After(r.ordered[n].expires) {
		b := r.ordered[n]
		if _, ok := r.byFingerprint[b.fingerprint]; ok {
			delete(r.byFingerprint, b.fingerprint)
			r.nextFree[b.rank] = r.nextFree[b.rank].Add(-b.length)
			r.complianceByRank[b.rank] = max(r.compliance(b.rank)*(1-complianceGain), minCompliance)
		}
		n++
	}
	if n > 0 {
		r.ordered = append(r.ordered[:0], r.ordered[n:]...)
	}
}
