package routing

import (
	"slices"
	"time"
)

// recentWindow is how long a sent request is counted. It is about the maximum
// age of a published load.
const recentWindow = 750 * time.Millisecond

// Recent counts the requests that this node sent to replicas since their load
// was published. It is not safe for concurrent use.
type Recent struct {
	sent []sentRequest
}

type sentRequest struct {
	replica string
	at      time.Time
}

// NewRecent returns an empty count.
func NewRecent() *Recent { return &Recent{} }

// Sent records one request.
func (r *Recent) Sent(now time.Time, replica string) {
	r.expire(now)
	r.sent = append(r.sent, sentRequest{replica: replica, at: now})
}

// expire removes the requests that are older than recentWindow.
func (r *Recent) expire(now time.Time) {
	old := 0
	for old < len(r.sent) && now.Sub(r.sent[old].at) > recentWindow {
		old++
	}
	r.sent = slices.Delete(r.sent, 0, old)
}

// count returns the number of requests recently sent to a replica.
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
