package ledger

import "github.com/cowslipfall/cowslipfall/internal/backend"

// Limits of the cached outcomes.
const (
	maxRecentCalls = 16_384
	maxRecentBytes = 8 << 20
)

// recentCall is the cached outcome of a call.
type recentCall struct {
	content uint64
	reply   *backend.Reply
}

// recentCalls caches the newest outcomes, so that a repeated call at the same
// node is answered while the table is unavailable. It is not safe for concurrent
// use.
type recentCalls struct {
	calls map[string]recentCall
	order []string
	bytes int
}

func newRecentCalls() *recentCalls { return &recentCalls{calls: map[string]recentCall{}} }

func (r *recentCalls) add(row string, c recentCall) {
	if _, exists := r.calls[row]; exists || len(c.reply.Body) > maxInlineReply {
		return
	}
	r.calls[row] = c
	r.order = append(r.order, row)
	r.bytes += len(row) + len(c.reply.Body)
	for len(r.order) > maxRecentCalls || r.bytes > maxRecentBytes {
		oldest := r.order[0]
		r.order = r.order[1:]
		r.bytes -= len(oldest) + len(r.calls[oldest].reply.Body)
		delete(r.calls, oldest)
	}
}
