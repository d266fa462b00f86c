package admission

import "time"

// RetryTimes keeps, at an entry node, the retry times of refused requests and the
// replica that holds each booking. It is not safe for concurrent use.
type RetryTimes struct {
	byFingerprint map[uint64]retryTime
}

type retryTime struct {
	replica string
	at      time.Time
}

// NewRetryTimes returns an empty set of retry times.
func NewRetryTimes() *RetryTimes { return &RetryTimes{byFingerprint: map[uint64]retryTime{}} }

// Record records a refusal.
func (t *RetryTimes) Record(now time.Time, fingerprint uint64, replica string, retryAfter time.Duration) {
	if fingerprint == 0 {
		return
	}
	if len(t.byFingerprint) >= maxBookings {
		t.deleteExpired(now)
	}
	if len(t.byFingerprint) < maxBookings {
		t.byFingerprint[fingerprint] = retryTime{replica: replica, at: now.Add(retryAfter)}
	}
}

// Remaining returns the time that remains until a request's retry time; 0 if it has
// passed or none is recorded.
func (t *RetryTimes) Remaining(now time.Time, fingerprint uint64) time.Duration {
	retry, ok := t.byFingerprint[fingerprint]
	if !ok {
		return 0
	}
	return max(retry.at.Sub(now), 0)
}

// TakeBooking removes the record of a request whose retry time has come and returns
// the replica that holds its booking, or "".
func (t *RetryTimes) TakeBooking(now time.Time, fingerprint uint64) string {
	retry, ok := t.byFingerprint[fingerprint]
	if !ok || now.Before(retry.at) {
		return ""
	}
	delete(t.byFingerprint, fingerprint)
	if now.Sub(retry.at) > bookingGrace {
		return ""
	}
	return retry.replica
}

func (t *RetryTimes) deleteExpired(now time.Time) {
	for k, retry := range t.byFingerprint {
		if now.Sub(retry.at) > bookingGrace {
			delete(t.byFingerprint, k)
		}
	}
}

// drainTimeOf returns how long the work's rank takes to drain the work itself,
// when bookings fill bookedShare of its throughput.
func (g *Gate) drainTimeOf(w *Work) time.Duration {
	rankShare := g.order.RankShare(g.rank(w.order()))
	seconds := float64(w.Tokens) / (bookedShare * g.throughput() * rankShare)
	if g.rate.rate > 0 {
		seconds = max(seconds, 1/(bookedShare*g.rate.rate*rankShare))
	}
	return time.Duration(seconds * float64(time.Second))
}
