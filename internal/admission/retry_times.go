package admission

import "time"

// Told keeps, at an entry node, the retry times of refused requests and the
// replica that holds each booking. It is not safe for concurrent use.
type Told struct {
	byFingerprint map[uint64]retryTime
}

type retryTime struct {
	replica string
	at      time.Time
}

// NewTold returns an empty set of retry times.
func NewTold() *Told { return &Told{byFingerprint: map[uint64]retryTime{}} }

// Note records a refusal.
func (t *Told) Note(now time.Time, fingerprint uint64, replica string, retryAfter time.Duration) {
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

// Early returns the time that remains until a request's retry time; 0 if it has
// passed or none is recorded.
func (t *Told) Early(now time.Time, fingerprint uint64) time.Duration {
	retry, ok := t.byFingerprint[fingerprint]
	if !ok {
		return 0
	}
	return max(retry.at.Sub(now), 0)
}

// Take removes the record of a request whose retry time has come and returns
// the replica that holds its booking, or "".
func (t *Told) Take(now time.Time, fingerprint uint64) string {
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

func (t *Told) deleteExpired(now time.Time) {
	for k, retry := range t.byFingerprint {
		if now.Sub(retry.at) > bookingGrace {
			delete(t.byFingerprint, k)
		}
	}
}
