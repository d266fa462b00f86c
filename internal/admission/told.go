package admission

import "time"

// Told remembers, at an entry node, which refused requests were told to come
// back when, and which replica keeps their turn. It is not safe for concurrent
// use.
type Told struct {
	byFingerprint map[uint64]toldTime
}

type toldTime struct {
	replica string
	at      time.Time
}

// NewTold returns an empty memory.
func NewTold() *Told { return &Told{byFingerprint: map[uint64]toldTime{}} }

// Note remembers a refusal.
func (t *Told) Note(now time.Time, fingerprint uint64, replica string, retryAfter time.Duration) {
	if fingerprint == 0 {
		return
	}
	if len(t.byFingerprint) >= maxPromises {
		t.forget(now)
	}
	if len(t.byFingerprint) < maxPromises {
		t.byFingerprint[fingerprint] = toldTime{replica: replica, at: now.Add(retryAfter)}
	}
}

// Early returns how long before its time a request has come back; 0 if it was
// told nothing or its time has come.
func (t *Told) Early(now time.Time, fingerprint uint64) time.Duration {
	told, ok := t.byFingerprint[fingerprint]
	if !ok {
		return 0
	}
	return max(told.at.Sub(now), 0)
}

// Take returns the replica that keeps the turn of a request, once, or "".
func (t *Told) Take(now time.Time, fingerprint uint64) string {
	told, ok := t.byFingerprint[fingerprint]
	if !ok || now.Before(told.at) {
		return ""
	}
	delete(t.byFingerprint, fingerprint)
	if now.Sub(told.at) > returnSlack {
		return ""
	}
	return told.replica
}

func (t *Told) forget(now time.Time) {
	for k, told := range t.byFingerprint {
		if now.Sub(told.at) > returnSlack {
			delete(t.byFingerprint, k)
		}
	}
}
