package routing

import (
	"slices"
	"time"
)

// recentWindow is how long sent work is counted: about as old as a published
// load gets.
const recentWindow = 750 * time.Millisecond

// Recent counts the requests that this node sent to replicas since their load
// was published. It is not safe for concurrent use.
type Recent struct {
	sent []sentWork
}

type sentWork struct {
	replica string
	at      time.Time
}

// NewRecent returns an empty count.
func NewRecent() *Recent { return &Recent{} }

// Sent notes one request.
func (r *Recent) Sent(now time.Time, replica string) {
	r.forget(now)
	r.sent = append(r.sent, sentWork{replica: replica, at: now})
}

func (r *Recent) forget(now time.Time) {
	old := 0
	for old < len(r.sent) && now.Sub(r.sent[old].at) > recentWindow {
		old++
	}
	r.sent = slices.Delete(r.sent, 0, old)
}

// count returns the requests lately sent to a replica.
func (r *Recent) count(now time.Time, replica string) int {
	if r == nil {
		return 0
	}
	n := 0
	for _, s := range r.sent {
		if s.replica == replica && now.Sub(s.at) <= recentWindow {
			n++
		}
	}
	return n
}
