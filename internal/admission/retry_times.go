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
