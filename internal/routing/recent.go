package routing

import (
	"slices"
	"time"
)

// recentWindow is how long a sent request is counted. It is about the maximum
// age of a published load.
const recentWindow = 750 * time.Millisecond

// RecentSends counts the requests that this node sent to replicas since their load
// was published. It is not safe for concurrent use.
type RecentSends struct {
	sent []sentRequest
}

type sentRequest struct {
	replica string
	at      time.Time
}

// NewRecentSends returns an empty count.
func NewRecentSends() *RecentSends { return &RecentSends{} }

// Add records one request.
func (r *RecentSends) Add(now time.Time, replica string) {
	r.expire(now)
	r.sent = append(r.sent, sentRequest{replica: replica, at: now})
}

// expire removes the requests that are older than recentWindow.
func (r *RecentSends) expire(now time.Time) {
	old := 0
	for old < len(r.sent) && now.Sub(r.sent[old].at) > recentWindow {
		old++
	}
	r.sent = slices.Delete(r.sent, 0, old)
}

// count returns the number of requests recently sent to a replica.
func (r *RecentSends) count(now time.Time, replica string) int {
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
